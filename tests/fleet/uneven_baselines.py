"""Choices of a target that the selector is compared with."""

from carobladder.fleet import FleetTarget
from tests.fleet.uneven_simulation import PLAIN, Chooser, Instance

__all__ = [
    "CurrentLoadChooser",
    "CurrentSlownessChooser",
    "LeastLoadedChooser",
    "OracleChooser",
    "OwnCountsChooser",
    "RandomChooser",
    "TwoChoicesChooser",
]


class _RankingChooser(Chooser):
    """Choice of the target with the lowest score; ties are broken at random."""

    def choose(
        self, instance: Instance, excluded: set[str], now: float
    ) -> FleetTarget | None:
        """Return the best target that is not known to fail, or None."""
        open_targets = [
            target
            for target in instance.table.list_open(PLAIN.name)
            if target.target_id not in excluded
        ]
        sound = [t for t in open_targets if not t.health.is_failing(now)]
        candidates = self.limit(instance, sound or open_targets)
        instance.generator.shuffle(candidates)
        return min(candidates, key=lambda t: self.score(t, now), default=None)

    def limit(
        self, instance: Instance, targets: list[FleetTarget]
    ) -> list[FleetTarget]:
        """Return the targets that are compared."""
        return targets

    def score(self, target: FleetTarget, now: float) -> float:
        """Return a score, the lowest of which is best."""
        raise NotImplementedError


class RandomChooser(_RankingChooser):
    """Choice without any knowledge."""

    def score(self, target: FleetTarget, now: float) -> float:
        """Return the same score for all targets."""
        return 0.0


class LeastLoadedChooser(_RankingChooser):
    """Choice of the lowest load that the instance knows."""

    def score(self, target: FleetTarget, now: float) -> float:
        """Return the estimated load."""
        load = target.health.estimate_load(now)
        return target.health.in_flight if load is None else load


class OwnCountsChooser(_RankingChooser):
    """Choice of the target with the fewest requests of the instance itself."""

    def score(self, target: FleetTarget, now: float) -> float:
        """Return the instance's own requests."""
        return target.health.in_flight


class TwoChoicesChooser(LeastLoadedChooser):
    """Choice of the less loaded of two random targets."""

    def limit(
        self, instance: Instance, targets: list[FleetTarget]
    ) -> list[FleetTarget]:
        """Return two targets."""
        return instance.generator.sample(targets, min(2, len(targets)))


class CurrentLoadChooser(_RankingChooser):
    """Choice of the lowest load, which each instance knows as of now."""

    def score(self, target: FleetTarget, now: float) -> float:
        """Return the true load."""
        return self.fleet.servers[target.target_id].total


class CurrentSlownessChooser(_RankingChooser):
    """Choice by own counts and by the slowness that each instance knows as of now."""

    def score(self, target: FleetTarget, now: float) -> float:
        """Return the true slowness, with the instance's own requests."""
        server = self.fleet.servers[target.target_id]
        return server.slowness * (1.0 + target.health.in_flight / server.shape.slots)


class OracleChooser(_RankingChooser):
    """Choice by the true load and speed of each target."""

    def score(self, target: FleetTarget, now: float) -> float:
        """Return the seconds in which a request of usual size would end."""
        server = self.fleet.servers[target.target_id]
        if server.is_down:
            return float("inf")
        return server.predict_seconds(server.shape.mean_seconds)
