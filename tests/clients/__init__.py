"""Tests of the clients of outside systems."""
