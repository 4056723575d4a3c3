"""The operator platform's store in memory, by its published protocol."""

import base64
import json
import struct
from collections.abc import Callable, Iterable
from copy import deepcopy
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qsl, urlsplit

__all__ = [
    "ERA_HEADER",
    "LostWrite",
    "StoreAnswer",
    "StoreCopy",
    "StoreState",
    "join_page",
    "split_records",
]

# Number of times that the store came back from a copy, in all its answers.
ERA_HEADER = "Store-Era"

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_DEFAULT_PAGE_KB = 1024
_OPERATORS_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Carry the answer of the store."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class LostWrite:
    """Remember a write of the operator or of a server; ``number`` gives the order."""

    number: int
    topic: str
    key: str
    value: bytes | None


@dataclass(slots=True)
class _Part:
    records: list[bytes] = field(default_factory=list)
    first: int = 0

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True)
class _Group:
    generation: int = 0
    members: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(slots=True)
class _Content:
    """All that a drill sets back."""

    parts: dict[tuple[str, int], _Part] = field(default_factory=dict)
    groups: dict[str, _Group] = field(default_factory=dict)
    kept: dict[str, dict[str, tuple[int, bytes]]] = field(default_factory=dict)
    writes: list[LostWrite] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold what the store contained at one moment."""

    content: _Content


# Topics of a group whose partitions are assigned; further ones have been left out by
# the platform's store.
_GROUP_TOPICS = 20


class StoreState:
    """Keep topics and groups; each call returns at once.

    ``era`` rises by one with each restored copy. ``lost_writes`` are those of the
    operator and the servers that the store has lost and that were not written again.
    """

    def __init__(self, parts: int = 12, page_items: int = 500) -> None:
        self.era = 1
        self.lost_writes: list[LostWrite] = []
        self._part_count = parts
        self._page_items = page_items
        self._content = _Content()
        self._write_count = 0
        self._calls: dict[tuple[str, str], Callable[..., StoreAnswer]] = {
            ("POST", "/-/log-append"): self._append,
            ("POST", "/-/log-trim"): self._trim,
            ("GET", "/-/log-read"): self._read,
            ("GET", "/-/log-newest"): self._newest,
            ("POST", "/-/log-join"): self._join,
            ("POST", "/-/log-leave"): self._leave,
        }

    def call(self, method: str, target: str, body: bytes = b"") -> StoreAnswer:
        """Answer one call, with the era."""
        return replace(self._answer(method, target, body), headers=self.era_headers)

    @property
    def era_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that all answers carry."""
        return ((ERA_HEADER, str(self.era)),)

    def take_copy(self) -> StoreCopy:
        """Return a copy of what the store contains now."""
        return StoreCopy(deepcopy(self._content))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy and begin a new era.

        The writes of the operator and the servers that the copy lacks become
        ``lost_writes``; what the system wrote since the copy is gone.
        """
        known = {write.number for write in copy.content.writes}
        written = {
            write.number: write for write in (*self.lost_writes, *self._content.writes)
        }
        self.lost_writes = [
            written[number] for number in sorted(written) if number not in known
        ]
        self._content = deepcopy(copy.content)
        self.era += 1

    def write_lost_again(self, *, only_newest: bool = False) -> list[LostWrite]:
        """Write the lost writes again, in order, and return them.

        With ``only_newest``, those that a later one of the same key replaces stay lost.
        """
        again, self.lost_writes = self.lost_writes, []
        if only_newest:
            newest = {(write.topic, write.key): write.number for write in again}
            again = [write for write in again if write.number in newest.values()]
        for write in again:
            self._put(write)
        return again

    def forget_lost(self, topic: str, key: str) -> None:
        """Drop the lost writes of a key, whose writer has ended."""
        self.lost_writes = [
            write
            for write in self.lost_writes
            if (write.topic, write.key) != (topic, key)
        ]

    def _answer(self, method: str, target: str, body: bytes) -> StoreAnswer:
        url = urlsplit(target)
        handler = self._calls.get((method, url.path))
        if handler is None:
            return StoreAnswer(404)
        try:
            return handler(dict(parse_qsl(url.query)), body)
        except (KeyError, ValueError) as error:
            return _answer_json(400, {"reason": f"malformed call: {error}"})

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Write a keyed record as the operator or a server does."""
        self._write_count += 1
        return self._put(LostWrite(self._write_count, topic, key, value))

    def _put(self, write: LostWrite) -> int:
        name = write.key.encode()
        record = bytes([len(name)]) + name + (write.value or b"")
        part = self._find(write.topic, 0)
        part.records.append(record)
        if write.topic in _OPERATORS_TOPICS:
            self._content.writes.append(write)
        return part.end - 1

    def put_document(self, topic: str, key: str, document: object) -> int:
        """Write a keyed JSON record."""
        return self.put(topic, key, json.dumps(document).encode())

    def drop_before(self, topic: str, index: int, offset: int) -> None:
        """Drop the records of a partition before an offset."""
        part = self._find(topic, index)
        count = min(max(0, offset - part.first), len(part.records))
        del part.records[:count]
        part.first += count

    def find_end(self, topic: str, index: int) -> int:
        """Return the offset after a partition's last record."""
        return self._find(topic, index).end

    def compact(self, topic: str) -> None:
        """Drop the history of a keyed topic; the newest values stay readable."""
        part = self._find(topic, 0)
        kept = self._content.kept.setdefault(topic, {})
        kept.update(self._newest_records(part))
        part.first = part.end
        part.records = []

    def _find(self, topic: str, index: int) -> _Part:
        return self._content.parts.setdefault((topic, index), _Part())

    def _append(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        if query["topic"] in _OPERATORS_TOPICS:
            return StoreAnswer(403)
        part = self._find(query["topic"], int(query["part"]))
        if "at" in query and int(query["at"]) != part.end:
            return _answer_json(412, {"end": part.end})
        records = split_records(body)
        offset = part.end
        part.records.extend(records)
        return _answer_json(200, {"offset": offset, "end": part.end})

    def _trim(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        self.drop_before(query["topic"], int(query["part"]), int(query["before"]))
        return _answer_json(200, {})

    def _read(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        part = self._find(query["topic"], int(query["part"]))
        first = int(query["from"])
        if first < 0:
            raise ValueError("offsets begin with 0")
        if not part.first <= first <= part.end:
            return _answer_json(410, {"first": part.first})
        left = int(query.get("maxKb", _DEFAULT_PAGE_KB)) * 1024
        records: list[bytes] = []
        for record in part.records[first - part.first :]:
            left -= _LENGTH.size + len(record)
            if records and left < 0:
                break
            records.append(record)
        return StoreAnswer(200, join_page(part.end, part.first, records))

    def _newest(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        topic = query["topic"]
        part = self._find(topic, 0)
        newest = dict(self._content.kept.get(topic, {}))
        newest.update(self._newest_records(part))
        after = query.get("after", "")
        keys = sorted(key for key, (_, value) in newest.items() if value)
        keys = [key for key in keys if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[: self._page_items]
        ]
        document = {
            "items": items,
            "hasMore": len(keys) > self._page_items,
            "end": part.end,
        }
        return _answer_json(200, document)

    def _newest_records(self, part: _Part) -> dict[str, tuple[int, bytes]]:
        newest = {}
        for index, record in enumerate(part.records):
            if not record or len(record) <= record[0]:
                continue
            key = record[1 : record[0] + 1].decode()
            newest[key] = (part.first + index, record[record[0] + 1 :])
        return newest

    def _join(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        document = json.loads(body)
        group = self._content.groups.setdefault(document["group"], _Group())
        if document["member"] not in group.members:
            group.members[document["member"]] = tuple(document["topics"])
            group.generation += 1
        members = sorted(group.members)
        rows = [
            [topic, part, 0]
            for topic in document["topics"][:_GROUP_TOPICS]
            for part in range(self._part_count)
        ]
        mine = rows[members.index(document["member"]) :: len(members)]
        return _answer_json(
            200, {"generation": group.generation, "ttlMs": 1000, "parts": mine}
        )

    def _leave(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        document = json.loads(body)
        group = self._content.groups.setdefault(document["group"], _Group())
        if group.members.pop(document["member"], None) is not None:
            group.generation += 1
        return _answer_json(200, {})


def _answer_json(status: int, document: object) -> StoreAnswer:
    return StoreAnswer(status, json.dumps(document).encode())


def join_page(end: int, first: int, records: Iterable[bytes]) -> bytes:
    """Return the answer to a read of records."""
    framed = (_LENGTH.pack(len(record)) + record for record in records)
    return _OFFSETS.pack(end, first) + b"".join(framed)


def split_records(data: bytes) -> list[bytes]:
    """Return the records of an append; raises ValueError if one is cut."""
    records = []
    position = 0
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise ValueError("a length is cut")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise ValueError("a record is cut")
        records.append(data[position : position + length])
        position += length
    return records
