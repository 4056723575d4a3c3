"""Client of the platform's store."""

import base64
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from carobladder.clients.log import Batch, LogRecord
from carobladder.clients.ports import HttpAnswer, HttpFetcher
from carobladder.exceptions import (
    ConnectionBrokenError,
    LogUnavailableError,
    OffsetDroppedError,
)
from carobladder.fleet.records import GroupAssignment, KeyedPage, KeyedRecord
from carobladder.platform.frames import (
    Page,
    decode_keyed,
    decode_page,
    encode_keyed,
    frame,
)

__all__ = ["KeyedTopic", "PlatformStore", "StoreLog"]

_APPEND_PATH = "/-/log-append"
_READ_PATH = "/-/log-read"
_NEWEST_PATH = "/-/log-newest"
_JOIN_PATH = "/-/log-join"
_LEAVE_PATH = "/-/log-leave"
_Document = TypeVar("_Document")
_JSON = (("Content-Type", "application/json"),)
_MS_PER_SECOND = 1000
# Keyed topics and logs have a single partition.
_ONLY_PART = 0


@dataclass(frozen=True, slots=True)
class _NewestPage:
    """Carry newest records of keys; ``end`` is the offset after the topic's last."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    end: int


class _Dropped(msgspec.Struct):
    first: int


class _Appended(msgspec.Struct):
    offset: int


class _Joined(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


class PlatformStore:
    """Call the store at IP:PORT.

    Each call raises LogUnavailableError if no usable answer came in time; its
    ``may_have_taken_effect`` is false only if the call was surely not executed.
    """

    def __init__(
        self, fetcher: HttpFetcher, address: str, timeout_seconds: float
    ) -> None:
        self._fetcher = fetcher
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def read_page(
        self, topic: str, part: int, first: int, wait_seconds: float
    ) -> Page:
        """Return records from an offset on; waits if there are none yet.

        Raises OffsetDroppedError if records from this offset on were dropped.
        """
        query: dict[str, str | int] = {
            "topic": topic,
            "part": part,
            "from": first,
            "waitMs": round(wait_seconds * _MS_PER_SECOND),
        }
        answer = await self._call("GET", _READ_PATH, query, wait_seconds=wait_seconds)
        if answer.status == HTTPStatus.GONE:
            raise OffsetDroppedError(_decode(answer.body, _Dropped).first)
        _require_ok(answer)
        try:
            return decode_page(answer.body)
        except ValueError as error:
            raise LogUnavailableError(str(error)) from None

    async def read_newest(self, topic: str, after: str = "") -> _NewestPage:
        """Return the newest records of the keys of a topic that follow ``after``."""
        query: dict[str, str | int] = {"topic": topic, "part": _ONLY_PART}
        if after:
            query["after"] = after
        answer = await self._call("GET", _NEWEST_PATH, query)
        _require_ok(answer)
        page = _decode(answer.body, _Newest)
        records = tuple(
            KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
            for item in page.items
        )
        return _NewestPage(records, page.has_more, page.end)

    async def append(
        self,
        topic: str,
        records: list[bytes],
        *,
        part: int = _ONLY_PART,
        expected_end: int | None = None,
    ) -> int | None:
        """Append the records and return the offset of the first.

        Return None if the partition does not end at ``expected_end``.
        """
        query: dict[str, str | int] = {"topic": topic, "part": part}
        if expected_end is not None:
            query["at"] = expected_end
        answer = await self._call("POST", _APPEND_PATH, query, frame(records))
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return None
        _require_ok(answer)
        return _decode(answer.body, _Appended).offset

    async def join_group(
        self,
        group: str,
        member: str,
        topics: tuple[str, ...],
        lease_seconds: float,
        generation: int,
    ) -> GroupAssignment:
        """Join a group or renew a membership; return the partitions held."""
        document = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttlMs": round(lease_seconds * _MS_PER_SECOND),
            "generation": generation,
        }
        answer = await self._call("POST", _JOIN_PATH, {}, msgspec.json.encode(document))
        _require_ok(answer)
        joined = _decode(answer.body, _Joined)
        parts = tuple((topic, part) for topic, part, _ in joined.parts)
        return GroupAssignment(joined.generation, parts)

    async def leave_group(self, group: str, member: str) -> None:
        """Give the member's partitions back."""
        document = msgspec.json.encode({"group": group, "member": member})
        _require_ok(await self._call("POST", _LEAVE_PATH, {}, document))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b"",
        wait_seconds: float = 0.0,
    ) -> HttpAnswer:
        target = f"{path}?{urlencode(query)}" if query else path
        try:
            return await self._fetcher.fetch(
                method,
                self._address,
                target,
                headers=_JSON if body else (),
                body=body,
                timeout_seconds=wait_seconds + self._timeout_seconds,
            )
        except ConnectionBrokenError as error:
            raise LogUnavailableError(
                f"store: {error}", may_have_taken_effect=error.request_written
            ) from error


def _require_ok(answer: HttpAnswer) -> None:
    if answer.status != HTTPStatus.OK:
        raise LogUnavailableError(
            f"store answered {answer.status}: {answer.body[:200]!r}",
            may_have_taken_effect=not _is_refusal(answer.status),
        )


def _is_refusal(status: int) -> bool:
    # These are the store's own answers; other 5xx may come after the work was done.
    return status < HTTPStatus.INTERNAL_SERVER_ERROR or status in (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )


def _decode(data: bytes, kind: type[_Document]) -> _Document:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(
            f"store answer cannot be read: {error}", may_have_taken_effect=True
        ) from None


class StoreLog:
    """Append to and read from topics of a single partition, as a log."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records, all or none, and return the offset of the first."""
        first = await self._store.append(stream, list(records))
        if first is None:
            raise LogUnavailableError("store refused an append without a condition")
        return first

    async def read(self, stream: str, offset: int, wait_seconds: float = 0.0) -> Batch:
        """Return records from an offset on, waiting for the first if there is none."""
        page = await self._store.read_page(stream, _ONLY_PART, offset, wait_seconds)
        records = tuple(
            LogRecord(offset + index, data) for index, data in enumerate(page.records)
        )
        return Batch(records, offset + len(records), page.oldest)


class KeyedTopic:
    """Read one keyed topic of the store."""

    def __init__(self, store: PlatformStore, topic: str) -> None:
        self._store = store
        self._topic = topic

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return records from an offset on; waits if there are none yet."""
        page = await self._store.read_page(self._topic, _ONLY_PART, first, wait_seconds)
        records = page.records
        decoded = [decode_keyed(first + i, record) for i, record in enumerate(records)]
        known = tuple(record for record in decoded if record is not None)
        return KeyedPage(known, first + len(records))

    async def write(self, key: str, value: bytes) -> None:
        """Write the newest value of a key; an empty value drops the key."""
        await self._store.append(self._topic, [encode_keyed(key, value)])

    async def write_at(
        self, expected_end: int, records: Iterable[tuple[str, bytes]]
    ) -> bool:
        """Write values of keys, all or none; tell whether the topic ended there."""
        framed = [encode_keyed(key, value) for key, value in records]
        first = await self._store.append(self._topic, framed, expected_end=expected_end)
        return first is not None

    async def read_newest(self) -> KeyedPage:
        """Return the newest record of each key and the offset to go on from.

        Pages are read one after another, so records from that offset on may be
        among them.
        """
        page = await self._store.read_newest(self._topic)
        end = page.end
        records = list(page.records)
        while page.has_more and page.records:
            page = await self._store.read_newest(self._topic, page.records[-1].key)
            records += page.records
        return KeyedPage(tuple(records), end)
