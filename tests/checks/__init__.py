"""Tests of the checks of the source tree."""
