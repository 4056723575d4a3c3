"""Main loop of an instance: tasks, readiness and drain."""

import asyncio
import random
import signal
from collections.abc import Coroutine
from typing import Any

from carobladder.clients.http import HttpClient
from carobladder.clients.instances import InstanceList, InstanceListPoller
from carobladder.clock import Clock, SystemClock, run_with_timeout
from carobladder.gateway.router import Router
from carobladder.gateway.server import GatewayServer
from carobladder.instance.administration import AdminHandler
from carobladder.instance.assembly import (
    build_configuration,
    build_data_path,
    build_fleet,
    build_moves,
    build_snapshots,
)
from carobladder.instance.callbacks import PeerCallbacks
from carobladder.instance.collector import FleetCollector
from carobladder.instance.declarations import declare_targets
from carobladder.peers import PeerMessage, SnapshotRequest
from carobladder.resources import ABSENT
from carobladder.settings.definition import InstanceSettings
from carobladder.telemetry import GatewayMetrics, configure_logging, log_event

__all__ = ["Instance", "run_instance"]

_OK_STATUS = 0
_FAILED_STATUS = 1
_FLUSH_TIMEOUT_SECONDS = 5.0


class Instance:
    """One instance with its components and the tasks that run them."""

    def __init__(self, settings: InstanceSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._started_at = clock.monotonic()
        self._draining = False
        self.listening = asyncio.Event()
        self._listed_leaving: frozenset[str] = frozenset()
        self._reported_read_at: float | None = None
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._client = HttpClient(clock)
        self._metrics = GatewayMetrics()
        self._configuration = build_configuration(settings, clock, self._client)
        self._callbacks = PeerCallbacks()
        self._fleet = build_fleet(settings, clock, self._client, self._callbacks)
        self._moves = build_moves(
            settings, clock, self._client, self._configuration, self._fleet
        )
        self._path = build_data_path(
            settings,
            clock,
            self._client,
            self._metrics,
            self._configuration,
            self._fleet,
            self._moves,
        )
        self._snapshots = build_snapshots(settings, clock, self._configuration.reader)
        self._metrics.registry.register(
            FleetCollector(self._configuration, self._fleet, self._path, clock)
        )
        self._connect_components()
        self.server = self._build_server()

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests to this instance.

        Leases of an earlier incarnation must have expired before this one gets slots.
        """
        if self._draining or not self._configuration.catalog.loaded:
            return False
        settle_seconds = 2 * self._settings.lease_seconds
        return self._clock.monotonic() - self._started_at >= settle_seconds

    @property
    def peer_address(self) -> str:
        """Address on which other instances reach this one."""
        return self._fleet.transport.address

    async def serve(self, stop: asyncio.Event) -> int:
        """Serve until ``stop`` is set, then drain; return the exit status.

        The status is 1 if the drain did not finish all accepted work.
        """
        self._fleet.transport.start()
        await self.server.start(self._settings.listen)
        self.listening.set()
        log_event("instance started", listen=self._settings.listen)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(work) for work in self._list_tasks()]
            await stop.wait()
            finished = await self._drain()
            for task in tasks:
                task.cancel()
        self._fleet.transport.close()
        self._client.close()
        log_event("instance stopped", finished=finished)
        return _OK_STATUS if finished else _FAILED_STATUS

    def _list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        watcher = InstanceListPoller(
            self._fleet.instance_list, self._clock, self._apply_list
        )
        return [
            self._configuration.reader.run(),
            watcher.run(),
            self._fleet.exchange.run(),
            self._fleet.admission.run(),
            self._fleet.prober.run(),
            self._path.claims_reader.run(),
            self._path.claims_writer.run(),
            self._moves.monitor.run(),
            self._moves.driver.run(),
            self._run_updates(),
        ]

    def _build_server(self) -> GatewayServer:
        router = Router(
            chats=self._path.chats,
            services=self._path.services,
            admin=AdminHandler(self._configuration.admin),
            metrics=self._metrics,
            is_ready=lambda: self.ready,
        )
        return GatewayServer(
            router, self._path.limits, self._clock, self._metrics, random.Random()
        )

    def _connect_components(self) -> None:
        self._callbacks.on_slots_changed = self._fleet.admission.serve
        self._callbacks.on_evidence = self._moves.evidence.merge_items
        self._callbacks.on_snapshot_request = self._send_snapshot_part
        self._callbacks.on_snapshot_answer = self._snapshots.receive_answer
        self._configuration.reader.set_peer_snapshot(self._fetch_snapshot)

    async def _drain(self) -> bool:
        """Finish the accepted work and return whether all of it was finished.

        The instance accepts connections until the balancer has had time to notice that
        it is no longer ready.
        """
        self._draining = True
        self._fleet.exchange.set_leaving()
        self.server.begin_drain()
        log_event("draining", notice_seconds=self._settings.drain_notice_seconds)
        await self._clock.sleep(self._settings.drain_notice_seconds)
        limit = self._settings.drain_limit_seconds
        finished = await self.server.finish_drain(limit)
        try:
            await run_with_timeout(
                self._clock, self._path.services.finish_bookings(), limit
            )
            await run_with_timeout(
                self._clock, self._path.claims_writer.flush(), _FLUSH_TIMEOUT_SECONDS
            )
        except TimeoutError:
            log_event("bookings were not recorded before the drain timeout")
            finished = False
        return finished

    def _apply_list(self, answer: InstanceList) -> None:
        leaving = {item.target_id for item in answer.targets if item.leaving}
        self._listed_leaving = frozenset(leaving)
        self._fleet.exchange.apply_list(answer.instances)

    async def _run_updates(self) -> None:
        """Pass the targets to limits and peers, and the applied offsets to watches.

        Targets are declared again even without a change of the configuration, because
        maintenance windows start at a given time.
        """
        while True:
            self._update()
            await self._clock.sleep(self._settings.heartbeat_seconds)

    def _update(self) -> None:
        configuration = self._configuration
        if configuration.catalog.loaded:
            self._fleet.exchange.set_targets(
                declare_targets(
                    configuration.catalog,
                    configuration.directory,
                    self._listed_leaving,
                )
            )
        applied = configuration.catalog.applied_offset
        self._report_config_reads(applied)
        offsets = {
            peer.instance_id: self._callbacks.applied_offsets.get(
                peer.instance_id, ABSENT
            )
            for peer in self._fleet.coordinator.view.list_peers()
        }
        offsets[self._settings.instance_id] = applied
        configuration.history.update_instances(offsets)
        if configuration.catalog.loaded:
            now = self._clock.monotonic()
            configuration.history.note_log(self._moves.driver.is_log_available(now))

    def _report_config_reads(self, applied: int) -> None:
        """Report reads of the log since the last call to the exchange."""
        read_at = self._configuration.reader.read_at
        if read_at != self._reported_read_at:
            self._reported_read_at = read_at
            self._fleet.exchange.note_config(applied)

    def _send_snapshot_part(self, request: SnapshotRequest) -> None:
        offset = self._configuration.catalog.applied_offset
        self._send(request.sender, self._snapshots.answer(request, offset))

    async def _fetch_snapshot(self) -> list[bytes]:
        peers = [peer.instance_id for peer in self._fleet.coordinator.view.list_peers()]
        return await self._snapshots.fetch(peers, self._send)

    def _send(self, peer: str, message: PeerMessage) -> None:
        task = asyncio.ensure_future(self._fleet.exchange.send(peer, message))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)


async def run_instance(settings: InstanceSettings) -> int:
    """Run an instance until SIGTERM or SIGINT; return the exit status."""
    configure_logging(settings.log_level, settings.instance_id)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    instance = Instance(settings, SystemClock())
    return await instance.serve(stop)
