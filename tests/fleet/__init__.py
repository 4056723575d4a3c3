"""Tests of carobladder.fleet."""
