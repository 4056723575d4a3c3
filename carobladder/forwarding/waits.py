"""Short waits of a call before it is sent to a target."""

from carobladder.clock import Clock
from carobladder.forwarding.admission import AdmissionControl
from carobladder.forwarding.attempts import OpenCall
from carobladder.forwarding.choices import TargetChoice
from carobladder.forwarding.sends import ForwardedCall
from carobladder.telemetry import RequestDelayed, emit

__all__ = ["RateWaitTooLongError", "TargetWait"]

# Longest wait for a target that may take the request, as a fraction of the route's
# latency objective, and the interval in which loads are looked at.
_MAX_WAIT_FRACTION = 0.5
_POLL_SECONDS = 0.02


class RateWaitTooLongError(Exception):
    """Report that the rate limits of targets admit a call too late.

    ``seconds`` is the wait until they do, None if this instance may not use them.
    """

    def __init__(self, seconds: float | None) -> None:
        super().__init__("the rate limits admit the call too late")
        self.seconds = seconds


class TargetWait:
    """Admission and waits of one call until a target may take it.

    ``has_place`` is false once all targets that the call could go to are known to be
    full.
    """

    def __init__(
        self,
        call: ForwardedCall,
        choice: TargetChoice,
        admission: AdmissionControl,
        clock: Clock,
    ) -> None:
        self.has_place = True
        self._call = call
        self._choice = choice
        self._admission = admission
        self._clock = clock

    async def wait_for_admission(self) -> None:
        """Wait shortly while all targets exceed their load bound.

        Raises OverloadedError at once if others go before the call, or if no target
        can answer it before its deadline.
        """
        self._admission.check(self._call, self._choice, self._clock.monotonic())
        await self._wait_for_load()

    def note_refusal(self, opened: OpenCall) -> None:
        """Record a refusal of a target, and exclude others that are full as well.

        The target itself is excluded by ``TargetChoice.note_tried``.
        """
        call, now = self._call, self._clock.monotonic()
        self._admission.note_refusal(call, opened, now)
        others = [
            target
            for target in self._choice.list_candidates()
            if target is not opened.target
        ]
        full_ids = self._admission.list_full(call, others, now)
        self._choice.note_full(full_ids)
        self.has_place = not full_ids or len(full_ids) < len(others)

    def note_answer(self, opened: OpenCall) -> None:
        """Record a whole answer of a target."""
        self._admission.note_answer(self._call, opened, self._clock.monotonic())

    def note_busy(self) -> None:
        """Record that the call is refused as targets have refused it."""
        self._admission.note_busy(self._call, self._clock.monotonic())

    async def _wait_for_load(self) -> None:
        if not self._choice.is_overloaded():
            return
        start, end = self._find_times()
        while self._clock.monotonic() < end and self._choice.is_overloaded():
            await self._clock.sleep(_POLL_SECONDS)
        self._log(start)

    async def wait_for_rate(self) -> None:
        """Wait shortly while the rate limits of all targets admit no request.

        ``WaitingLines`` gives the order. Raises RateWaitTooLongError at once if the
        wait would be too long.
        """
        call, service = self._call, self._call.service.name
        lines = self._admission.lines
        if self._choice.find_rate_wait(0) == 0.0 and not lines.has_waiting(service):
            return
        start, end = self._find_times()
        with lines.join(
            service, call.priority, call.team, call.deadline, start
        ) as request:
            while True:
                before = lines.count_before(service, request, self._clock.monotonic())
                wait = self._choice.find_rate_wait(before)
                if wait == 0.0:
                    break
                if wait is None or self._clock.monotonic() + wait > end:
                    raise RateWaitTooLongError(wait)
                await self._clock.sleep(min(wait, _POLL_SECONDS))
        self._log(start)

    def _find_times(self) -> tuple[float, float]:
        """Return the time now and the latest end of a wait that begins now."""
        call = self._call
        start = self._clock.monotonic()
        longest = _MAX_WAIT_FRACTION * call.route.latency_objective_seconds
        return start, min(start + longest, call.deadline)

    def _log(self, start: float) -> None:
        seconds = round(self._clock.monotonic() - start, 3)
        if seconds:
            call = self._call
            emit(RequestDelayed(call.facts.request_id, call.service.name, seconds))
