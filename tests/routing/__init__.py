"""Tests of carobladder.routing."""
