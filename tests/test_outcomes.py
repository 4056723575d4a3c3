"""Tests of how outcomes are counted."""

import unittest
from types import SimpleNamespace
from unittest import mock

from nose2 import result

from tests.outcomes import find_test_id, is_failure


def outcome(kind: str, exc_info: object = None, expected: bool = True) -> mock.Mock:
    """Return an event of nose2."""
    return mock.Mock(outcome=kind, exc_info=exc_info, expected=expected)


class OutcomeTest(unittest.TestCase):
    """Guard against failures that the closing line does not count."""

    def test_failing_subtest_counts_for_its_test(self):
        self.assertTrue(is_failure(outcome(result.SUBTEST, (ValueError, None, None))))
        self.assertFalse(is_failure(outcome(result.SUBTEST)))
        subtest = SimpleNamespace(test_case=self)
        self.assertEqual(find_test_id(subtest), self.id())

    def test_errors_failures_and_unexpected_passes_count(self):
        self.assertTrue(is_failure(outcome(result.ERROR)))
        self.assertTrue(is_failure(outcome(result.FAIL)))
        self.assertTrue(is_failure(outcome(result.PASS, expected=False)))
        self.assertFalse(is_failure(outcome(result.PASS)))
