"""Size to design for (section 1.6 of the design page) and its limits."""

from dataclasses import dataclass

__all__ = ["LIMITS", "SIZE", "FleetSize", "Limits"]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """State the planned size; rates are at the peak."""

    instances: int = 800
    targets: int = 5_100
    chats: int = 8_900_000
    teams: int = 2_600
    models: int = 33
    regions: int = 5
    data_centres: int = 13
    requests_a_second: int = 65_000
    tokens_a_second: int = 17_000_000
    changes_a_day: int = 10_000
    failures_a_day: int = 43
    restarts_a_day: int = 300
    cell_instances: int = 16

    @property
    def requests_an_instance(self) -> float:
        """Return the requests a second that one instance serves."""
        return self.requests_a_second / self.instances

    @property
    def chunks_an_instance(self) -> float:
        """Return the chunks a second that one instance relays."""
        return self.tokens_a_second / self.instances

    def count_targets(self, instances: int) -> int:
        """Return the targets that belong to a part of the fleet."""
        return max(1, round(self.targets * instances / self.instances))


@dataclass(frozen=True, slots=True)
class Limits:
    """State what control may use on an instance and what the log accepts.

    ``log_appends_a_second`` is the low end of "several hundred".
    """

    core_share: float = 0.025
    memory_bytes: int = 128 * 10**6
    bytes_a_second: int = 4_000
    log_appends_a_second: int = 300
    change_seconds: float = 16.0


SIZE = FleetSize()
LIMITS = Limits()
