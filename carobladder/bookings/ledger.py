"""Ledger of claims: the state that the ``claims`` stream describes."""

from collections import OrderedDict
from dataclasses import dataclass
from functools import singledispatchmethod

from carobladder.bookings.claims import Claim, ClaimRecord, Completion, Withdrawal

__all__ = ["ClaimLedger", "LedgerEntry"]

_MAX_EARLY_WITHDRAWALS = 10_000


@dataclass(slots=True)
class LedgerEntry:
    """State of one key: its holder and, once known, the answer."""

    holder: Claim
    completion: Completion | None = None
    withdrawn: bool = False


class ClaimLedger:
    """Apply claim records in offset order.

    The first claim of a key holds it. A key is open again only after its
    holder withdrew, which the holder does only if it sent nothing.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[tuple[str, str], LedgerEntry] = OrderedDict()
        self._early_withdrawals: OrderedDict[str, None] = OrderedDict()
        self._next_offset = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def next_offset(self) -> int:
        """Return the offset of the first record that is not applied yet."""
        return self._next_offset

    def skip_to(self, offset: int) -> None:
        """Continue after records that the log no longer retains."""
        self._next_offset = max(self._next_offset, offset)

    def find(self, team: str, key: str) -> LedgerEntry | None:
        """Return the state of a key, or None if it was never claimed."""
        return self._entries.get((team, key))

    def apply(self, offset: int, record: ClaimRecord | None) -> None:
        """Apply one record; offsets that were applied before are ignored."""
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        if record is not None:
            self._apply_record(record)

    def forget_before(self, claimed_at_ms: int) -> None:
        """Drop the keys that were claimed before the given Unix time."""
        while self._entries:
            place, entry = next(iter(self._entries.items()))
            if entry.holder.claimed_at_ms >= claimed_at_ms:
                return
            del self._entries[place]

    @singledispatchmethod
    def _apply_record(self, record: ClaimRecord) -> None:
        raise TypeError(f"unhandled claim record {type(record).__name__}")

    @_apply_record.register
    def _(self, record: Claim) -> None:
        if record.claim_id in self._early_withdrawals:
            return
        place = (record.team, record.key)
        entry = self._entries.get(place)
        if entry is None or entry.withdrawn:
            self._entries[place] = LedgerEntry(record)

    @_apply_record.register
    def _(self, record: Completion) -> None:
        entry = self._find_held(record.team, record.key, record.claim_id)
        if entry is not None:
            entry.completion = record

    @_apply_record.register
    def _(self, record: Withdrawal) -> None:
        entry = self._find_held(record.team, record.key, record.claim_id)
        if entry is None:
            self._remember_withdrawal(record.claim_id)
        else:
            entry.withdrawn = True

    def _remember_withdrawal(self, claim_id: str) -> None:
        """Keep a withdrawal that a delayed append placed before its claim."""
        self._early_withdrawals[claim_id] = None
        if len(self._early_withdrawals) > _MAX_EARLY_WITHDRAWALS:
            self._early_withdrawals.popitem(last=False)

    def _find_held(self, team: str, key: str, claim_id: str) -> LedgerEntry | None:
        entry = self._entries.get((team, key))
        if entry is None or entry.holder.claim_id != claim_id:
            return None
        return None if entry.completion or entry.withdrawn else entry
