"""Tests of the settings page."""

import unittest
from pathlib import Path

from carobladder.settings.reference import render_reference

PAGE = Path(__file__).resolve().parents[2] / "docs" / "settings.md"


class ReferenceTest(unittest.TestCase):
    """Guard against a settings page that differs from the definition."""

    def test_page_is_current(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_reference())
