"""Tests of carobladder.platform."""
