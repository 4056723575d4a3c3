"""Simple models of an engine: prefix cache, prefill queue and weighted load."""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["PREFILL_TOKENS_PER_SECOND", "Engine", "PrefixCache", "Prompt", "Timing"]

PREFILL_TOKENS_PER_SECOND = 8000.0
DECODE_SECONDS_PER_TOKEN = 0.025
COLD_SLOTS = 8
WARM_UP_STEP_SECONDS = 5.0
WARM_UP_GROWTH = 1.25


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe a prompt as a shared prefix followed by the chat's own part."""

    prefix_key: int
    prefix_tokens: int
    chat: int
    own_tokens: int


class PrefixCache:
    """Keep prompt prefixes in limited memory; evict the least recently used.

    A chat's part can be reused only together with its shared prefix. Using a chat
    touches its prefix last, so a prefix is evicted after its chats.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._entries: OrderedDict[tuple[str, int], int] = OrderedDict()
        self._used_tokens = 0

    def reusable_tokens(self, prompt: Prompt) -> int:
        """Return the length of the prompt's cached prefix."""
        if ("prefix", prompt.prefix_key) not in self._entries:
            return 0
        own = self._entries.get(("chat", prompt.chat), 0)
        return prompt.prefix_tokens + min(own, prompt.own_tokens)

    def store(self, prompt: Prompt) -> None:
        """Cache the whole prompt."""
        self._put(("chat", prompt.chat), prompt.own_tokens)
        self._put(("prefix", prompt.prefix_key), prompt.prefix_tokens)
        while self._used_tokens > self._capacity_tokens:
            _, tokens = self._entries.popitem(last=False)
            self._used_tokens -= tokens

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._entries.clear()
        self._used_tokens = 0

    def _put(self, key: tuple[str, int], tokens: int) -> None:
        known = self._entries.pop(key, 0)
        kept = max(known, tokens)
        self._entries[key] = kept
        self._used_tokens += kept - known


@dataclass(slots=True)
class Engine:
    """Hold the state of one engine; prefill is served one prompt at a time."""

    engine_id: str
    cache: PrefixCache
    slots: int
    started: float
    boot: int = 0
    ready: bool = True
    leaving: bool = False
    load: int = 0
    prefill_free_at: float = 0.0
    running: dict[int, object] = field(default_factory=dict)

    @property
    def boot_id(self) -> str:
        """Return the id of the present run."""
        return f"{self.engine_id}-{self.boot}"

    def limit(self, now: float) -> float:
        """Return the slots that the engine can bear while it warms up."""
        steps = (now - self.started) / WARM_UP_STEP_SECONDS
        if steps >= 10:
            return self.slots
        return min(self.slots, COLD_SLOTS * WARM_UP_GROWTH**steps)

    def start_prompt(self, prompt: Prompt, answer_tokens: int, now: float) -> "Timing":
        """Run a prompt and return its times and the tokens reused."""
        reused = self.cache.reusable_tokens(prompt)
        missing = prompt.prefix_tokens + prompt.own_tokens - reused
        begin = max(now, self.prefill_free_at)
        self.prefill_free_at = begin + missing / PREFILL_TOKENS_PER_SECOND
        self.cache.store(prompt)
        finish = self.prefill_free_at + answer_tokens * DECODE_SECONDS_PER_TOKEN
        return Timing(reused, self.prefill_free_at, finish)

    def restart(self, now: float) -> None:
        """Start again under a new boot id with an empty cache."""
        self.boot += 1
        self.started = now
        self.load = 0
        self.prefill_free_at = now
        self.cache.clear()
        self.running.clear()


@dataclass(frozen=True, slots=True)
class Timing:
    """Give the tokens reused and when the first token and the end come."""

    reused_tokens: int
    first_token_at: float
    finish_at: float
