"""Metadata in the headers of requests and answers, and the codec interface."""

from dataclasses import dataclass
from typing import Protocol

from carobladder.headers import Headers

__all__ = [
    "AnswerMetadata",
    "CallMetadata",
    "ExchangeCodec",
    "PromptPart",
    "TargetLoad",
]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt with its size in tokens; requests may have parts in common."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallMetadata:
    """Metadata of a caller's request.

    ``time_left_seconds`` is None if the caller sets no deadline. ``prompt`` holds the
    parts of the prompt in order; the last one is specific to the request or its chat.
    """

    request_id: str
    host: str
    key: str | None
    time_left_seconds: float | None
    prompt: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may contain; a single part is shared."""
        return self.prompt[:-1] or self.prompt


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Numbers of running and queued requests at a target, and its slots.

    ``slowness`` is how long work takes there now, relative to the usual time, which is
    1.0. It is None if the target does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @property
    def total(self) -> int:
        """Return the number of running and queued requests."""
        return self.running + self.waiting


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata of a target's answer.

    ``not_run`` is the target's assurance that it did not execute the request.
    ``misdirected`` is set if another target now has the address. A ``leaving`` target
    shuts down soon. ``pause_seconds`` is the time for which the target asks this
    instance to send no requests. ``rate_limit`` is the number of requests a second that
    the target accepts from all instances together, None if it names none.
    ``has_malformed_load`` is set if it states a load that cannot be decoded.
    """

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool = False
    load: TargetLoad | None = None
    cold_seconds: float | None = None
    leaving: bool = False
    pause_seconds: float | None = None
    rate_limit: float | None = None
    has_malformed_load: bool = False


class ExchangeCodec(Protocol):
    """Header codec; each platform has its own implementation."""

    def read_call(self, fields: Headers) -> CallMetadata:
        """Decode the headers of a caller's request."""

    def keep_field(self, name: str) -> bool:
        """Return whether a caller's header is forwarded; ``name`` is lower case."""

    def is_end_to_end(self, name: str) -> bool:
        """Return whether a caller cannot declare the header as hop-by-hop."""

    def write_call(
        self,
        target_id: str,
        time_left_seconds: float,
        team: str,
        priority: int,
        prompt_source: str,
    ) -> Headers:
        """Return the headers that the router adds to a request to a target.

        ``prompt_source`` is the address to copy the shared prompt from, or empty.
        """

    def read_answer(self, status: int, fields: Headers) -> AnswerMetadata:
        """Decode the status and the headers of a target's answer."""

    def write_answer(self, request_id: str) -> Headers:
        """Return the headers of an answer that the router generates itself."""
