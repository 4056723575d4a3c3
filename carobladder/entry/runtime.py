"""Runtime of a platform instance: tasks, readiness, reload and shutdown."""

import asyncio
import signal
import time
from collections.abc import Coroutine, Sequence
from contextlib import suppress
from pathlib import Path
from types import FrameType
from typing import Any

from carobladder.clock import Clock
from carobladder.entry.assembly import build_parts
from carobladder.entry.draining import (
    DRAIN_NOTICE_SECONDS,
    NOTICE_MARGIN_SECONDS,
    SHUTDOWN_MARGIN_SECONDS,
)
from carobladder.entry.earlylistener import EarlyListener
from carobladder.entry.processstart import ProcessStart
from carobladder.entry.status import StatusHandler, add_gauges
from carobladder.exceptions import SettingsError
from carobladder.gateway.ports import ServerEnd
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
    GatewayMetrics,
    InstanceStarted,
    InstanceStopped,
    SettingsNotReloaded,
    SettingsReloaded,
    emit,
    emit_dropped_event_counts,
    set_log_level,
)

__all__ = ["PlatformInstance", "handle_end_signals", "run_platform_instance"]

_HOUSEKEEPING_INTERVAL_SECONDS = 0.25
# The instance listens after the first reads of the store, or after this time; without a
# configuration and targets, it would refuse all callers.
_FIRST_READS_TIMEOUT_SECONDS = 0.4


