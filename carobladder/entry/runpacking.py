"""Runs of records in messages between instances, with long values as deltas."""

from collections.abc import Sequence

from carobladder.clock import Clock
from carobladder.fleet import PackedRun, RecordRun, pack_run, unpack_run
from carobladder.fleet.deltas import Delta
from carobladder.telemetry import PeerRunRejected, emit
from carobladder.topics import LARGE_VALUE_BYTES, RecentValues

__all__ = ["RunPacker"]

# Long values in one answer, which fits in a datagram with the short ones.
_MAX_DELTA_BYTES = 56_000
# Short values, before the compression of the datagram.
_MAX_SHORT_BYTES = 32_768
# A tenth of a link of 5 Mbit/s, and what is sent at once after a rest.
_DELTA_BYTES_PER_SECOND = 64_000.0
_DELTA_BURST_BYTES = 128_000.0
# Time in which an answer with long values arrives on a narrow link. Meanwhile, other
# instances are not asked for them.
_ANSWER_SECONDS = 0.25


class RunPacker:
    """Packs runs for others, within a limit of bytes, and unpacks theirs.

    Long values are accepted from one instance at a time. Times are seconds of boot
    time.
    """

    def __init__(self, values: RecentValues, clock: Clock) -> None:
        self.sent_delta_bytes = 0
        self.rejected_runs = 0
        self._values = values
        self._clock = clock
        self._tokens = _DELTA_BURST_BYTES
        self._refilled_at = clock.boottime()
        self._asked: tuple[int, float] | None = None

    def describe_question(self, number: int) -> tuple[int, list[bytes]]:
        """Return the bytes of long values that the answer may have, and the bases."""
        now = self._clock.boottime()
        if self._asked is not None and now - self._asked[1] < _ANSWER_SECONDS:
            return 0, []
        self._asked = number, now
        return _MAX_DELTA_BYTES, self._values.list_bases()

    def note_answer(self, number: int) -> None:
        """Record an answer to a question; others may be asked for long values again."""
        if self._asked is not None and self._asked[0] == number:
            self._asked = None

    def pack(
        self, run: RecordRun | None, accepted_bytes: int, bases: Sequence[bytes]
    ) -> PackedRun | None:
        """Return the wire form of a run, as far as its records may be sent."""
        if run is None:
            return None
        deltas: dict[int, Delta] = {}
        delta_bytes = short_bytes = 0
        limit = min(accepted_bytes, _MAX_DELTA_BYTES, int(self._refill()))
        for record in run.records:
            value = record.value or b""
            if len(value) < LARGE_VALUE_BYTES:
                short_bytes += len(record.key) + len(value)
            elif limit:
                deltas[record.offset] = self._values.build_delta(value, bases)
                delta_bytes += deltas[record.offset].size
            is_unsent = len(value) >= LARGE_VALUE_BYTES and not limit
            if is_unsent or delta_bytes > limit or short_bytes > _MAX_SHORT_BYTES:
                truncated = run.truncate(record.offset)
                if truncated is None:
                    return None
                deltas = {
                    r.offset: d
                    for r in truncated.records
                    if (d := deltas.get(r.offset))
                }
                run = truncated
                break
        sent_bytes = sum(delta.size for delta in deltas.values())
        self.sent_delta_bytes += sent_bytes
        self._tokens -= sent_bytes
        return pack_run(run, deltas)

    def unpack(self, packed: PackedRun) -> RecordRun | None:
        """Return a run, or None if one of its values cannot be restored."""
        try:
            return unpack_run(packed, self._values.apply_delta)
        except ValueError as error:
            self.rejected_runs += 1
            emit(PeerRunRejected(packed.first, str(error)))
            return None

    def _refill(self) -> float:
        now = self._clock.boottime()
        added = max(0.0, now - self._refilled_at) * _DELTA_BYTES_PER_SECOND
        self._tokens = min(_DELTA_BURST_BYTES, self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)
        return max(0.0, self._tokens)
