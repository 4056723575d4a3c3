"""Callers: send a request, check its answer, retry through other instances."""

import asyncio
import json
import random
import secrets
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from demo.deployments import team_key
from demo.tally import KindTally, RunTally
from standins.client import JsonAnswer, fetch_json, open_stream
from standins.engine import expected_text

__all__ = ["Balancer", "Caller", "ChatCall", "new_uuid7"]

_COMPLETIONS = "/v1/chat/completions"
_GIVE_UP_SECONDS = 30.0
_CALL_SECONDS = 20.0
_MAX_WAIT_SECONDS = 1.5
_RETRY_SECONDS = 0.1
_UNKNOWN_ANSWERS = 2
_MOST_KEYS = 2
_REFUSALS = frozenset({429, 503, 504})


def new_uuid7() -> str:
    """Return a version 7 UUID, whose first 48 bits are the time in ms."""
    value = int(time.time() * 1000) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


class Balancer:
    """Choose an instance as the platform's load balancer does."""

    def __init__(self, addresses: Sequence[str], seed: int) -> None:
        self._addresses = list(addresses)
        self._random = random.Random(seed)
        self._killed: set[str] = set()

    def choose(self, avoid: str = "") -> str:
        """Return the address of an instance, another than the one to avoid."""
        left = [a for a in self._addresses if a != avoid] or self._addresses
        return self._random.choice(left)

    def note_killed(self, address: str) -> None:
        """Note that answers of this instance may be cut from now on."""
        self._killed.add(address)

    def remove(self, address: str) -> None:
        """Stop sending to an instance, as a balancer does after failed checks."""
        self._addresses.remove(address)

    @property
    def any_killed(self) -> bool:
        """Tell whether any instance was killed."""
        return bool(self._killed)

    def was_killed(self, address: str) -> bool:
        """Tell whether the instance was killed."""
        return address in self._killed


@dataclass(slots=True)
class ChatCall:
    """Describe one completion request and keep the token of its chat."""

    kind: str
    request_class: str
    team: str
    model: str
    messages: list[dict[str, Any]]
    max_tokens: int
    stream: bool
    chat_id: str = ""
    token: str = ""

    def body(self) -> dict[str, Any]:
        """Return the body of the request."""
        body = {
            "model": self.model,
            "messages": self.messages,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }
        if self.stream:
            body["stream_options"] = {"include_usage": True}
        return body

    def headers(self) -> dict[str, str]:
        """Return the headers of the request."""
        headers = {
            "Authorization": f"Bearer {team_key(self.team)}",
            "X-Request-Class": self.request_class,
            "X-Deadline-Ms": str(int(_CALL_SECONDS * 1000)),
        }
        if self.chat_id:
            headers["X-Chat-Id"] = self.chat_id
        if self.token:
            headers["X-Chat-Token"] = self.token
        return headers


@dataclass(slots=True)
class _Answer:
    status: int
    headers: dict[str, str]
    text: str = ""
    version: str = ""
    usage: dict[str, Any] = field(default_factory=dict)
    first_token_at: float = 0.0  # in monotonic seconds
    done: bool = False
    error: str = ""


