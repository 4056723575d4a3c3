"""Headers of requests and answers, decoded for the data path."""

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
    COLD_HEADER,
    DEADLINE_HEADER,
    END_TO_END_HEADERS,
    EXPECTED_TARGET_HEADER,
    KEY_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    PREFIX_HEADER,
    PRIORITY_HEADER,
    PROMPT_SOURCE_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    SIGNATURE_HEADER,
    SYSTEM_HEADERS,
    TEAM_HEADER,
    TOKENS_HEADER,
)

__all__ = ["PlatformCodec"]

_MS_PER_SECOND = 1000.0
_LEAST_PRIORITY = 9


class PlatformCodec:
    """Translate headers between the platform and the data path."""

    def read_call(self, fields: Headers) -> CallMetadata:
        """Return what the headers of a caller's request say."""
        values = {name.lower(): value for name, value in fields}
        input_tokens, output_tokens = _read_tokens(values.get(TOKENS_HEADER, ""))
        return CallMetadata(
            request_id=values.get(REQUEST_ID_HEADER, ""),
            host=values.get("host", ""),
            key=values.get(KEY_HEADER),
            time_left_seconds=_read_seconds(values.get(DEADLINE_HEADER)),
            prompt=_read_prompt(values.get(PREFIX_HEADER, "")),
            input_tokens=input_tokens,
            output_tokens=output_tokens,
        )

    def keep_field(self, name: str) -> bool:
        """Tell whether a caller's header is handed on; ``name`` is lower case."""
        return name not in SYSTEM_HEADERS

    def is_end_to_end(self, name: str) -> bool:
        """Tell whether a caller cannot declare the header to end here."""
        return name in END_TO_END_HEADERS

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
        time_left_ms = max(1, int(time_left_seconds * _MS_PER_SECOND))
        fields = [
            (EXPECTED_TARGET_HEADER, target_id),
            (DEADLINE_HEADER, str(time_left_ms)),
            (PRIORITY_HEADER, str(min(max(priority, 0), _LEAST_PRIORITY))),
        ]
        if team:
            fields.append((TEAM_HEADER, team))
        if prompt_source:
            fields.append((PROMPT_SOURCE_HEADER, prompt_source))
        return tuple(fields)

    def read_answer(self, status: int, fields: Headers) -> AnswerMetadata:
        """Return what the headers of a target's answer say."""
        values = dict(fields)
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        return AnswerMetadata(
            request_id=values.get(REQUEST_ID_HEADER, ""),
            signed=SIGNATURE_HEADER in values,
            not_run=NOT_RUN_HEADER in values or misdirected,
            misdirected=misdirected,
            load=_read_load(values.get(LOAD_HEADER, "")),
            cold_seconds=_read_seconds(values.get(COLD_HEADER)),
            leaving=values.get(LEAVING_HEADER, "").strip() == "1",
            pause_seconds=_read_pause(status, values.get(RETRY_AFTER_HEADER)),
        )

    def write_answer(self, request_id: str) -> Headers:
        """Return the headers of an answer that the fleet makes itself."""
        return ((REQUEST_ID_HEADER, request_id),) if request_id else ()


def _read_pause(status: int, text: str | None) -> float | None:
    """Return the seconds for which a target that refuses wants no requests."""
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return _read_amount(text)


def _read_seconds(text: str | None) -> float | None:
    """Return the seconds of a number of milliseconds."""
    milliseconds = _read_amount(text)
    return None if milliseconds is None else milliseconds / _MS_PER_SECOND


def _read_amount(text: str | None) -> float | None:
    """Return a number, at least 0; None if there is none that can be used."""
    try:
        amount = float(text or "")
    except ValueError:
        return None
    return max(0.0, amount) if math.isfinite(amount) else None


def _read_tokens(text: str) -> tuple[int, int]:
    numbers = _read_numbers(text.split(","))
    return (numbers[0], numbers[1]) if len(numbers) == 2 else (0, 0)


def _read_load(text: str) -> TargetLoad | None:
    numbers = _read_numbers(text.split(","))
    if len(numbers) != 3:
        return None
    return TargetLoad(running=numbers[0], waiting=numbers[1], slots=numbers[2])


def _read_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(","):
        part_id, separator, tokens = entry.strip().partition(":")
        if separator and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _read_numbers(texts: Iterable[str]) -> list[int]:
    stripped = [text.strip() for text in texts]
    return [int(text) for text in stripped if text.isdigit()]
