"""Composition of one running instance."""
