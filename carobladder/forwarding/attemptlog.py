"""Log lines and metrics of the failed attempts of one call."""

from carobladder.exceptions import (
    MemoryExceededError,
    TargetError,
    TargetRefusedError,
)
from carobladder.fleet import FleetTarget
from carobladder.forwarding.attempts import AnswerProgress
from carobladder.forwarding.sends import ForwardedCall
from carobladder.forwarding.tracking import SendTracker, TrackedSend
from carobladder.telemetry import AnswerGivenUp, AttemptFailed, ForwardMetrics, emit

__all__ = ["AttemptLog"]

# Limits the parts of a prompt in a log line.
_MAX_LOGGED_PARTS = 8


class AttemptLog:
    """Log of the failed attempts of one call."""

    def __init__(
        self, call: ForwardedCall, sends: SendTracker, metrics: ForwardMetrics
    ) -> None:
        self._call = call
        self._sends = sends
        self._metrics = metrics

    def report(
        self,
        target: FleetTarget,
        send: TrackedSend | None,
        error: TargetError,
        progress: AnswerProgress,
        decision: str,
    ) -> None:
        """Log and count a failed attempt; ``decision`` is a label of the metric."""
        self._metrics.count_failed_attempt(
            "sent again" if decision == "send again" else decision
        )
        if error.request_written and not isinstance(error, TargetRefusedError):
            self._metrics.count_broken_answer(progress)
        if isinstance(error, MemoryExceededError):
            self._report_given_up(target, error)
        silent_since = send.find_silence_start() if send else 0.0
        emit(
            AttemptFailed(
                request_id=self._call.facts.request_id,
                target=target.target_id,
                sends=self._sends.count,
                written=error.request_written,
                progress=progress,
                parts=self._format_parts(),
                why=str(error),
                decision=decision,
                silent_seconds=self._sends.read_age(silent_since),
                target_heard_seconds=self._sends.read_age(target.health.last_byte_at),
            )
        )

    def _report_given_up(self, target: FleetTarget, error: MemoryExceededError) -> None:
        self._metrics.count_given_up_answer(self._call.service.name)
        emit(
            AnswerGivenUp(
                self._call.facts.request_id,
                target.target_id,
                error.held_bytes,
                error.used_bytes,
                error.limit_bytes,
            )
        )

    def _format_parts(self) -> str:
        parts = self._call.facts.shared_parts[:_MAX_LOGGED_PARTS]
        return ",".join(part.part_id for part in parts)
