"""Tests of carobladder.topics."""
