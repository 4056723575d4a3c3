"""Cold start: what the engine can bear until work has warmed it."""

import random

from standins.engine.options import EngineOptions

__all__ = ["Warmth"]


class Warmth:
    """Grow the bearable slots with the work done since the start."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._random = random.Random(options.seed)
        self._done = 0

    @property
    def cold(self) -> bool:
        """Tell whether the engine has done too little work to be warm."""
        return self._done < self._options.warm_tokens

    @property
    def bearable(self) -> int:
        """Return the slots that the engine can bear now."""
        options = self._options
        if not self.cold:
            return options.slots
        grown = (options.slots - options.cold_slots) * self._done / options.warm_tokens
        return options.cold_slots + int(grown)

    def add_work(self, tokens: int) -> None:
        """Count the tokens of a step."""
        self._done += tokens

    def reset(self) -> None:
        """Make the engine cold."""
        self._done = 0

    def fails(self, weight: int) -> bool:
        """Tell whether a request fails that raises the load to these slots."""
        excess = self.cold and weight > self.bearable
        return excess and self._random.random() < self._options.cold_error_share

    def step_factor(self, weight: int) -> float:
        """Return how much slower a step is under this load."""
        excess = self.cold and weight > self.bearable
        return self._options.cold_slow_factor if excess else 1.0
