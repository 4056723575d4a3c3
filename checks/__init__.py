"""Checks of the source tree that the linter does not know."""
