"""Instance list, live view and ownership of targets."""
