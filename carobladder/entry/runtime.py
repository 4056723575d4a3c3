"""One instance on an operator platform: its tasks, its readiness and its end."""

import asyncio
import signal
import socket
from collections.abc import Coroutine, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from carobladder.clock import Clock
from carobladder.entry.assembly import build_parts
from carobladder.entry.listening import open_listener
from carobladder.entry.status import StatusHandler, add_gauges
from carobladder.exceptions import SettingsError
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.settings.entry import (
    EntrySettings,
    compare_entry_settings,
    list_defaulted_settings,
    load_entry_settings,
)
from carobladder.telemetry import (
    Draining,
    InstanceStarted,
    InstanceStopped,
    SettingsNotReloaded,
    SettingsReloaded,
    emit,
    emit_left_out,
    set_log_level,
)

__all__ = ["Entry", "run_entry"]

# The balancer notices a failing readiness within this time. Idle connections are
# closed half a second later, so no request is taken that the end would cut.
_NOTICE_SECONDS = 2.4
# Left of the grace time for the end itself.
_END_SECONDS = 0.6
_HOUSEKEEPING_SECONDS = 0.25
# Callers that connect at the start wait at most so long for the first reads of the
# store; without what these bring, each of them would be refused.
_FIRST_READS_SECONDS = 0.4


class Entry:
    """Run the parts of one instance.

    ``defaulted`` names the settings that were not stated, for the log.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        incarnation: int,
        defaulted: Sequence[str] = (),
    ) -> None:
        self._defaulted = defaulted
        self.parts = build_parts(settings, clock, incarnation)
        self._settings = settings
        self._clock = clock
        self._draining = False
        self._status_servers = self._build_status_servers()
        add_gauges(self.parts, clock, lambda: self.ready)

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent to this instance."""
        parts = self.parts
        if self._draining or parts.knowledge.table is None or not len(parts.targets):
            return False
        return parts.fence.allows_callers

    async def serve(
        self, stop: asyncio.Event, listener: socket.socket | None = None
    ) -> None:
        """Serve until ``stop`` is set, then drain.

        ``listener`` is the callers' socket if it is open already.
        """
        settings = self._settings
        defaulted = ", ".join(self._defaulted)
        if listener is None:
            listener = open_listener(settings.listen)
        for server, address in self._status_servers:
            await server.start(address)
        emit(InstanceStarted(settings.listen, settings.data_centre, defaulted))
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(work) for work in self._list_tasks()]
            await self._wait_for_first_reads()
            await self.parts.server.start_on_socket(listener)
            await stop.wait()
            finished = await self._drain()
            for task in tasks:
                task.cancel()
        await self.parts.shares.leave()
        emit(InstanceStopped(finished))

    def reload(self, settings: EntrySettings) -> None:
        """Use the settings that may change while the instance runs."""
        changes = compare_entry_settings(self._settings, settings)
        self._settings = changes.in_force
        self.parts.budgets.set_bounds(settings.retry_ratio, settings.retry_slack)
        self.parts.selector.set_load_multiple(settings.load_multiple)
        set_log_level(settings.log_level)
        emit(
            SettingsReloaded(
                changed=", ".join(changes.applied) or "nothing",
                after_restart=", ".join(changes.after_restart),
            )
        )

    async def _wait_for_first_reads(self) -> None:
        """Wait until the first reads have ended, so that no caller is refused early."""
        reads = (self.parts.operator, self.parts.entries)
        with suppress(TimeoutError):
            async with asyncio.timeout(_FIRST_READS_SECONDS):
                for follower in reads:
                    await follower.wait_until_tried()

    def _list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        parts = self.parts
        return [
            parts.operator.run(),
            parts.entries.run(),
            parts.instances.run(),
            parts.shares.run(),
            parts.exchange.run(),
            parts.prober.run(),
            parts.mover.run(),
            self._keep_house(),
        ]

    def _build_status_servers(self) -> list[tuple[GatewayServer, str]]:
        handler = StatusHandler(self.parts.metrics, lambda: self.ready)
        addresses = (self._settings.readiness_listen, self._settings.metrics_listen)
        return [
            (
                GatewayServer(
                    handler,
                    RequestLimits(),
                    self._clock,
                    self.parts.server_metrics,
                    self.parts.generator,
                ),
                address,
            )
            for address in addresses
        ]

    async def _keep_house(self) -> None:
        """Expire lapsed targets and resize the budgets with the share."""
        parts = self.parts
        share = parts.ledger.share
        while True:
            await self._clock.sleep(_HOUSEKEEPING_SECONDS)
            parts.knowledge.expire_targets()
            parts.fence.watch()
            emit_left_out()
            if share != parts.ledger.share:
                share = parts.ledger.share
                parts.budgets.resize()

    async def _drain(self) -> bool:
        """Finish accepted work; tell whether all of it was finished.

        Listening goes on until the balancer has noticed.
        """
        self._draining = True
        self.parts.server.begin_drain()
        emit(Draining(_NOTICE_SECONDS))
        await self._clock.sleep(_NOTICE_SECONDS)
        grace_seconds = self._settings.shutdown_grace_seconds
        limit_seconds = grace_seconds - _NOTICE_SECONDS - _END_SECONDS
        return await self.parts.server.finish_drain(limit_seconds)


async def run_entry(
    path: Path,
    clock: Clock,
    incarnation: int,
    listener: socket.socket | None = None,
) -> None:
    """Run an instance on its settings file until SIGTERM or SIGINT."""
    settings = load_entry_settings(path)
    defaulted = list_defaulted_settings(path)
    entry = Entry(settings, clock, incarnation, defaulted)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, entry, path)
    await entry.serve(stop, listener)


def _reload(entry: Entry, path: Path) -> None:
    try:
        entry.reload(load_entry_settings(path))
    except SettingsError as error:
        emit(SettingsNotReloaded(str(error)))
