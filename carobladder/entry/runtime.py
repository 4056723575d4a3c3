"""One instance on an operator platform: its tasks, its readiness and its end."""

import asyncio
import random
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock, SystemClock
from carobladder.entry.followers import TopicFollower
from carobladder.entry.knowledge import Knowledge
from carobladder.entry.loads import LoadExchange
from carobladder.entry.prober import TargetProber
from carobladder.entry.shares import SHARE_PARTITIONS, ShareKeeper
from carobladder.entry.status import StatusHandler
from carobladder.exceptions import SettingsError
from carobladder.fleet import (
    ColdPacer,
    LoadSharing,
    PromptWarmth,
    ServiceBudgets,
    ShareLedger,
    TargetSelector,
    TargetTable,
)
from carobladder.forwarding import FenceTimes, Forwarder, ForwardHandler
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.platform.documents import decode_operator_record, decode_target_entry
from carobladder.platform.exchanges import PlatformCodec
from carobladder.platform.names import INSTANCES_TOPIC, OPERATOR_TOPIC, TARGETS_TOPIC
from carobladder.platform.store import KeyedTopic, PlatformStore
from carobladder.routing import CallerLimits
from carobladder.settings.entry import EntrySettings, load_entry_settings
from carobladder.telemetry import (
    Draining,
    FenceClosed,
    FenceOpened,
    ForwardMetrics,
    GatewayMetrics,
    InstanceStarted,
    InstanceStopped,
    SettingsNotReloaded,
    SettingsReloaded,
    emit,
    emit_left_out,
)

__all__ = ["Entry", "run_entry"]

_MS_PER_SECOND = 1000.0
# A read of the store answers within this time after its own wait.
_STORE_TIMEOUT_SECONDS = 0.8
_CONNECT_SECONDS = 0.4
_STORE_SILENCE_SECONDS = 3.0
# Parts of the time in which a revoked key must be refused everywhere: how long a
# read of the operator's records waits, when callers are sent elsewhere, when "no such
# key" is no longer stated, and when keys are no longer accepted.
_OPERATOR_WAIT_PART = 0.48
_READY_PART = 0.78
_REFUSAL_PART = 0.75
_FENCE_PART = 0.9
_OPERATOR_COLLECT_SECONDS = 0.2
# The kernel notices a silent connection to the store sooner than this wait ends.
_TARGETS_WAIT_SECONDS = 8.0
# Part of the time in which requests to a draining target must end.
_TARGETS_COLLECT_PART = 0.4
_TARGETS_CONFIRM_PART = 0.25
# Part of the time in which a configuration must be in force, since a waiting read may
# miss a record that is appended as it begins.
_OPERATOR_MISS_PART = 0.75
_INSTANCES_WAIT_SECONDS = 25.0
_INSTANCES_COLLECT_SECONDS = 3.0
# The balancer notices a failing readiness within this time. Idle connections are
# closed half a second later, so no request is taken that the end would cut.
_NOTICE_SECONDS = 2.4
# Left of the grace time for the end itself.
_END_SECONDS = 0.6
_HOUSEKEEPING_SECONDS = 0.25


