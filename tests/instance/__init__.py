"""Tests of running instances."""
