"""Tests of the settings reference page."""

import unittest
from pathlib import Path

from carobladder.settings.reference import render_reference

PAGE = Path(__file__).resolve().parents[2] / "docs" / "settings.md"


class ReferenceTest(unittest.TestCase):
    """The settings page must match the definition of the settings."""

    def test_page_is_current(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_reference())
