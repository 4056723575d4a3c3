"""Outcome of a send, as evidence about its target and its route."""

from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.fleet import (
    AnswerTallies,
    CompletionPredictor,
    FleetTarget,
    Prediction,
    RouteLatencies,
)
from carobladder.routing import Route

__all__ = ["SendOutcome"]


@dataclass(slots=True)
class SendOutcome:
    """Outcome of one send, recorded part by part.

    A slow stream is known to be slow long before its end, and many of them end with the
    caller's deadline, so nothing waits for the end. ``is_suspect`` tells whether its
    target was suspected, since it sent no byte within the silence timeout.
    ``prediction`` is that of the time to the first byte.
    """

    route: Route
    target: FleetTarget
    tallies: AnswerTallies
    latencies: RouteLatencies
    clock: Clock
    predictor: CompletionPredictor
    prediction: Prediction
    is_suspect: bool = False
    _counted: bool = False
    _failed: bool = False
    _bad: bool = False

    def note_first_byte(self, seconds: float, *, failed: bool) -> None:
        """Record the time to the first byte of an answer.

        ``failed`` marks a failure of the target itself.
        """
        self.latencies.note_answer(self.route.name, seconds)
        if not failed:
            self.predictor.note_response(
                self.target,
                self.route,
                seconds,
                self.prediction,
                self.clock.monotonic(),
            )
        self._note_answer(seconds, failed=failed)

    def note_pace(self, seconds_per_event: float) -> None:
        """Record the mean time between the first events of a stream."""
        now = self.clock.monotonic()
        self._note_fault(
            self.tallies.note_pace(self.target, self.route, seconds_per_event, now)
        )

    def note_break(self, seconds: float) -> None:
        """Record an answer that broke off this long after the send."""
        if not self._counted:
            self._note_answer(seconds, failed=True)
        elif not self._failed:
            self._failed = True
            self.tallies.note_break(self.target, self.route)
            self._note_fault(True)

    def note_silence(self, seconds: float) -> None:
        """Record that the send has got no byte for this long."""
        if not self._counted:
            self._counted = self.tallies.note_silence(
                self.target, self.route, seconds, self.clock.monotonic()
            )
            self._note_fault(self._counted)

    def _note_answer(self, seconds: float, *, failed: bool) -> None:
        if self._counted:
            return
        self._counted = True
        self._failed = failed
        self._note_fault(
            self.tallies.note_answer(
                self.target,
                self.route,
                failed=failed,
                first_byte_seconds=seconds,
                now=self.clock.monotonic(),
            )
        )

    def _note_fault(self, is_fault: bool) -> None:
        """Count the request as bad at its first fault."""
        if is_fault and not self._bad:
            self._bad = True
            self.tallies.note_bad(self.target, self.route)
