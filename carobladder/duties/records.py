"""Records of the duties: terms of holders and usage counts of windows."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from carobladder.decoding import DECODE_ERRORS
from carobladder.fleet.records import KeyedPage, KeyedRecord

__all__ = [
    "USAGE_SLOTS",
    "DutyLog",
    "Term",
    "UsageRecord",
    "build_token",
    "encode_term",
    "encode_usage",
    "read_log",
    "read_token_era",
]

# Windows whose records are kept. A window that is older than the newest one of its
# slot is never recorded, so 16 windows of 5 s bound a delay to 80 s.
USAGE_SLOTS = 16
_TERM_BITS = 32
_TERM_KEY = "term"
_USAGE_KEY = "usage"


class Term(msgspec.Struct, frozen=True):
    """Right of one run of an instance to perform the duties.

    ``run`` tells the runs of an instance apart. ``waited`` tells whether the holder
    waits for the end of the former holder's lease before it acts. ``released`` means
    that the holder acts no more and that no call of it is pending. Windows below
    ``floor`` must not be recorded, as a restored store may have lost their records.
    """

    token: int
    holder: str
    run: int
    waited: bool
    floor: int
    released: bool = False


class UsageRecord(msgspec.Struct, frozen=True):
    """Counts of a window by team, which every report of the window repeats."""

    window: int
    token: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class DutyLog:
    """Contents of the topic before ``end`` in an era.

    ``term`` is the newest of this era, or None. Before the first term of an era,
    ``usage`` has the records of the newest earlier era that has any. ``outdated_keys``
    are those of earlier eras.
    """

    era: int
    end: int
    term: Term | None = None
    usage: Mapping[int, UsageRecord] = field(default_factory=dict)
    outdated_keys: tuple[str, ...] = ()

    def find_usage(self, window: int) -> UsageRecord | None:
        """Return the record of a window, or None."""
        record = self.usage.get(window % USAGE_SLOTS)
        return record if record is not None and record.window == window else None

    def find_newest_window(self) -> int:
        """Return the newest recorded window, or -1."""
        return max((record.window for record in self.usage.values()), default=-1)

    def may_record(self, window: int) -> bool:
        """Return whether no record of a window can exist."""
        if self.term is None or window < self.term.floor:
            return False
        record = self.usage.get(window % USAGE_SLOTS)
        return record is None or record.window < window


_term_decoder = msgspec.msgpack.Decoder(Term)
_usage_decoder = msgspec.msgpack.Decoder(UsageRecord)


def build_token(era: int, number: int) -> int:
    """Return the token of a term, which is higher than all of earlier eras."""
    return era << _TERM_BITS | number


def read_token_era(token: int) -> int:
    """Return the era of a token."""
    return token >> _TERM_BITS


def encode_term(term: Term) -> tuple[str, bytes]:
    """Return the key and the value of a term."""
    return f"{read_token_era(term.token)}/{_TERM_KEY}", msgspec.msgpack.encode(term)


def encode_usage(era: int, record: UsageRecord) -> tuple[str, bytes]:
    """Return the key and the value of a usage record that is written in an era."""
    slot = record.window % USAGE_SLOTS
    return f"{era}/{_USAGE_KEY}/{slot}", msgspec.msgpack.encode(record)


def read_log(page: KeyedPage) -> DutyLog:
    """Return the log of a page with the newest records of all keys.

    Unreadable records are ignored.
    """
    era = page.era or 0
    terms: dict[int, Term] = {}
    usage: dict[int, dict[int, UsageRecord]] = {}
    keys: dict[int, list[str]] = {}
    for record in page.records:
        _read_record(record, terms, usage, keys)
    eras = [known for known in (*terms, *usage) if known <= era]
    # Records of the present era count once it has a term. Before, an instance that had
    # not heard of the era may have written to keys of its own era.
    source = era if era in terms else max((e for e in eras if e < era), default=era)
    outdated = [key for known, names in keys.items() if known < era for key in names]
    return DutyLog(
        era, page.next_offset, terms.get(era), usage.get(source, {}), tuple(outdated)
    )


def _read_record(
    record: KeyedRecord,
    terms: dict[int, Term],
    usage: dict[int, dict[int, UsageRecord]],
    keys: dict[int, list[str]],
) -> None:
    prefix, _, rest = record.key.partition("/")
    if not prefix.isdecimal() or record.value is None:
        return
    era = int(prefix)
    keys.setdefault(era, []).append(record.key)
    try:
        if rest == _TERM_KEY:
            terms[era] = _term_decoder.decode(record.value)
        elif rest.startswith(_USAGE_KEY):
            decoded = _usage_decoder.decode(record.value)
            usage.setdefault(era, {})[decoded.window % USAGE_SLOTS] = decoded
    except DECODE_ERRORS:
        return