class Entry:
    """Own the parts of one instance and the tasks that run them."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._draining = False
        self._fence_closed_at: float | None = None
        generator = random.Random()
        self._metrics = ForwardMetrics()
        self._server_metrics = GatewayMetrics()
        self._ledger = ShareLedger(SHARE_PARTITIONS)
        self._pacer = ColdPacer(self._ledger)
        self._targets = TargetTable()
        self._budgets = ServiceBudgets(
            settings.retry_ratio, settings.retry_slack, self._ledger, clock
        )
        self._client = HttpClient(clock, connect_seconds=_CONNECT_SECONDS)
        self._store_client = HttpClient(
            clock,
            connect_seconds=_CONNECT_SECONDS,
            silence_seconds=_STORE_SILENCE_SECONDS,
        )
        self._store = PlatformStore(
            self._store_client, settings.store_address, _STORE_TIMEOUT_SECONDS
        )
        self._knowledge = Knowledge(
            clock,
            self._targets,
            self._pacer,
            settings.entry_renewal_ms / _MS_PER_SECOND,
            self._use_limits,
        )
        self._operator = self._follow_operator()
        self._entries = self._follow_targets()
        self._shares = ShareKeeper(
            self._store,
            self._ledger,
            settings.instance,
            settings.share_partitions,
            clock,
        )
        self._loads = LoadExchange(
            settings.instance,
            settings.peer_listen,
            LoadSharing(self._targets),
            KeyedTopic(self._store, INSTANCES_TOPIC),
            clock,
            generator,
        )
        self._instances = TopicFollower(
            "instances",
            KeyedTopic(self._store, INSTANCES_TOPIC),
            clock,
            _INSTANCES_WAIT_SECONDS,
            _INSTANCES_COLLECT_SECONDS,
            None,
            self._loads.take_record,
            lambda away_seconds: None,
        )
        self._prober = TargetProber(self._targets, self._client, clock)
        self._server = self._build_server(generator)
        self._status_servers = self._build_status_servers(generator)
        self._add_gauges()

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent to this instance."""
        if self._draining or self._knowledge.table is None or not len(self._targets):
            return False
        limit = self._settings.key_revocation_ms / _MS_PER_SECOND * _READY_PART
        return self._operator.freshness.is_within(limit, self._clock.boottime())

    async def serve(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain."""
        await self._server.start(self._settings.listen)
        for server, address in self._status_servers:
            await server.start(address)
        emit(InstanceStarted(self._settings.listen, self._settings.data_centre))
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(work) for work in self._list_tasks()]
            await stop.wait()
            finished = await self._drain()
            for task in tasks:
                task.cancel()
        await self._shares.leave()
        emit(InstanceStopped(finished))

    def reload(self, settings: EntrySettings) -> None:
        """Take settings that may change while the instance runs."""
        before, self._settings = self._settings, settings
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(before, name)
        ]
        emit(SettingsReloaded(", ".join(changed) or "nothing"))

    def _list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._operator.run(),
            self._entries.run(),
            self._shares.run(),
            self._prober.run(),
            self._instances.run(),
            self._loads.run(),
            self._keep_house(),
        ]

    def _follow_operator(self) -> TopicFollower:
        return TopicFollower(
            "operator",
            KeyedTopic(self._store, OPERATOR_TOPIC),
            self._clock,
            self._choose_operator_wait(),
            _OPERATOR_COLLECT_SECONDS,
            None,
            lambda key, value: self._knowledge.apply(
                decode_operator_record(key, value)
            ),
            lambda away_seconds: self._entries.read_again(),
        )

    def _choose_operator_wait(self) -> float:
        """Return the wait after which a missed record is still known in time."""
        settings = self._settings
        wait_ms = min(
            settings.key_revocation_ms * _OPERATOR_WAIT_PART,
            settings.configuration_ms * _OPERATOR_MISS_PART,
        )
        return wait_ms / _MS_PER_SECOND

    def _follow_targets(self) -> TopicFollower:
        drain_seconds = self._settings.drain_notice_ms / _MS_PER_SECOND
        return TopicFollower(
            "targets",
            KeyedTopic(self._store, TARGETS_TOPIC),
            self._clock,
            _TARGETS_WAIT_SECONDS,
            drain_seconds * _TARGETS_COLLECT_PART,
            drain_seconds * _TARGETS_CONFIRM_PART,
            self._take_target,
            self._knowledge.note_store_return,
        )

    def _take_target(self, key: str, value: bytes | None) -> None:
        if value is None:
            self._knowledge.drop_target(key)
        else:
            self._knowledge.apply_entry(decode_target_entry(key, value))

    def _build_server(self, generator: random.Random) -> GatewayServer:
        codec = PlatformCodec()
        selector = TargetSelector(
            self._targets, self._pacer, self._settings.load_multiple, generator
        )
        forwarder = Forwarder(
            self._client,
            codec,
            selector,
            PromptWarmth(self._targets),
            self._clock,
            self._budgets.find,
            self._metrics,
        )
        revocation_seconds = self._settings.key_revocation_ms / _MS_PER_SECOND
        fence = FenceTimes(
            keys=revocation_seconds * _FENCE_PART,
            refusals=revocation_seconds * _REFUSAL_PART,
        )
        handler = ForwardHandler(
            forwarder,
            codec,
            self._clock,
            lambda: self._knowledge.table,
            self._operator.freshness,
            fence,
            generator,
            self._metrics,
        )
        return GatewayServer(
            handler,
            RequestLimits(),
            self._clock,
            self._server_metrics,
            generator,
            labels_answers=False,
        )

    def _add_gauges(self) -> None:
        add = self._metrics.add_gauge
        clock, targets = self._clock, self._targets
        add(
            "configuration_version",
            "Version in force",
            lambda: (
                self._knowledge.table.configuration.version
                if self._knowledge.table
                else 0
            ),
        )
        add(
            "operator_records_age_seconds",
            "Age of the newest proof that all records of the operator are known",
            lambda: self._operator.freshness.age(clock.boottime()),
        )
        add(
            "target_entries_age_seconds",
            "Age of the newest proof that all entries of targets are known",
            lambda: self._entries.freshness.age(clock.boottime()),
        )
        add("targets", "Registered targets", lambda: len(targets))
        add("fleet_share", "Held part of sums", lambda: self._ledger.share)
        add("ready", "Whether callers may be sent here", lambda: float(self.ready))

    def _build_status_servers(
        self, generator: random.Random
    ) -> list[tuple[GatewayServer, str]]:
        handler = StatusHandler(self._metrics, lambda: self.ready)
        addresses = (self._settings.readiness_listen, self._settings.metrics_listen)
        return [
            (
                GatewayServer(
                    handler,
                    RequestLimits(),
                    self._clock,
                    self._server_metrics,
                    generator,
                ),
                address,
            )
            for address in addresses
        ]

    def _use_limits(self, limits: CallerLimits) -> None:
        self._server.set_limits(
            RequestLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                read_seconds=limits.header_seconds,
                idle_seconds=limits.idle_seconds,
            )
        )

    async def _keep_house(self) -> None:
        """Expire lapsed targets and resize the budgets with the share."""
        share = self._ledger.share
        while True:
            await self._clock.sleep(_HOUSEKEEPING_SECONDS)
            self._knowledge.expire_targets()
            self._watch_fence()
            emit_left_out()
            if share != self._ledger.share:
                share = self._ledger.share
                self._budgets.resize()

    def _watch_fence(self) -> None:
        """Log when requests with a key begin or cease to be refused."""
        now = self._clock.boottime()
        freshness = self._operator.freshness
        limit_seconds = self._settings.key_revocation_ms / _MS_PER_SECOND * _FENCE_PART
        closed = freshness.proved and not freshness.is_within(limit_seconds, now)
        if closed and self._fence_closed_at is None:
            self._fence_closed_at = now
            emit(FenceClosed(round(freshness.age(now), 2)))
        elif not closed and self._fence_closed_at is not None:
            emit(FenceOpened(round(now - self._fence_closed_at, 2)))
            self._fence_closed_at = None

    async def _drain(self) -> bool:
        """Finish accepted work; tell whether all of it was finished.

        Listening goes on until the balancer has noticed.
        """
        self._draining = True
        self._server.begin_drain()
        emit(Draining(_NOTICE_SECONDS))
        await self._clock.sleep(_NOTICE_SECONDS)
        grace_seconds = self._settings.shutdown_grace_ms / _MS_PER_SECOND
        limit_seconds = grace_seconds - _NOTICE_SECONDS - _END_SECONDS
        return await self._server.finish_drain(limit_seconds)


async def run_entry(path: Path) -> None:
    """Run an instance on its settings file until SIGTERM or SIGINT."""
    settings = load_entry_settings(path)
    entry = Entry(settings, SystemClock())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, entry, path)
    await entry.serve(stop)


def _reload(entry: Entry, path: Path) -> None:
    try:
        entry.reload(load_entry_settings(path))
    except SettingsError as error:
        emit(SettingsNotReloaded(str(error)))
