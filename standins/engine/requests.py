"""Completion requests as the engine receives them."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from standins.http import Request, RequestError

__all__ = ["PRIORITY_WEIGHT", "CompletionBody", "parse_body", "parse_number"]

DEFAULT_TOKENS = 16
DEFAULT_PRIORITY = 2

# Slots that a request of a priority takes; the fleet gives each class of requests
# a priority and weighs the classes in the same way.
PRIORITY_WEIGHT = {0: 1, 1: 1, 2: 2, 3: 4}


class StreamOptions(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(frozen=True)

    include_usage: bool = False


class CompletionBody(BaseModel):
    """Body of a completion request; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)

    model: str
    messages: list[dict[str, Any]] = Field(min_length=1)
    max_tokens: int | None = Field(default=None, ge=1, le=100_000)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=100_000)
    stream: bool = False
    stream_options: StreamOptions | None = None

    @property
    def count(self) -> int:
        """Return the number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_TOKENS

    @property
    def include_usage(self) -> bool:
        """Tell whether a stream ends with an event that states the usage."""
        return self.stream_options is not None and self.stream_options.include_usage


def parse_body(request: Request) -> CompletionBody:
    """Return the validated body; raises RequestError with status 400."""
    try:
        return CompletionBody.model_validate(request.json())
    except ValidationError as error:
        raise RequestError(400, f"invalid completion request: {error}") from None


def parse_number(request: Request, header: str, default: int) -> int:
    """Return a whole number of a header; raises RequestError with status 400."""
    text = request.headers.get(header, str(default))
    if not text.isdecimal() and text != "-1":
        raise RequestError(400, f"{header} must be a whole number")
    return int(text)
