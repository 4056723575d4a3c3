"""Errors that a caller gets once its call is sent to no further target."""

from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    CallerError,
    NoTargetError,
    TargetFailedError,
    TargetsBusyError,
    TargetsLimitedError,
    TargetsPausedError,
)
from carobladder.fleet import TargetSelector
from carobladder.forwarding.sends import ForwardedCall
from carobladder.forwarding.tracking import SendTracker

__all__ = ["CallerErrors"]

_BUSY_RETRY_SECONDS = 0.25
_NO_TARGET_RETRY_SECONDS = 0.7
# Shortest time until a refused caller may return; others take what is free before.
_MIN_RETRY_SECONDS = 0.1


class CallerErrors:
    """Builder of the final errors of one call.

    ``on_busy`` is called when the call is refused as targets have refused it.
    """

    def __init__(
        self,
        call: ForwardedCall,
        sends: SendTracker,
        selector: TargetSelector,
        clock: Clock,
        on_busy: Callable[[], None],
    ) -> None:
        self._on_busy = on_busy
        self._call = call
        self._sends = sends
        self._selector = selector
        self._clock = clock

    def build_final(self, reason: str) -> CallerError:
        """Return the error of a call that is not sent again."""
        now = self._clock.monotonic()
        may_have_run = self._sends.count_runs() > 0
        if may_have_run and now >= self._call.deadline:
            return AnswerTimeoutError(f"no response before the deadline: {reason}")
        if may_have_run:
            return TargetFailedError(f"the call failed at its target: {reason}")
        message = f"the call was not run: {reason}"
        pause = self._selector.find_pause(self._call.service.name, now)
        if pause is not None:
            return TargetsPausedError(message, pause)
        if self._sends.count:
            self._on_busy()
            return TargetsBusyError(message, _BUSY_RETRY_SECONDS)
        return NoTargetError(message, _NO_TARGET_RETRY_SECONDS)

    def build_limited(self, wait: float | None) -> CallerError:
        """Return the error of a call that the targets' rate limits do not admit.

        Another instance may admit it as soon as the limits admit any request.
        """
        reason = f"the targets of {self._call.service.name} limit their rate"
        if self._sends.count_runs():
            return self.build_final(reason)
        if wait is None:
            rate = self._selector.compute_limited_rate(self._call.service.name)
            wait = 1.0 / rate if rate else _NO_TARGET_RETRY_SECONDS
        return TargetsLimitedError(
            f"the call was not run: {reason}", max(wait, _MIN_RETRY_SECONDS)
        )
