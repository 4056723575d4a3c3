"""Client of the platform's append-only log."""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote, urlencode

import msgspec

from carobladder.clients.ports import HttpAnswer, HttpFetcher
from carobladder.exceptions import (
    ConnectionBrokenError,
    LogUnavailableError,
    OffsetDroppedError,
)

__all__ = ["Batch", "LogClient", "LogRecord"]

_DEFAULT_TIMEOUT_SECONDS = 5.0
_DEFAULT_READ_LIMIT = 500
_HEADERS = (("content-type", "application/json"), ("accept", "application/json"))


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Carry one record and its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Batch:
    """Carry consecutive records, the offset after them and the oldest retained."""

    records: tuple[LogRecord, ...]
    next_offset: int
    oldest_offset: int


class _Appended(msgspec.Struct):
    first_offset: int


class _Record(msgspec.Struct):
    offset: int
    data: str


class _Records(msgspec.Struct):
    records: list[_Record]
    next_offset: int
    oldest_offset: int


class _Dropped(msgspec.Struct):
    oldest_offset: int


class LogClient:
    """Append to and read from the streams of the log at IP:PORT."""

    def __init__(
        self,
        fetcher: HttpFetcher,
        address: str,
        *,
        timeout_seconds: float = _DEFAULT_TIMEOUT_SECONDS,
        read_limit: int = _DEFAULT_READ_LIMIT,
    ) -> None:
        self._fetcher = fetcher
        self._address = address
        self._timeout_seconds = timeout_seconds
        self._read_limit = read_limit

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append UTF-8 records and return the offset of the first.

        Raises LogUnavailableError; its ``may_have_taken_effect`` is false only
        if no byte was sent or the log itself refused the request.
        """
        body = msgspec.json.encode({"records": [_to_text(data) for data in records]})
        try:
            answer = await self._fetch("POST", _path(stream), body)
        except ConnectionBrokenError as error:
            raise LogUnavailableError(
                f"append to log stream {stream} failed: {error}; retry later",
                may_have_taken_effect=error.request_written,
            ) from error
        if answer.status not in (HTTPStatus.OK, HTTPStatus.CREATED):
            raise LogUnavailableError(
                f"log answered {answer.status} to an append to {stream}; retry later",
                may_have_taken_effect=not _is_refusal(answer.status),
            )
        return self._decode_append(stream, answer.body)

    async def read(self, stream: str, offset: int, wait_seconds: float = 0.0) -> Batch:
        """Return records from an offset on, waiting for the first if there is none.

        Raises OffsetDroppedError if the offset is no longer retained and
        LogUnavailableError if the log does not answer.
        """
        query = urlencode(
            {
                "from": offset,
                "limit": self._read_limit,
                "wait_ms": int(wait_seconds * 1000),
            }
        )
        path = f"{_path(stream)}?{query}"
        try:
            answer = await self._fetch("GET", path, b"", wait_seconds)
        except ConnectionBrokenError as error:
            raise LogUnavailableError(
                f"read of log stream {stream} failed: {error}; retry later"
            ) from error
        return _decode_read(stream, answer)

    async def _fetch(
        self, method: str, path: str, body: bytes, wait_seconds: float = 0.0
    ) -> HttpAnswer:
        return await self._fetcher.fetch(
            method,
            self._address,
            path,
            headers=_HEADERS,
            body=body,
            timeout_seconds=self._timeout_seconds + wait_seconds,
        )

    def _decode_append(self, stream: str, body: bytes) -> int:
        try:
            return msgspec.json.decode(body, type=_Appended).first_offset
        except msgspec.DecodeError as error:
            raise LogUnavailableError(
                f"undecodable answer to an append to {stream}; check the log service",
                may_have_taken_effect=True,
            ) from error


def _path(stream: str) -> str:
    return f"/v1/streams/{quote(stream, safe='')}/records"


def _to_text(data: bytes) -> str:
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ValueError("log records must be UTF-8; encode them as JSON") from error


def _is_refusal(status: int) -> bool:
    # 503 is the log's own answer in an outage; other 5xx come after unknown work.
    return status < 500 or status == HTTPStatus.SERVICE_UNAVAILABLE


def _decode_read(stream: str, answer: HttpAnswer) -> Batch:
    try:
        if answer.status == HTTPStatus.GONE:
            dropped = msgspec.json.decode(answer.body, type=_Dropped)
            raise OffsetDroppedError(dropped.oldest_offset)
        if answer.status != HTTPStatus.OK:
            raise LogUnavailableError(
                f"log answered {answer.status} to a read of {stream}; retry later"
            )
        decoded = msgspec.json.decode(answer.body, type=_Records)
    except msgspec.DecodeError as error:
        raise LogUnavailableError(
            f"undecodable answer to a read of {stream}; check the log service"
        ) from error
    records = tuple(
        LogRecord(record.offset, record.data.encode("utf-8"))
        for record in decoded.records
    )
    return Batch(records, decoded.next_offset, decoded.oldest_offset)
