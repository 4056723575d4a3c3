"""Tests of carobladder.forwarding."""
