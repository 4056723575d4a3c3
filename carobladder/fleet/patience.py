"""How long requests usually wait for the first byte of their answer."""

from carobladder.fleet.targets import FleetTarget

__all__ = ["RouteTimes"]

_AVERAGE_GAIN = 0.15
# A target that has not begun to answer after this multiple of the usual time, and at
# least the floor, is likely to be dark.
_PATIENCE_FACTOR = 4.0
_FLOOR_SECONDS = 0.4
# An engine that reads several long prompts at once sends nothing for as long.
_PROMPT_FLOOR_SECONDS = 1.0
_MAX_ROUTES = 4000


class RouteTimes:
    """Learn how long the requests of each route take, to tell slow from silent.

    A route that no target has answered yet is at least as slow as its requests that
    ended in vain at targets which answered others meanwhile.
    """

    def __init__(self) -> None:
        self._answered: dict[str, float] = {}
        self._unanswered: dict[str, float] = {}

    def note_answer(self, route: str, seconds: float) -> None:
        """Take the time to the first byte of an answer."""
        self._unanswered.pop(route, None)
        if len(self._answered) >= _MAX_ROUTES and route not in self._answered:
            self._answered.clear()
        usual = self._answered.get(route, seconds)
        self._answered[route] = usual + _AVERAGE_GAIN * (seconds - usual)

    def note_unanswered(self, route: str, seconds: float) -> None:
        """Take a request that a target which answers did not answer in this time."""
        if route in self._answered:
            return
        if len(self._unanswered) >= _MAX_ROUTES:
            self._unanswered.clear()
        self._unanswered[route] = max(seconds, self._unanswered.get(route, 0.0))

    def choose_patience(
        self, route: str, target: FleetTarget, *, reads_prompt: bool
    ) -> float:
        """Return the seconds after which a silent target is likely to be dark."""
        of_route = self._answered.get(route, self._unanswered.get(route, 0.0))
        usual = max(of_route, target.health.first_byte_seconds)
        floor = _PROMPT_FLOOR_SECONDS if reads_prompt else _FLOOR_SECONDS
        return max(floor, usual * _PATIENCE_FACTOR)
