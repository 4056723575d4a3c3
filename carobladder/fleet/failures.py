"""Silent targets that instances warn each other of."""

import random
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.telemetry import TargetDoubted, emit

__all__ = ["FailureReport", "FailureSharing"]

_MS_PER_SECOND = 1000
_NUMBER_BITS = 32
# Times that an instance tells one report, besides the message that carries it at once.
_TELLINGS = 2
_MAX_REPORTS = 8
_MAX_AGE_MS = 10_000
_MAX_KNOWN = 512


class FailureReport(msgspec.Struct, array_like=True, frozen=True):
    """State that a target has sent nothing since a request that is ``age_ms`` old.

    ``number`` tells the reports apart.
    """

    target_id: str
    age_ms: int
    number: int


class FailureSharing:
    """Warn other instances of a silent target, and take their warnings.

    With hundreds of instances each sends a request to a target twice a minute. Without
    warnings each would lose one of its own before it leaves a silent target alone.
    """

    def __init__(self, table: TargetTable, generator: random.Random) -> None:
        self._table = table
        self._generator = generator
        self._known: OrderedDict[int, None] = OrderedDict()
        # Reports to tell, with the time of the request and the tellings left.
        self._pending: dict[int, tuple[FleetTarget, float, int]] = {}

    def note_silence(self, target: FleetTarget, sent_at: float, now: float) -> bool:
        """Note that a request of this instance got no byte; tell whether to warn.

        An instance that hears of no other target since may itself be cut off.
        """
        others = (t for t in self._table.list_all() if t is not target)
        if not any(other.health.last_byte_at > sent_at for other in others):
            return False
        number = self._generator.getrandbits(_NUMBER_BITS)
        return self._take(number, target, sent_at, now)

    def take(self, reports: Iterable[FailureReport], now: float) -> bool:
        """Use the warnings of another instance; tell whether any is to be told on."""
        is_new = False
        for report in reports:
            target = self._table.find(report.target_id)
            if target is None or not 0 <= report.age_ms <= _MAX_AGE_MS:
                continue
            silent_since = now - report.age_ms / _MS_PER_SECOND
            is_new |= self._take(report.number, target, silent_since, now)
        return is_new

    def collect(self, now: float) -> list[FailureReport]:
        """Return the reports to tell now, and count them as told once."""
        reports = []
        for number in list(self._pending)[:_MAX_REPORTS]:
            target, silent_since, tellings = self._pending.pop(number)
            age_ms = round((now - silent_since) * _MS_PER_SECOND)
            reports.append(FailureReport(target.target_id, age_ms, number))
            if tellings:
                self._pending[number] = target, silent_since, tellings - 1
        return reports

    def _take(
        self, number: int, target: FleetTarget, silent_since: float, now: float
    ) -> bool:
        if number in self._known or target.health.is_doubted(now):
            return False
        self._known[number] = None
        if len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
        seconds = target.health.note_warning(silent_since, now)
        if seconds:
            emit(TargetDoubted(target.target_id, round(seconds, 2)))
        self._pending[number] = target, silent_since, _TELLINGS
        return True
