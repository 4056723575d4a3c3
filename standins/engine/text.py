"""Prompt tokens, block hashes and the deterministic text of an answer."""

from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import Any

import xxhash

__all__ = ["expected_text", "hash_blocks", "output_tokens", "prompt_tokens"]

_WORDS = (
    "carpet",
    "remnant",
    "wool",
    "pile",
    "shade",
    "width",
    "door",
    "rail",
    "hinge",
    "panel",
    "glass",
    "slot",
    "quote",
    "plan",
    "stock",
    "delivery",
)


def prompt_tokens(messages: Sequence[dict[str, Any]]) -> list[str]:
    """Return the tokens of a prompt: a marker for each role, then its words.

    The prompt ends with the assistant's marker, so the next turn of a chat that
    repeats the answer begins with the same tokens.
    """
    tokens = []
    for message in messages:
        tokens.append(f"<{message.get('role', 'user')}>")
        tokens.extend(_content_words(message.get("content")))
    tokens.append("<assistant>")
    return tokens


def _content_words(content: Any) -> Iterable[str]:
    if isinstance(content, str):
        return content.split()
    words: list[str] = []
    for part in content or ():
        if part.get("type") == "text":
            words.extend(part["text"].split())
        else:
            words.append(f"<{xxhash.xxh64_hexdigest(repr(part).encode())}>")
    return words


def _join(*parts: str) -> bytes:
    return "\0".join(parts).encode()


def output_tokens(
    model: str, version: str, prompt: Sequence[str], count: int
) -> list[str]:
    """Return the answer's tokens; every engine of a version gives the same."""
    seed = xxhash.xxh64_intdigest(_join(model, version, *prompt))
    tokens = []
    for index in range(count):
        digest = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed)
        space = " " if index else ""
        tokens.append(f"{space}{_WORDS[digest % len(_WORDS)]}{digest % 97}")
    return tokens


def expected_text(
    model: str, version: str, messages: Sequence[dict[str, Any]], count: int
) -> str:
    """Return the whole answer that an engine gives to a request."""
    return "".join(output_tokens(model, version, prompt_tokens(messages), count))


def hash_blocks(namespace: str, tokens: Sequence[str], block_tokens: int) -> list[str]:
    """Return the chained hash of each whole block of tokens, in order.

    A hash stands for the block and all tokens before it.
    """
    ends = range(0, len(tokens) + 1, block_tokens)
    hashes = []
    parent = namespace
    for start, end in pairwise(ends):
        parent = xxhash.xxh64_hexdigest(_join(parent, *tokens[start:end]))
        hashes.append(parent)
    return hashes
