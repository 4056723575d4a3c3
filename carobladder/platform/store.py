"""Clients of the platform's store, its logs and its keyed topics."""

import base64
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from carobladder.clients.log import Batch, LogRecord
from carobladder.clients.ports import HttpAnswer, HttpFetcher
from carobladder.decoding import DECODE_ERRORS
from carobladder.exceptions import (
    ConnectionBrokenError,
    LogUnavailableError,
    OffsetDroppedError,
)
from carobladder.fleet.records import (
    ConditionalAppend,
    GroupAssignment,
    KeyedPage,
    KeyedRecord,
)
from carobladder.platform.frames import (
    LogPage,
    decode_keyed,
    decode_page,
    encode_keyed,
    frame_records,
)

__all__ = ["KeyedTopic", "PlatformStore", "StoreLog"]

_APPEND_PATH = "/-/log-append"
_READ_PATH = "/-/log-read"
_NEWEST_PATH = "/-/log-newest"
_JOIN_PATH = "/-/log-join"
_LEAVE_PATH = "/-/log-leave"
_ERA_HEADER = "store-era"
_DocumentT = TypeVar("_DocumentT")
_JSON_HEADERS = (("Content-Type", "application/json"),)
_MS_PER_SECOND = 1000
# Keyed topics and logs have a single partition, with index 0.
_SINGLE_PARTITION = 0


@dataclass(frozen=True, slots=True)
class _NewestPage:
    """Newest records of some keys; ``end`` is the offset after the topic's last."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int
    era: int | None
    transfer_seconds: float = 0.0


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestAnswer(msgspec.Struct, rename="camel"):
    items: list[_NewestItem]
    has_more: bool
    end: int


class _DroppedAnswer(msgspec.Struct):
    first: int


class _AppendAnswer(msgspec.Struct):
    offset: int


class _JoinAnswer(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]


class PlatformStore:
    """HTTP client of the store at an address of the form IP:PORT.

    Each call raises LogUnavailableError if no valid response arrives in time; its
    ``may_have_taken_effect`` is false only if the call was certainly not executed.
    """

    def __init__(
        self, fetcher: HttpFetcher, address: str, timeout_seconds: float
    ) -> None:
        self._fetcher = fetcher
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def read_page(
        self, topic: str, part: int, first: int, wait_seconds: float
    ) -> LogPage:
        """Return the records from an offset on, waiting if there are none yet.

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
            dropped = _decode_json(answer.body, _DroppedAnswer)
            raise OffsetDroppedError(dropped.first, _read_era(answer))
        _raise_unless_ok(answer)
        try:
            return decode_page(answer.body, _read_era(answer), answer.body_seconds)
        except ValueError as error:
            raise LogUnavailableError(str(error)) from None

    async def read_newest(self, topic: str, after: str = "") -> _NewestPage:
        """Return a page of newest records, one for each key that follows ``after``."""
        query: dict[str, str | int] = {"topic": topic, "part": _SINGLE_PARTITION}
        if after:
            query["after"] = after
        answer = await self._call("GET", _NEWEST_PATH, query)
        _raise_unless_ok(answer)
        page = _decode_json(answer.body, _NewestAnswer)
        records = tuple(
            KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
            for item in page.items
        )
        era = _read_era(answer)
        return _NewestPage(records, page.has_more, page.end, era, answer.body_seconds)

    async def append(
        self,
        topic: str,
        records: list[bytes],
        *,
        part: int = _SINGLE_PARTITION,
        expected_end: int | None = None,
    ) -> int | None:
        """Append the records and return the offset of the first.

        Return None, without appending, if the partition does not end at
        ``expected_end``.
        """
        answer = await self._post_records(topic, records, part, expected_end)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return None
        return _decode_json(answer.body, _AppendAnswer).offset

    async def append_at(
        self, topic: str, records: list[bytes], expected_end: int
    ) -> ConditionalAppend:
        """Append if the topic ends as expected; return the outcome with the era."""
        answer = await self._post_records(
            topic, records, _SINGLE_PARTITION, expected_end
        )
        accepted = answer.status != HTTPStatus.PRECONDITION_FAILED
        return ConditionalAppend(accepted, _read_era(answer))

    async def _post_records(
        self, topic: str, records: list[bytes], part: int, expected_end: int | None
    ) -> HttpAnswer:
        """Return the answer to an append, which is 200 or 412."""
        query: dict[str, str | int] = {"topic": topic, "part": part}
        if expected_end is not None:
            query["at"] = expected_end
        answer = await self._call("POST", _APPEND_PATH, query, frame_records(records))
        if answer.status != HTTPStatus.PRECONDITION_FAILED:
            _raise_unless_ok(answer)
        return answer

    async def join_group(
        self,
        group: str,
        member: str,
        topics: tuple[str, ...],
        lease_seconds: float,
        generation: int,
    ) -> GroupAssignment:
        """Join a group or renew a membership; return the assigned partitions."""
        document = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttlMs": round(lease_seconds * _MS_PER_SECOND),
            "generation": generation,
        }
        answer = await self._call("POST", _JOIN_PATH, {}, msgspec.json.encode(document))
        _raise_unless_ok(answer)
        joined = _decode_json(answer.body, _JoinAnswer)
        parts = tuple((topic, part) for topic, part, _ in joined.parts)
        return GroupAssignment(joined.generation, parts, _read_era(answer))

    async def leave_group(self, group: str, member: str) -> None:
        """Leave a group and release the member's partitions."""
        document = msgspec.json.encode({"group": group, "member": member})
        _raise_unless_ok(await self._call("POST", _LEAVE_PATH, {}, document))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b"",
        wait_seconds: float = 0.0,
    ) -> HttpAnswer:
        path_and_query = f"{path}?{urlencode(query)}" if query else path
        try:
            return await self._fetcher.fetch(
                method,
                self._address,
                path_and_query,
                headers=_JSON_HEADERS if body else (),
                body=body,
                timeout_seconds=wait_seconds + self._timeout_seconds,
            )
        except ConnectionBrokenError as error:
            raise LogUnavailableError(
                f"store: {error}", may_have_taken_effect=error.request_written
            ) from error


