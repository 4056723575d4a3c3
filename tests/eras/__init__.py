"""Tests of carobladder.eras."""
