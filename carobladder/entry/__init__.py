"""Instance on an operator platform."""