def _raise_unless_ok(answer: HttpAnswer) -> None:
    if answer.status != HTTPStatus.OK:
        raise LogUnavailableError(
            f"store answered {answer.status}: {answer.body[:200]!r}",
            may_have_taken_effect=not _is_refusal(answer.status),
        )


def _is_refusal(status: int) -> bool:
    # With these statuses the store itself refuses a call. Other 5xx statuses may
    # arrive after the call was executed.
    return status < HTTPStatus.INTERNAL_SERVER_ERROR or status in (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )


def _read_era(answer: HttpAnswer) -> int | None:
    """Return the era of the store that an answer names, or None."""
    for name, value in answer.headers:
        if name == _ERA_HEADER and value.isascii() and value.isdigit():
            return int(value)
    return None


def _decode_json(data: bytes, kind: type[_DocumentT]) -> _DocumentT:
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise LogUnavailableError(
            f"store response cannot be decoded: {error}", may_have_taken_effect=True
        ) from None


class StoreLog:
    """Log whose streams are topics of the store with a single partition."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append all records or none and return the offset of the first."""
        first = await self._store.append(stream, list(records))
        if first is None:
            raise LogUnavailableError(
                "store returned 412 to an append that had no expected end"
            )
        return first

    async def read(self, stream: str, offset: int, wait_seconds: float = 0.0) -> Batch:
        """Return the records from an offset on, waiting if there are none yet."""
        page = await self._store.read_page(
            stream, _SINGLE_PARTITION, offset, wait_seconds
        )
        records = tuple(
            LogRecord(offset + index, data) for index, data in enumerate(page.records)
        )
        return Batch(records, offset + len(records), page.oldest)


class KeyedTopic:
    """Reader and writer of one keyed topic of the store."""

    def __init__(self, store: PlatformStore, topic: str) -> None:
        self._store = store
        self._topic = topic

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return the records from an offset on, waiting if there are none yet."""
        page = await self._store.read_page(
            self._topic, _SINGLE_PARTITION, first, wait_seconds
        )
        records = page.records
        decoded = [decode_keyed(first + i, record) for i, record in enumerate(records)]
        valid = tuple(record for record in decoded if record is not None)
        next_offset = first + len(records)
        return KeyedPage(valid, next_offset, page.end, page.era, page.transfer_seconds)

    async def write(self, key: str, value: bytes) -> None:
        """Write a value of a key; an empty value deletes the key."""
        await self._store.append(self._topic, [encode_keyed(key, value)])

    async def write_at(
        self, expected_end: int, records: Iterable[tuple[str, bytes]]
    ) -> bool:
        """Append all records or none; return whether the topic ended as expected."""
        encoded = [encode_keyed(key, value) for key, value in records]
        first = await self._store.append(
            self._topic, encoded, expected_end=expected_end
        )
        return first is not None

    async def append_at(
        self, expected_end: int, records: Iterable[tuple[str, bytes]]
    ) -> ConditionalAppend:
        """Append all records or none; return the outcome and the era of the store."""
        encoded = [encode_keyed(key, value) for key, value in records]
        return await self._store.append_at(self._topic, encoded, expected_end)

    async def read_newest(self) -> KeyedPage:
        """Return the newest record of each key and the offset to continue from.

        The pages are read one after another, so they may also contain records from
        that offset on. Raises LogUnavailableError if they are of several eras.
        """
        page = await self._store.read_newest(self._topic)
        end, era = page.end, page.era
        records = list(page.records)
        transfer_seconds = page.transfer_seconds
        while page.has_more and page.records:
            page = await self._store.read_newest(self._topic, page.records[-1].key)
            if page.era != era:
                raise LogUnavailableError("the store was restored during the read")
            records += page.records
            transfer_seconds += page.transfer_seconds
        return KeyedPage(tuple(records), end, end, era, transfer_seconds)
