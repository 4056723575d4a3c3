"""Application of the records of a topic by key, in order and once."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

import xxhash

from carobladder.fleet import KeyedRecord
from carobladder.telemetry import RecordNotApplied, emit

__all__ = ["RecordApplier"]

# Offset of a removal whose record is no longer in the store.
_UNKNOWN_OFFSET = -1
# Values and removals that newer ones replaced, remembered to recognise them in a copy.
_MAX_OUTDATED = 4096
_MAX_REMOVED = 512


class RecordApplier:
    """Passes each change of a key on, in order and once.

    After the store was restored from a copy, a key that the copy lacks, or has an
    outdated value of, keeps its known value until it is written again or ``settle`` is
    called. With ``keeps_lost_keys`` it keeps it until it is written again.
    With ``keys_expire`` a removal in that time may be the expiry of an entry that its
    writer could not renew, and that may come back as it was.
    ``on_moved`` is called with a record whose value is known already but whose offset
    is that of a new era.
    """

    def __init__(
        self,
        topic: str,
        on_record: Callable[[KeyedRecord], None],
        on_moved: Callable[[KeyedRecord], None] | None = None,
        *,
        keeps_lost_keys: bool = False,
        keys_expire: bool = False,
    ) -> None:
        self._topic = topic
        self._on_record = on_record
        self._on_moved = on_moved
        self._keeps_lost_keys = keeps_lost_keys
        self._keys_expire = keys_expire
        self._key_offsets: dict[str, int] = {}
        self._digests: dict[str, int] = {}
        self._removed: OrderedDict[str, None] = OrderedDict()
        self._outdated: OrderedDict[int, None] = OrderedDict()
        self._is_restoring = False
        # What the store has of keys that it has not been told of again.
        self._unconfirmed: dict[str, KeyedRecord] = {}

    @property
    def is_restoring(self) -> bool:
        """Whether what a restored store has lost may still be written again."""
        return self._is_restoring

    def note_superseded(self, record: KeyedRecord) -> None:
        """Remember a record that is left out, as a newer one of its key follows."""
        digest = _compute_digest(record.key, record.value)
        _remember(self._outdated, digest, _MAX_OUTDATED)

    def apply(self, record: KeyedRecord) -> bool:
        """Pass a record on unless a newer one of its key is known; return whether."""
        if record.offset <= self._key_offsets.get(record.key, -1):
            return False
        self._note_offset(record)
        if self._is_restoring and not self._is_news(record):
            return False
        self._accept(record)
        return True

    def apply_snapshot(self, records: Sequence[KeyedRecord]) -> int:
        """Pass on the newest records of all keys; other keys count as removed.

        Before ``settle``, those that no record of the new era names count as lost.
        Return the number of keys that are missing.
        """
        missing = self._list_missing(records)
        for removal in missing:
            if self._is_restoring and removal.key not in self._key_offsets:
                self._unconfirmed[removal.key] = removal
                continue
            self._note_offset(removal)
            self._unconfirmed.pop(removal.key, None)
            self._accept(removal)
        for record in records:
            self.apply(record)
        return len(missing)

    def restore(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the newest records of all keys after the store was restored."""
        self._is_restoring = True
        self._key_offsets.clear()
        self._unconfirmed = {
            removal.key: removal for removal in self._list_missing(records)
        }
        for record in records:
            self.apply(record)

    def settle(self) -> int:
        """Take what the store has for the truth; return the number of changes."""
        self._is_restoring = False
        changes = [] if self._keeps_lost_keys else list(self._unconfirmed.values())
        self._unconfirmed = {}
        for record in changes:
            self._accept(record)
        return len(changes)

    def _list_missing(self, records: Sequence[KeyedRecord]) -> list[KeyedRecord]:
        """Return removals of the known keys that have no record."""
        present = {record.key for record in records}
        return [
            KeyedRecord(_UNKNOWN_OFFSET, key, None)
            for key in self._digests
            if key not in present
        ]

    def _note_offset(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._key_offsets.pop(record.key, None)
        else:
            self._key_offsets[record.key] = record.offset

    def _is_news(self, record: KeyedRecord) -> bool:
        """Return whether a record of a new era differs from all of the era before.

        One that was replaced in that era is likely to be followed by its successor.
        """
        digest = _compute_digest(record.key, record.value)
        known = self._digests.get(record.key)
        is_same = record.value is None if known is None else digest == known
        if not is_same and digest in self._outdated:
            self._unconfirmed[record.key] = record
            return False
        self._unconfirmed.pop(record.key, None)
        if is_same and self._on_moved is not None and record.value is not None:
            self._call(self._on_moved, record)
        return not is_same

    def _accept(self, record: KeyedRecord) -> None:
        """Remember a record as the newest of its key and pass it on."""
        key = record.key
        before = self._digests.pop(key, None)
        is_removal = record.value is None
        may_be_expiry = self._keys_expire and self._is_restoring and is_removal
        if before is not None and not may_be_expiry:
            _remember(self._outdated, before, _MAX_OUTDATED)
        if record.value is None:
            _remember(self._removed, key, _MAX_REMOVED)
        else:
            self._digests[key] = _compute_digest(key, record.value)
            if self._removed.pop(key, 0) is None:
                _remember(self._outdated, _compute_digest(key, None), _MAX_OUTDATED)
        self._call(self._on_record, record)

    def _call(
        self, function: Callable[[KeyedRecord], None], record: KeyedRecord
    ) -> None:
        """Pass a record on; one that cannot be applied does not keep others back."""
        try:
            function(record)
        except Exception as error:
            emit(RecordNotApplied(self._topic, record.key, repr(error)))


def _remember(memory: OrderedDict, item: object, limit: int) -> None:
    """Add an item as the newest one, and drop the oldest beyond the limit."""
    memory[item] = None
    memory.move_to_end(item)
    if len(memory) > limit:
        memory.popitem(last=False)


def _compute_digest(key: str, value: bytes | None) -> int:
    if value is None:
        return xxhash.xxh3_64_intdigest(key.encode(), seed=1)
    return xxhash.xxh3_64_intdigest(value, seed=xxhash.xxh32_intdigest(key.encode()))
