"""What the headers of a request and of its answer say."""

from dataclasses import dataclass
from typing import Protocol

from carobladder.headers import Headers

__all__ = ["AnswerFacts", "CallFacts", "ExchangeCodec", "PromptPart", "TargetLoad"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt and its size; requests may share parts."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallFacts:
    """Describe a caller's request as far as the fleet needs it.

    ``time_left_seconds`` is None if the caller states no deadline.
    ``prompt`` holds the parts of the prompt in order; the last one belongs to the
    request itself or to its chat.
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
        """Return the parts that other requests may have; a single part is shared."""
        return self.prompt[:-1] or self.prompt


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """State the requests that a target runs and holds waiting, and its slots."""

    running: int
    waiting: int
    slots: int

    @property
    def total(self) -> int:
        """Return the requests at the target."""
        return self.running + self.waiting


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Describe a target's answer.

    ``not_run`` is the target's own promise. ``misdirected`` says that another target
    answers at the address. A target that is ``leaving`` ends soon; one that states
    ``pause_seconds`` wants no requests of this instance for so long.
    """

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool = False
    load: TargetLoad | None = None
    cold_seconds: float | None = None
    leaving: bool = False
    pause_seconds: float | None = None


class ExchangeCodec(Protocol):
    """Translate headers; implemented for each platform."""

    def read_call(self, fields: Headers) -> CallFacts:
        """Return what the headers of a caller's request say."""

    def keep_field(self, name: str) -> bool:
        """Tell whether a caller's header is handed on; ``name`` is lower case."""

    def is_end_to_end(self, name: str) -> bool:
        """Tell whether a caller cannot declare the header to end here."""

    def write_call(
        self,
        target_id: str,
        time_left_seconds: float,
        team: str,
        priority: int,
        prompt_source: str,
    ) -> Headers:
        """Return the headers that the fleet itself sets for a target.

        ``prompt_source`` is the address to copy the shared prompt from, or empty.
        """

    def read_answer(self, status: int, fields: Headers) -> AnswerFacts:
        """Return what the headers of a target's answer say."""

    def write_answer(self, request_id: str) -> Headers:
        """Return the headers of an answer that the fleet makes itself."""
