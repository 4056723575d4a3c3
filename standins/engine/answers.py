"""Bodies of completion answers in the form of the usual client libraries."""

import json
from dataclasses import dataclass
from typing import Any

__all__ = ["DONE_EVENT", "Completion"]

DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class Completion:
    """Hold the facts of one answer; ``tokens`` is the whole text."""

    answer_id: str
    created: int
    model: str
    version: str
    prompt_count: int
    cached_count: int
    tokens: list[str]

    def whole(self) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        message = {"role": "assistant", "content": "".join(self.tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        body = self._base("chat.completion")
        return {**body, "choices": [choice], "usage": self._usage()}

    def token_event(self, index: int) -> bytes:
        """Return the event of one token; its id is the index of the token."""
        delta = {"content": self.tokens[index]}
        if index == 0:
            delta["role"] = "assistant"
        return self._event(index, [_choice(delta, None)])

    def finish_event(self) -> bytes:
        """Return the event that follows the last token."""
        return self._event(len(self.tokens), [_choice({}, "stop")])

    def usage_event(self) -> bytes:
        """Return the event with the usage, which has no choices."""
        return self._event(len(self.tokens) + 1, [], usage=self._usage())

    def _event(self, event_id: int, choices: list[Any], **fields: Any) -> bytes:
        body = {**self._base("chat.completion.chunk"), "choices": choices, **fields}
        data = json.dumps(body, separators=(",", ":"))
        return f"id: {event_id}\ndata: {data}\n\n".encode()

    def _base(self, kind: str) -> dict[str, Any]:
        return {
            "id": self.answer_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "system_fingerprint": self.version,
        }

    def _usage(self) -> dict[str, Any]:
        return {
            "prompt_tokens": self.prompt_count,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_count + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_count},
        }


def _choice(delta: dict[str, str], reason: str | None) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "finish_reason": reason}
