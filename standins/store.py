"""The operator platform's store in memory, by its published protocol."""

import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

__all__ = ["StoreAnswer", "StoreState"]

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_OPERATORS_TOPICS = frozenset({"keyed.op", "keyed.servers"})


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Carry the answer of the store."""

    status: int
    body: bytes = b""


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


class StoreState:
    """Keep topics and groups; each call returns at once."""

    def __init__(self, parts: int = 12, page_items: int = 500) -> None:
        self._part_count = parts
        self._page_items = page_items
        self._parts: dict[tuple[str, int], _Part] = {}
        self._groups: dict[str, _Group] = {}
        self._kept: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._calls: dict[tuple[str, str], Callable[..., StoreAnswer]] = {
            ("POST", "/-/log-append"): self._append,
            ("GET", "/-/log-read"): self._read,
            ("GET", "/-/log-newest"): self._newest,
            ("POST", "/-/log-join"): self._join,
            ("POST", "/-/log-leave"): self._leave,
        }

    def call(self, method: str, target: str, body: bytes = b"") -> StoreAnswer:
        """Answer one call."""
        url = urlsplit(target)
        handler = self._calls.get((method, url.path))
        if handler is None:
            return StoreAnswer(404)
        return handler(dict(parse_qsl(url.query)), body)

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Write a keyed record as the operator or a server does."""
        name = key.encode()
        record = bytes([len(name)]) + name + (value or b"")
        part = self._find(topic, 0)
        part.records.append(record)
        return part.end - 1

    def put_document(self, topic: str, key: str, document: object) -> int:
        """Write a keyed JSON record."""
        return self.put(topic, key, json.dumps(document).encode())

    def compact(self, topic: str) -> None:
        """Drop the history of a keyed topic; the newest values stay readable."""
        part = self._find(topic, 0)
        kept = self._kept.setdefault(topic, {})
        kept.update(self._newest_records(part))
        part.first = part.end
        part.records = []

    def _find(self, topic: str, index: int) -> _Part:
        return self._parts.setdefault((topic, index), _Part())

    def _append(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        if query["topic"] in _OPERATORS_TOPICS:
            return StoreAnswer(403)
        part = self._find(query["topic"], int(query["part"]))
        if "at" in query and int(query["at"]) != part.end:
            return _answer_json(412, {"end": part.end})
        offset = part.end
        part.records.extend(_split(body))
        return _answer_json(200, {"offset": offset, "end": part.end})

    def _read(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        part = self._find(query["topic"], int(query["part"]))
        first = int(query["from"])
        if first < part.first:
            return _answer_json(410, {"first": part.first})
        records = part.records[first - part.first :]
        data = _OFFSETS.pack(part.end, part.first)
        data += b"".join(_LENGTH.pack(len(record)) + record for record in records)
        return StoreAnswer(200, data)

    def _newest(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        topic = query["topic"]
        part = self._find(topic, 0)
        newest = dict(self._kept.get(topic, {}))
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
        group = self._groups.setdefault(document["group"], _Group())
        if document["member"] not in group.members:
            group.members[document["member"]] = tuple(document["topics"])
            group.generation += 1
        members = sorted(group.members)
        rows = [
            [topic, part, 0]
            for topic in document["topics"]
            for part in range(self._part_count)
        ]
        mine = rows[members.index(document["member"]) :: len(members)]
        return _answer_json(
            200, {"generation": group.generation, "ttlMs": 1000, "parts": mine}
        )

    def _leave(self, query: dict[str, str], body: bytes) -> StoreAnswer:
        document = json.loads(body)
        group = self._groups.setdefault(document["group"], _Group())
        if group.members.pop(document["member"], None) is not None:
            group.generation += 1
        return _answer_json(200, {})


def _answer_json(status: int, document: object) -> StoreAnswer:
    return StoreAnswer(status, json.dumps(document).encode())


def _split(data: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        records.append(data[position : position + length])
        position += length
    return records
