"""Hash keys of chats and of the prompt prefixes that chats share."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

__all__ = [
    "ChatMessage",
    "choose_version",
    "compute_key_fraction",
    "derive_chat_key",
    "derive_prefix_key",
    "hash_parts",
]

_KEY_SPACE = 1 << 64
_SYSTEM_ROLES = frozenset({"system", "developer"})


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a prompt, as text."""

    role: str
    content: str


def derive_chat_key(
    team: str, model: str, chat_id: str | None, messages: Sequence[ChatMessage]
) -> int:
    """Return the 64-bit key of a chat.

    Without a chat id the key covers the messages up to the first one that is not a
    system message, because only these are the same in every later request of the chat.
    """
    if chat_id:
        return hash_parts("chat-id", team, model, chat_id)
    texts = []
    for message in messages:
        texts += [message.role, message.content]
        if message.role not in _SYSTEM_ROLES:
            break
    return hash_parts("chat-text", team, model, *texts)


def derive_prefix_key(team: str, model: str, messages: Sequence[ChatMessage]) -> int:
    """Return the 64-bit key of the system messages, which chats of a team share."""
    texts = []
    for message in messages:
        if message.role not in _SYSTEM_ROLES:
            break
        texts.append(message.content)
    return hash_parts("prefix", team, model, *texts)


def compute_key_fraction(key: int) -> float:
    """Return a number in [0, 1) that depends only on the key.

    The key is hashed again, so that the split of chats between versions is
    independent of the scores that rank targets.
    """
    digest = xxhash.xxh3_64_intdigest(key.to_bytes(8, "big"))
    return (digest >> 11) / (_KEY_SPACE >> 11)


def choose_version(chat_key: int, shares: Mapping[str, float]) -> str:
    """Return the version that serves a chat.

    ``shares`` maps each version to its fraction of the chats, the newest version
    first; a growing share of the newest version then moves each chat at most once.
    Raises ValueError if no version has a share above 0.
    """
    fraction = compute_key_fraction(chat_key)
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
    """Return the 64-bit key of a sequence of texts."""
    # The length prefix distinguishes ("ab", "c") from ("a", "bc").
    state = xxhash.xxh3_64()
    for part in parts:
        encoded = part.encode("utf-8", "surrogatepass")
        state.update(len(encoded).to_bytes(8, "big"))
        state.update(encoded)
    return state.intdigest()
