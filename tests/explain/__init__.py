"""Tests of carobladder.explain."""
