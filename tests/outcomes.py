"""nose2 plugin that collects the ids of the tests that ran and failed."""

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
        unexpected_pass = event.outcome == result.PASS and not event.expected
        if event.outcome in (result.ERROR, result.FAIL) or unexpected_pass:
            failed.add(event.test.id())
