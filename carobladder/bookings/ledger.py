"""Ledger of claims: the state that results from the ``claims`` stream."""

from collections import OrderedDict
from dataclasses import dataclass
from functools import singledispatchmethod

from carobladder.bookings.claims import Claim, ClaimRecord, Completion, Withdrawal

__all__ = ["ClaimLedger", "LedgerEntry"]

# Withdrawals kept for a claim that may follow them in the stream.
_MAX_EARLY_WITHDRAWALS = 10_000


@dataclass(slots=True)
class LedgerEntry:
    """State of one key: the claim that holds it and, once known, the answer."""

    holder: Claim
    completion: Completion | None = None
    withdrawn: bool = False


class ClaimLedger:
    """State of all claimed keys, built from claim records in offset order.

    The first claim of a key holds it. The key can be claimed again only after that
    claim is withdrawn, which its instance does only if it sent nothing.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[tuple[str, str], LedgerEntry] = OrderedDict()
        self._early_withdrawals: OrderedDict[str, None] = OrderedDict()
        self._next_offset = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to apply."""
        return self._next_offset

    def skip_to(self, offset: int) -> None:
        """Continue at an offset, past records that the log no longer retains."""
        self._next_offset = max(self._next_offset, offset)

    def find(self, team: str, key: str) -> LedgerEntry | None:
        """Return the state of a key, or None if it was never claimed."""
        return self._entries.get((team, key))

    def apply(self, offset: int, record: ClaimRecord | None) -> None:
        """Apply one record; ignore offsets that were applied before.

        None stands for a record of unknown type, of which only the offset counts.
        """
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        if record is not None:
            self._apply_record(record)

    def drop_claimed_before(self, claimed_at_ms: int) -> None:
        """Drop the keys that were claimed before a Unix time in milliseconds."""
        while self._entries:
            entry_key, entry = next(iter(self._entries.items()))
            if entry.holder.claimed_at_ms >= claimed_at_ms:
                return
            del self._entries[entry_key]

    @singledispatchmethod
    def _apply_record(self, record: ClaimRecord) -> None:
        raise TypeError(f"unhandled claim record {type(record).__name__}")

    @_apply_record.register
    def _(self, record: Claim) -> None:
        if record.claim_id in self._early_withdrawals:
            return
        entry_key = (record.team, record.key)
        entry = self._entries.get(entry_key)
        if entry is None or entry.withdrawn:
            self._entries[entry_key] = LedgerEntry(record)

    @_apply_record.register
    def _(self, record: Completion) -> None:
        entry = self._find_held(record.team, record.key, record.claim_id)
        if entry is not None:
            entry.completion = record

    @_apply_record.register
    def _(self, record: Withdrawal) -> None:
        entry = self._find_held(record.team, record.key, record.claim_id)
        if entry is None:
            self._store_early_withdrawal(record.claim_id)
        else:
            entry.withdrawn = True

    def _store_early_withdrawal(self, claim_id: str) -> None:
        """Keep a withdrawal that precedes its claim, whose append was delayed."""
        self._early_withdrawals[claim_id] = None
        if len(self._early_withdrawals) > _MAX_EARLY_WITHDRAWALS:
            self._early_withdrawals.popitem(last=False)

    def _find_held(self, team: str, key: str, claim_id: str) -> LedgerEntry | None:
        entry = self._entries.get((team, key))
        if entry is None or entry.holder.claim_id != claim_id:
            return None
        return None if entry.completion or entry.withdrawn else entry
