"""Detection of targets that end while they answer requests."""

import asyncio
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock
from carobladder.fleet import FleetTarget
from carobladder.quarantine import PartQuarantine, QuarantineDecision
from carobladder.telemetry import TargetCrashed, emit

__all__ = ["CrashWatch"]

# All answers of a target that ends break off within the first of these times. A target
# that still accepts connections then may be closing, and is checked once more.
_CHECK_DELAYS_SECONDS = (0.02, 0.3)


@dataclass(slots=True)
class _BrokenAnswers:
    """Parts of the requests whose answers from a target broke off lately.

    ``unframed`` are those of answers that ended with their connection, as a whole
    answer without a length does.
    """

    at: float
    begun: set[int] = field(default_factory=set)
    others: set[int] = field(default_factory=set)
    unframed: set[int] = field(default_factory=set)


class CrashWatch:
    """Watch for answers that break off because their targets end.

    A broken answer alone says little: the connection, the network or a fault in one
    answer may be the cause. A target that accepts no new connection has ended.
    """

    def __init__(
        self, quarantine: PartQuarantine, client: HttpClient, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._pending: dict[FleetTarget, _BrokenAnswers] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def decide(self, parts: Collection[int]) -> QuarantineDecision:
        """Return whether a request with these parts may be sent; count a trial."""
        return self._quarantine.decide(tuple(parts), self._clock.boottime())

    def is_held(self, parts: Iterable[int]) -> bool:
        """Return whether any of these parts is in quarantine."""
        return any(self._quarantine.find_level(part) for part in parts)

    def may_repeat(self, parts: Iterable[int], target: FleetTarget) -> bool:
        """Return whether a request whose answer had begun at a target may repeat."""
        return self._quarantine.may_repeat(parts, _compute_crash_id(target))

    def note_sound(self, parts: Iterable[int]) -> None:
        """Record an answer that was whole or had gone on for a while."""
        self._quarantine.note_sound(parts, self._clock.boottime())

    def note_failed_trial(self, parts: Iterable[int]) -> None:
        """Record that the answer to a trial broke off."""
        self._quarantine.note_failed_trial(parts, self._clock.boottime())

    def note_broken(
        self, target: FleetTarget, parts: Collection[int], *, begun: bool
    ) -> None:
        """Record an answer that broke off.

        ``begun`` is true if it had begun and had sent no event.
        """
        answers = self._find_pending(target)
        (answers.begun if begun else answers.others).update(parts)

    def note_unframed(self, target: FleetTarget, parts: Collection[int]) -> None:
        """Record an answer that ended with its connection.

        It is taken for whole if its target does not fail meanwhile.
        """
        self._find_pending(target).unframed.update(parts)

    def _find_pending(self, target: FleetTarget) -> _BrokenAnswers:
        if target not in self._pending:
            self._pending[target] = _BrokenAnswers(self._clock.boottime())
            check = asyncio.create_task(self._check(target))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)
        return self._pending[target]

    async def _check(self, target: FleetTarget) -> None:
        has_ended = False
        try:
            for seconds in _CHECK_DELAYS_SECONDS:
                await asyncio.sleep(seconds)
                has_ended = await self._has_ended(target)
                if has_ended:
                    break
        finally:
            answers = self._pending.pop(target)
        if has_ended:
            self._report_crash(target, answers)
        elif not target.health.is_failing(self._clock.monotonic()):
            self.note_sound(answers.unframed)

    async def _has_ended(self, target: FleetTarget) -> bool:
        answers = self._pending[target]
        if target.draining or target.leaving:
            # Its end is planned.
            return False
        if not (answers.begun or answers.others):
            return False
        return not await self._client.probe(target.entry.address)

    def _report_crash(self, target: FleetTarget, answers: _BrokenAnswers) -> None:
        begun = answers.begun | answers.unframed
        others = answers.others - begun
        emit(TargetCrashed(target.target_id, len(begun), len(others)))
        self._quarantine.note_crash(
            _compute_crash_id(target),
            begun,
            others,
            answers.at,
            self._clock.boottime(),
        )


def _compute_crash_id(target: FleetTarget) -> int:
    """Return a short hash of a run of a target, the same on all instances."""
    entry = target.entry
    return xxhash.xxh32_intdigest(f"{entry.target_id}/{entry.started_ms}".encode())
