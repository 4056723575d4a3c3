"""Tests of the duties of a single instance."""
