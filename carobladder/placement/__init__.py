"""Choose the target of a request."""
