"""Codec of the platform's request and response headers."""

import math
from collections.abc import Iterable
from http import HTTPStatus

from carobladder.fleet.exchanges import (
    AnswerMetadata,
    CallMetadata,
    PromptPart,
    TargetLoad,
)
from carobladder.headers import Headers
from carobladder.platform.names import (
    API_KEY_HEADER,
    COLD_TIME_HEADER,
    DEADLINE_HEADER,
    END_TO_END_HEADERS,
    EXPECTED_TARGET_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    PROMPT_PREFIX_HEADER,
    PROMPT_SOURCE_HEADER,
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
    RESERVED_HEADERS,
    RETRY_AFTER_HEADER,
    SIGNATURE_HEADER,
    TEAM_HEADER,
    TOKEN_USAGE_HEADER,
)

__all__ = ["PlatformCodec"]

_MS_PER_SECOND = 1000.0
# A larger number is a lower priority.
_LOWEST_PRIORITY = 9
# Longer integers are malformed; none of the platform's counts comes near to it.
_MAX_INTEGER_DIGITS = 15
# Figures that each load has; a fourth one is the slowness, further ones are ignored.
_MIN_LOAD_FIGURES = 3
# Slowness of a target on which work takes as long as usual.
_USUAL_SLOWNESS = 100.0


class PlatformCodec:
    """Header codec of the platform; see ``ExchangeCodec``."""

    def read_call(self, fields: Headers) -> CallMetadata:
        """Decode the headers of a caller's request."""
        values = {name.lower(): value for name, value in fields}
        input_tokens, output_tokens = _parse_token_usage(
            values.get(TOKEN_USAGE_HEADER, "")
        )
        return CallMetadata(
            request_id=values.get(REQUEST_ID_HEADER, ""),
            host=values.get("host", ""),
            key=values.get(API_KEY_HEADER),
            time_left_seconds=_parse_milliseconds(values.get(DEADLINE_HEADER)),
            prompt=_parse_prompt(values.get(PROMPT_PREFIX_HEADER, "")),
            input_tokens=input_tokens,
            output_tokens=output_tokens,
        )

    def keep_field(self, name: str) -> bool:
        """Return whether a caller's header is forwarded; ``name`` is lower case."""
        return name not in RESERVED_HEADERS

    def is_end_to_end(self, name: str) -> bool:
        """Return whether a caller cannot declare the header as hop-by-hop."""
        return name in END_TO_END_HEADERS

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
        time_left_ms = max(1, int(time_left_seconds * _MS_PER_SECOND))
        fields = [
            (EXPECTED_TARGET_HEADER, target_id),
            (DEADLINE_HEADER, str(time_left_ms)),
            (PRIORITY_HEADER, str(min(max(priority, 0), _LOWEST_PRIORITY))),
        ]
        if team:
            fields.append((TEAM_HEADER, team))
        if prompt_source:
            fields.append((PROMPT_SOURCE_HEADER, prompt_source))
        return tuple(fields)

    def read_answer(self, status: int, fields: Headers) -> AnswerMetadata:
        """Decode the status and the headers of a target's response."""
        values = dict(fields)
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        return AnswerMetadata(
            request_id=values.get(REQUEST_ID_HEADER, ""),
            signed=SIGNATURE_HEADER in values,
            not_run=NOT_RUN_HEADER in values or misdirected,
            misdirected=misdirected,
            load=_parse_load(values.get(LOAD_HEADER, "")),
            has_malformed_load=_is_malformed_load(values.get(LOAD_HEADER)),
            cold_seconds=_parse_milliseconds(values.get(COLD_TIME_HEADER)),
            leaving=values.get(LEAVING_HEADER, "").strip() == "1",
            pause_seconds=_parse_pause(status, values.get(RETRY_AFTER_HEADER)),
            rate_limit=_parse_non_negative(values.get(RATE_LIMIT_HEADER)),
        )

    def write_answer(self, request_id: str) -> Headers:
        """Return the headers of a response that the router generates itself."""
        return ((REQUEST_ID_HEADER, request_id),) if request_id else ()


def _parse_pause(status: int, text: str | None) -> float | None:
    """Return the seconds for which a target that answers 503 wants no requests."""
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return _parse_non_negative(text)


def _parse_milliseconds(text: str | None) -> float | None:
    """Parse a number of milliseconds and return it in seconds, or None if invalid."""
    milliseconds = _parse_non_negative(text)
    return None if milliseconds is None else milliseconds / _MS_PER_SECOND


def _parse_non_negative(text: str | None) -> float | None:
    """Parse a number, raised to 0 if negative; None if missing, invalid or infinite."""
    try:
        amount = float(text or "")
    except ValueError:
        return None
    return max(0.0, amount) if math.isfinite(amount) else None


def _parse_token_usage(text: str) -> tuple[int, int]:
    numbers = _parse_integers(text.split(","))
    return (numbers[0], numbers[1]) if len(numbers) == 2 else (0, 0)


def _parse_load(text: str) -> TargetLoad | None:
    """Parse running, waiting and slots, with the slowness of the target if stated."""
    texts = [field.strip() for field in text.split(",")]
    numbers = _parse_integers(texts)
    if len(numbers) != len(texts) or len(numbers) < _MIN_LOAD_FIGURES:
        return None
    running, waiting, slots = numbers[:_MIN_LOAD_FIGURES]
    slowness = None
    if len(numbers) > _MIN_LOAD_FIGURES:
        slowness = numbers[_MIN_LOAD_FIGURES] / _USUAL_SLOWNESS
    return TargetLoad(running, waiting, slots, slowness)


def _is_malformed_load(text: str | None) -> bool:
    return text is not None and _parse_load(text) is None


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(","):
        part_id, separator, tokens = entry.strip().partition(":")
        if separator and _is_integer(tokens):
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _parse_integers(texts: Iterable[str]) -> list[int]:
    stripped = [text.strip() for text in texts]
    return [int(text) for text in stripped if _is_integer(text)]


def _is_integer(text: str) -> bool:
    # Headers can contain digits that are no numbers, such as superscripts, and more
    # digits than int() accepts.
    return text.isascii() and text.isdigit() and len(text) <= _MAX_INTEGER_DIGITS