class Caller:
    """Run calls of one deployment and count them."""

    def __init__(
        self, balancer: Balancer, tally: RunTally, versions: frozenset[str]
    ) -> None:
        self._balancer = balancer
        self._tally = tally
        self._versions = versions

    async def complete(self, call: ChatCall) -> str:
        """Return the text of a whole answer, or the empty text after giving up."""
        tally = self._tally.kind(call.kind)
        tally.requests += 1
        started = time.monotonic()
        address = self._balancer.choose()
        while time.monotonic() - started < _GIVE_UP_SECONDS:
            answer = await self._try(address, call)
            if answer.status == 200 and answer.done:
                tally.first_token_seconds.append(answer.first_token_at - started)
                return self._accept(call, tally, answer)
            self._count_failed(call, tally, address, answer)
            await asyncio.sleep(_retry_seconds(answer.headers))
            address = self._balancer.choose(avoid=address)
        self._tally.fail(f"{call.kind}: gave up; last answer {answer.error}")
        return ""

    async def _try(self, address: str, call: ChatCall) -> _Answer:
        answer = _Answer(0, {})
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                await _read_answer(address, call, answer)
        except OSError as error:
            answer.error = f"{type(error).__name__}: {error}"
        return answer

    def _accept(self, call: ChatCall, tally: KindTally, answer: _Answer) -> str:
        wanted = expected_text(
            call.model, answer.version, call.messages, call.max_tokens
        )
        if answer.version not in self._versions or answer.text != wanted:
            self._tally.fail(
                f"{call.kind}: wrong text from version {answer.version!r}: "
                f"{answer.text[:60]!r} instead of {wanted[:60]!r}"
            )
            return wanted
        tally.whole += 1
        tally.prompt_tokens += answer.usage.get("prompt_tokens", 0)
        details = answer.usage.get("prompt_tokens_details") or {}
        tally.cached_tokens += details.get("cached_tokens", 0)
        call.token = answer.headers.get("x-chat-token", call.token)
        return wanted

    def _count_failed(
        self, call: ChatCall, tally: KindTally, address: str, answer: _Answer
    ) -> None:
        tally.retries += 1
        if answer.status in _REFUSALS:
            tally.refusals += 1
        elif not self._balancer.was_killed(address):
            self._tally.fail(
                f"{call.kind}: no whole answer from live instance {address}: "
                f"{answer.status} {answer.error}"
            )

    async def look_up(self, kind: str, team: str, path: str) -> None:
        """Read from a plain service until it answers."""

        def is_whole(answer: JsonAnswer) -> bool:
            return answer.status == 200 and answer.body["item"] in path

        call = _ServiceCall(kind, "GET", path, _headers(team), None, is_whole)
        self._tally.kind(kind).requests += 1
        await self._repeat(call, self._balancer.choose())

    async def book(
        self, kind: str, team: str, path: str, item: str, address: str = ""
    ) -> None:
        """Book an item; each retry has the same key.

        The first call goes to the given instance. The item is ordered again
        under another key only if the outcome stays unknown, see _ServiceCall.
        """
        self._tally.wanted.add(item)
        self._tally.kind(kind).requests += 1

        def is_whole(answer: JsonAnswer) -> bool:
            # A lookup after a lost answer is answered with 200 instead of 201.
            return answer.status in (200, 201) and answer.body["item"] == item

        address = address or self._balancer.choose()
        for attempt in range(_MOST_KEYS):
            self._tally.reordered += attempt > 0
            headers = {
                **_headers(team),
                "X-Request-Class": "booking",
                "Idempotency-Key": new_uuid7(),
            }
            body = {"item": item}
            call = _ServiceCall(kind, "POST", path, headers, body, is_whole)
            answer = await self._repeat(call, address)
            if answer is not None:
                self._tally.booked[item] = answer.body["booking"]
            if not call.unresolved:
                return
            address = self._balancer.choose()

    async def _repeat(self, call: "_ServiceCall", address: str) -> JsonAnswer | None:
        tally = self._tally.kind(call.kind)
        started = time.monotonic()
        while time.monotonic() - started < _GIVE_UP_SECONDS:
            answer = await self._try_service(call, address)
            if answer is not None and call.is_whole(answer):
                tally.whole += 1
                return answer
            tally.retries += 1
            if call.unresolved:
                return None
            await asyncio.sleep(_retry_seconds(answer.headers if answer else {}))
            address = self._balancer.choose(avoid=address)
        self._tally.fail(f"{call.kind}: gave up on {call.path}; last {call.last}")
        return None

    async def _try_service(
        self, call: "_ServiceCall", address: str
    ) -> JsonAnswer | None:
        try:
            answer = await fetch_json(
                call.method,
                address,
                call.path,
                call.body,
                call.headers,
                timeout_seconds=_CALL_SECONDS,
            )
        except OSError as error:
            call.last = f"{type(error).__name__}: {error}"
            if not self._balancer.was_killed(address):
                self._tally.fail(f"{call.kind}: live instance {address}: {call.last}")
            return None
        call.note(answer)
        if answer.status in _REFUSALS:
            self._tally.kind(call.kind).refusals += 1
        elif answer.status >= 300 and not (
            call.unknown_answers and self._balancer.any_killed
        ):
            self._tally.fail(f"{call.kind}: live instance {address}: {call.last}")
        return answer


@dataclass(slots=True)
class _ServiceCall:
    """Describe a call of a plain service and keep its last answer.

    An instance that is killed between its claim and its call leaves a key that
    nobody else may use: the fleet then answers ``unknown`` for good. A second such
    answer comes when the claim's lease (5 s) has expired and the lookup at the
    services has found nothing, so a caller may order under another key.
    """

    kind: str
    method: str
    path: str
    headers: dict[str, str]
    body: Any
    is_whole: Callable[[JsonAnswer], bool]
    last: str = ""
    unknown_answers: int = 0

    @property
    def unresolved(self) -> bool:
        """Tell whether the outcome stayed unknown."""
        return self.unknown_answers >= _UNKNOWN_ANSWERS

    def note(self, answer: JsonAnswer) -> None:
        """Count answers in a row that say that the outcome is unknown."""
        self.last = f"{answer.status} {answer.body}"
        error = answer.body.get("error", {}) if isinstance(answer.body, dict) else {}
        unknown = answer.status >= 300 and error.get("outcome") == "unknown"
        self.unknown_answers = self.unknown_answers + 1 if unknown else 0


def _headers(team: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {team_key(team)}"}


def _retry_seconds(headers: dict[str, str]) -> float:
    try:
        wanted = float(headers.get("retry-after", _RETRY_SECONDS))
    except ValueError:
        wanted = _RETRY_SECONDS
    return min(max(wanted, _RETRY_SECONDS), _MAX_WAIT_SECONDS)


async def _read_answer(address: str, call: ChatCall, answer: _Answer) -> None:
    async with open_stream(
        address, _COMPLETIONS, call.body(), call.headers()
    ) as stream:
        answer.status = stream.status
        answer.headers = stream.headers
        if stream.status != 200:
            answer.error = str(await stream.read_json())
        elif call.stream:
            async for event in stream.events():
                _take_event(event.data, answer)
        else:
            _take_whole(await stream.read_json(), answer)


def _take_event(data: str, answer: _Answer) -> None:
    if data == "[DONE]":
        answer.done = True
        return
    chunk = json.loads(data)
    answer.first_token_at = answer.first_token_at or time.monotonic()
    answer.version = chunk["system_fingerprint"]
    answer.usage = chunk.get("usage") or answer.usage
    for choice in chunk["choices"]:
        answer.text += choice["delta"].get("content") or ""


def _take_whole(body: dict[str, Any], answer: _Answer) -> None:
    answer.first_token_at = time.monotonic()
    answer.text = body["choices"][0]["message"]["content"]
    answer.version = body["system_fingerprint"]
    answer.usage = body["usage"]
    answer.done = True
