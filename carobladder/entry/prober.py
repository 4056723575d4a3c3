"""Connection checks of failed targets."""

import asyncio

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock
from carobladder.fleet import Condition, FleetTarget, TargetTable
from carobladder.telemetry import TargetChecked, emit

__all__ = ["TargetProber"]

_INTERVAL_SECONDS = 0.25


class TargetProber:
    """Prober that connects to failed targets after their pause, before requests do.

    A target that accepts the connection stays on trial until it answers a request.
    """

    def __init__(self, targets: TargetTable, client: HttpClient, clock: Clock) -> None:
        self._targets = targets
        self._client = client
        self._clock = clock

    async def run(self) -> None:
        """Check targets until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL_SECONDS)
            due_targets = [
                target for target in self._targets.list_all() if self._is_due(target)
            ]
            if due_targets:
                await asyncio.gather(*(self._check(target) for target in due_targets))

    def _is_due(self, target: FleetTarget) -> bool:
        health = target.health
        on_trial = health.classify(self._clock.monotonic()) is Condition.TRIAL
        return on_trial and not health.reachable and health.in_flight == 0

    async def _check(self, target: FleetTarget) -> None:
        reachable = await self._client.probe(target.entry.address)
        target.health.note_probe(reachable, self._clock.monotonic())
        emit(TargetChecked(target.target_id, reachable))
