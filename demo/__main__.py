"""Start the demonstration."""
