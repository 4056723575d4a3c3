"""Keys that identify a chat and the prompt prefix that it shares with others."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = [
    "ChatMessage",
    "choose_version",
    "derive_chat_key",
    "derive_prefix_key",
    "hash_parts",
    "key_fraction",
]

_KEY_SPACE = 1 << 64
_SYSTEM_ROLES = frozenset({"system", "developer"})


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """Carry one message of a prompt as text."""

    role: str
    content: str


def derive_chat_key(
    team: str, model: str, chat_id: str | None, messages: Sequence[ChatMessage]
) -> int:
    """Return the 64-bit key of a chat.

    Without a chat id the key covers the messages up to the first one of the user,
    because only these are the same in every later request of the chat.
    """
    if chat_id:
        return hash_parts("chat-id", team, model, chat_id)
    parts = []
    for message in messages:
        parts += [message.role, message.content]
        if message.role not in _SYSTEM_ROLES:
            break
    return hash_parts("chat-text", team, model, *parts)


def derive_prefix_key(team: str, model: str, messages: Sequence[ChatMessage]) -> int:
    """Return the 64-bit key of the prompt prefix that chats of a team share."""
    parts = []
    for message in messages:
        if message.role not in _SYSTEM_ROLES:
            break
        parts.append(message.content)
    return hash_parts("prefix", team, model, *parts)


def key_fraction(key: int) -> float:
    """Return a number in [0, 1) that depends only on the key.

    The key is hashed once more, so that the fraction that splits versions is
    independent of the scores that rank targets.
    """
    digest = xxhash.xxh3_64_intdigest(key.to_bytes(8, "big"))
    return (digest >> 11) / (_KEY_SPACE >> 11)


def choose_version(chat_key: int, shares: Mapping[str, float]) -> str:
    """Return the version that a chat uses.

    ``shares`` lists the newest version first; growing its share then moves each
    chat at most once. Raises ValueError if no version has a share.
    """
    fraction = key_fraction(chat_key)
    chosen = ""
    reached = 0.0
    for version, share in shares.items():
        if share <= 0:
            continue
        chosen = version
        reached += share
        if fraction < reached:
            break
    if not chosen:
        raise ValueError("no version has a share; declare a share above 0")
    return chosen


def hash_parts(*parts: str) -> int:
    """Return the 64-bit key of texts in their order."""
    # The length before each part keeps ("ab", "c") apart from ("a", "bc").
    state = xxhash.xxh3_64()
    for part in parts:
        encoded = part.encode("utf-8", "surrogatepass")
        state.update(len(encoded).to_bytes(8, "big"))
        state.update(encoded)
    return state.intdigest()