class PlatformInstance:
    """An instance on an operator's platform.

    ``defaulted`` names the settings that were left at their defaults, for the log.
    ``process_began`` is the start of the process in monotonic seconds, if it is known.
    ``stop_requested_at`` is the arrival of an end signal in monotonic seconds, if it is
    known. The event loop may handle the signal later.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        incarnation: int,
        defaulted: Sequence[str] = (),
        process_began: float | None = None,
    ) -> None:
        self._defaulted = defaulted
        self._began = clock.monotonic() if process_began is None else process_began
        self.parts = build_parts(settings, clock, incarnation)
        self._settings = settings
        self._clock = clock
        self._listening = False
        self._draining = False
        self.stop_requested_at: float | None = None
        self._status_servers = self._build_status_servers()
        add_gauges(self.parts, clock, lambda: self.ready)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this instance."""
        parts = self.parts
        if (
            not self._listening
            or self._draining
            or parts.control_state.table is None
            or not len(parts.targets)
        ):
            return False
        return parts.fence.allows_callers

    async def serve(
        self, stop: asyncio.Event, early_listener: EarlyListener | None = None
    ) -> None:
        """Serve until ``stop`` is set, then drain.

        ``early_listener`` has been open while the program was loaded, if there is one.
        """
        for server, address in self._status_servers:
            await server.start(address)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(coroutine)
                for coroutine in self._build_task_coroutines()
            ]
            await self._wait_for_first_reads()
            finished = True
            if stop.is_set():
                # Nobody has been served, so there is nothing to drain.
                if early_listener is not None:
                    early_listener.end()
            else:
                await self._listen(early_listener)
                await stop.wait()
                finished = await self._end_service(group)
            for task in tasks:
                task.cancel()
        await self.parts.share_membership.leave()
        emit(InstanceStopped(finished))

    async def _listen(self, early_listener: EarlyListener | None) -> None:
        """Accept callers."""
        settings = self._settings
        listener = early_listener.take() if early_listener is not None else None
        await self.parts.server.start(settings.listen, listener)
        self._listening = True
        emit(
            InstanceStarted(
                settings.listen,
                settings.data_centre,
                ", ".join(self._defaulted),
                start_seconds=round(self._clock.monotonic() - self._began, 3),
            )
        )

    def reload(self, settings: EntrySettings) -> None:
        """Apply the settings that can change while the instance runs."""
        changes = compare_entry_settings(self._settings, settings)
        self._settings = changes.in_force
        self.parts.budgets.set_bounds(settings.retry_ratio, settings.retry_slack)
        self.parts.budgets.set_copy_share(settings.hedge_share)
        self.parts.hedging.share = settings.hedge_share
        self.parts.load_bounds.load_multiple = settings.load_multiple
        set_log_level(settings.log_level)
        emit(
            SettingsReloaded(
                changed=", ".join(changes.applied) or "nothing",
                after_restart=", ".join(changes.after_restart),
            )
        )

    async def _wait_for_first_reads(self) -> None:
        """Wait for the first reads of the store, but not for long.

        The first read of the operators' records is no proof if it was sent before the
        era of the store was known to be settled.
        """
        parts = self.parts
        operator_follower = parts.operator_follower
        with suppress(TimeoutError):
            async with asyncio.timeout(_FIRST_READS_TIMEOUT_SECONDS):
                for follower in (
                    operator_follower,
                    parts.targets_follower,
                    parts.instances_follower,
                ):
                    await follower.wait_until_attempted()
                if operator_follower.is_proof_due:
                    await operator_follower.wait_until_proved()

    async def _end_service(self, group: asyncio.TaskGroup) -> bool:
        """Hand over the duties and drain; return whether all requests finished."""
        duties = self.parts.duties
        if duties is None:
            return await self._drain()
        group.create_task(duties.release())
        finished = await self._drain()
        await duties.flush()
        return finished

    def _build_task_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        parts = self.parts
        duties = [parts.duties.run()] if parts.duties is not None else []
        return [
            *duties,
            parts.operator_follower.run(),
            parts.targets_follower.run(),
            parts.instances_follower.run(),
            parts.share_membership.run(),
            parts.exchange.run(),
            parts.prober.run(),
            parts.quarantine_keeper.run(),
            parts.era_marks.run(),
            parts.configuration_backup.run(),
            parts.move_controller.run(),
            self._run_housekeeping(),
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
                    GatewayMetrics(),
                    self.parts.generator,
                ),
                address,
            )
            for address in addresses
        ]

    async def _run_housekeeping(self) -> None:
        """Run the periodic tasks, such as expiring targets and resizing budgets."""
        parts = self.parts
        share = parts.ledger.share
        while True:
            await self._clock.sleep(_HOUSEKEEPING_INTERVAL_SECONDS)
            parts.control_state.expire_targets()
            parts.fence.log_changes()
            emit_dropped_event_counts()
            if share != parts.ledger.share:
                share = parts.ledger.share
                parts.budgets.resize()

    async def _drain(self) -> bool:
        """Finish the accepted requests; return whether all of them were finished.

        Both the notice and the grace time begin with the end signal, and the notice
        never lasts beyond the grace time.
        """
        now = self._clock.monotonic()
        began = now if self.stop_requested_at is None else self.stop_requested_at
        grace_seconds = self._settings.shutdown_grace_seconds
        ends_at = began + grace_seconds - SHUTDOWN_MARGIN_SECONDS
        notice_ends_at = began + DRAIN_NOTICE_SECONDS
        notice_seconds = max(0.0, min(notice_ends_at, ends_at) - now)
        self._draining = True
        self.parts.server.begin_drain(
            ServerEnd(ends_at, notice_ends_at + NOTICE_MARGIN_SECONDS)
        )
        emit(Draining(round(notice_seconds, 3), round(max(0.0, ends_at - now), 3)))
        await self._clock.sleep(notice_seconds)
        limit_seconds = max(0.0, ends_at - self._clock.monotonic())
        return await self.parts.server.finish_drain(limit_seconds)


async def run_platform_instance(
    path: Path,
    clock: Clock,
    incarnation: int,
    start: ProcessStart,
) -> None:
    """Run an instance with its settings file until SIGTERM or SIGINT."""
    settings = load_entry_settings(path)
    defaulted = list_defaulted_settings(path)
    instance = PlatformInstance(settings, clock, incarnation, defaulted, start.began)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    handle_end_signals(instance, stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, path)
    # Looked at after the handler is set, so that no signal is missed.
    if start.reload_requested:
        _reload(instance, path)
    await instance.serve(stop, start.listener)


def handle_end_signals(instance: PlatformInstance, stop: asyncio.Event) -> None:
    """Set ``stop`` at an end signal, and record when it arrived.

    A handler of the event loop would run, and learn the time, only once the loop is
    idle.
    """
    loop = asyncio.get_running_loop()

    def request_stop(number: int, frame: FrameType | None) -> None:
        if instance.stop_requested_at is None:
            instance.stop_requested_at = time.monotonic()
        # A closed loop means that the process is ending.
        with suppress(RuntimeError):
            loop.call_soon_threadsafe(stop.set)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)


def _reload(instance: PlatformInstance, path: Path) -> None:
    try:
        instance.reload(load_entry_settings(path))
    except SettingsError as error:
        emit(SettingsNotReloaded(str(error)))
