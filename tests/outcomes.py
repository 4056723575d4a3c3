"""nose2 plugin that collects the ids of the tests that ran and failed."""

import unittest

from nose2 import events, result

ran: set[str] = set()
failed: set[str] = set()


class OutcomePlugin(events.Plugin):
    """Record each outcome under the id of its test."""

    alwaysOn = True  # noqa: N815 - the name is nose2's

    def startTest(self, event: events.StartTestEvent) -> None:  # noqa: N802
        """Count a test that starts."""
        ran.add(event.test.id())

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Record errors, failures and unexpected successes."""
        if is_failure(event):
            failed.add(find_test_id(event.test))


def is_failure(event: events.TestOutcomeEvent) -> bool:
    """Tell whether an outcome counts as a failed test."""
    if event.outcome == result.SUBTEST:
        return event.exc_info is not None
    unexpected_pass = event.outcome == result.PASS and not event.expected
    return event.outcome in (result.ERROR, result.FAIL) or unexpected_pass


def find_test_id(test: unittest.TestCase) -> str:
    """Return the id of the test that a subtest belongs to, or its own."""
    return getattr(test, "test_case", test).id()
