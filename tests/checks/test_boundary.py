"""Tests of the check of the platform boundary."""

import re
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from checks import boundary


class BoundaryTest(unittest.TestCase):
    """Guard against a check that lets names of the platform through."""

    def find(self, line: str) -> int:
        fields = re.compile("|".join(sorted(boundary.list_field_names())))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "module.py"
            path.write_text(line, encoding="utf-8")
            with mock.patch.object(boundary, "ROOT", Path(folder)):
                return len(list(boundary.find_names(path, fields)))

    def test_names_are_found(self):
        for line in (
            '"Carobladder-Request-Id"',
            '"x-api-key"',
            '"/-/log-read"',
            '"keyed.op"',
            "route.pathPrefix",
            '"coldRemainingMs"',
            '"kv-fetch"',
        ):
            with self.subTest(line=line):
                self.assertGreaterEqual(self.find(line), 1)

    def test_own_names_pass(self):
        for line in ("CAROBLADDER_SETTINGS", "path_prefix", "carobladder-entry", "a/b"):
            with self.subTest(line=line):
                self.assertEqual(self.find(line), 0)
