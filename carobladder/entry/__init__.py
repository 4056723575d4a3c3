"""An instance that runs on an operator's platform."""
