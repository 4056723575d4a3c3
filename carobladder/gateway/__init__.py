"""Caller interface."""
