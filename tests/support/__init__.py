"""Shared fakes of the tests."""
