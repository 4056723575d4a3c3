"""Tests of carobladder.entry."""
