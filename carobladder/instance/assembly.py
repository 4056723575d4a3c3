"""Construction of the components of an instance from its settings."""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from carobladder.admin.api import AdminApi
from carobladder.bookings import BookingRunner, ClaimReader, ClaimWriter
from carobladder.clients.engines import EngineClient, TargetProber
from carobladder.clients.http import HttpClient
from carobladder.clients.instances import InstanceListClient
from carobladder.clients.log import Log
from carobladder.clock import Clock
from carobladder.gateway.attempts import TargetCaller
from carobladder.gateway.chats import ChatHandler, ChatOptions
from carobladder.gateway.relay import RelayTimeouts
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.services import ServiceHandler, ServiceOptions
from carobladder.instance.callbacks import PeerCallbacks
from carobladder.instance.directory import LiveDirectory
from carobladder.instance.evidence import EvidenceCollector
from carobladder.instance.lookup import BookingLookup
from carobladder.instance.movedriver import FleetView, MoveDriver
from carobladder.instance.movemonitor import MoveMonitor
from carobladder.instance.movetargets import TargetReader
from carobladder.instance.placement import FleetPlacement
from carobladder.instance.snapshots import SnapshotExchange
from carobladder.limits.admission import AdmissionController, Demand
from carobladder.limits.queues import FairQueue
from carobladder.limits.refusals import RefusalPolicy
from carobladder.peers import (
    Coordinator,
    Exchange,
    PeerKeys,
    PeerTransport,
    Timing,
)
from carobladder.placement.policy import PlacementPolicy
from carobladder.placement.tokens import TokenSigner
from carobladder.platform.store import PlatformStore, StoreLog
from carobladder.resources import (
    Catalog,
    ConfigReader,
    ConfiguredDirectory,
    ReaderOptions,
    WatchHistory,
)
from carobladder.retries import RetryBudget
from carobladder.settings.definition import InstanceSettings
from carobladder.telemetry import GatewayMetrics

__all__ = [
    "ConfigurationParts",
    "DataPath",
    "FleetParts",
    "MoveParts",
    "build_configuration",
]
__all__ += ["build_data_path", "build_fleet", "build_moves"]

_MAX_WAITING_REQUESTS = 2000
# An instance counts as up to date only while its last read of the log is recent, so
# a long poll must return well within that time even without new records.
_CONFIG_POLL_SECONDS = 1.0
_LOG_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class ConfigurationParts:
    """Components that read, store and change the configuration."""

    log: Log
    catalog: Catalog
    directory: ConfiguredDirectory
    history: WatchHistory
    reader: ConfigReader
    admin: AdminApi


@dataclass(frozen=True, slots=True)
class FleetParts:
    """Components that coordinate with other instances and probe targets."""

    transport: PeerTransport
    coordinator: Coordinator
    exchange: Exchange
    admission: AdmissionController
    prober: TargetProber
    instance_list: InstanceListClient


@dataclass(frozen=True, slots=True)
class MoveParts:
    """Components that monitor and drive moves."""

    evidence: EvidenceCollector
    monitor: MoveMonitor
    driver: MoveDriver

    def describe(self, kind: str, name: str) -> dict[str, Any]:
        """Return the status of a move for operators, without its progress."""
        status = self.monitor.describe(kind, name)
        return {**status, **self.driver.describe(kind, name)} if status else {}


@dataclass(frozen=True, slots=True)
class DataPath:
    """Components that serve callers."""

    caller: TargetCaller
    chats: ChatHandler
    services: ServiceHandler
    claims_reader: ClaimReader
    claims_writer: ClaimWriter
    limits: RequestLimits


def build_configuration(
    settings: InstanceSettings, clock: Clock, client: HttpClient
) -> ConfigurationParts:
    """Build the components that read, store and change the configuration."""
    store = PlatformStore(client, _strip_scheme(settings.log_url), _LOG_TIMEOUT_SECONDS)
    log = StoreLog(store)
    catalog = Catalog()
    directory = ConfiguredDirectory(catalog, clock)
    history = WatchHistory()
    options = ReaderOptions(poll_seconds=_CONFIG_POLL_SECONDS)
    reader = ConfigReader(log, catalog, history, clock, options=options)
    admin_key = settings.admin_key.get_secret_value()
    admin = AdminApi(catalog, directory, history, log, clock, admin_key)
    return ConfigurationParts(log, catalog, directory, history, reader, admin)


def build_fleet(
    settings: InstanceSettings,
    clock: Clock,
    client: HttpClient,
    callbacks: PeerCallbacks,
) -> FleetParts:
    """Build the components that coordinate with other instances."""
    keys = PeerKeys(
        settings.peer_public_key.get_secret_value(),
        settings.peer_secret_key.get_secret_value(),
    )
    transport = PeerTransport(settings.peer_listen, keys)
    coordinator = _build_coordinator(settings, clock)
    exchange = Exchange(coordinator, transport, clock, callbacks)
    admission = AdmissionController(
        clock=clock,
        book=coordinator.book,
        queue=FairQueue(_MAX_WAITING_REQUESTS),
        refusals=RefusalPolicy(random.Random()),
        find_target=exchange.find_target,
        ask=exchange.ask,
    )
    coordinator.demand = admission.describe_demand
    prober = TargetProber(
        EngineClient(client),
        clock,
        settings.probe_seconds,
        exchange.list_owned,
        exchange.note_probe,
    )
    instance_list = InstanceListClient(client, _strip_scheme(settings.list_url))
    return FleetParts(
        transport, coordinator, exchange, admission, prober, instance_list
    )


def build_moves(
    settings: InstanceSettings,
    clock: Clock,
    client: HttpClient,
    configuration: ConfigurationParts,
    fleet: FleetParts,
) -> MoveParts:
    """Build the components that monitor and drive moves."""
    coordinator = fleet.coordinator
    engines = EngineClient(client)
    evidence = EvidenceCollector(settings.instance_id, coordinator.incarnation)
    monitor = MoveMonitor(
        configuration.catalog, evidence, fleet.exchange.add_evidence, clock
    )

    def find_load(target_id: str) -> int:
        allowance = coordinator.book.find(target_id, clock.monotonic())
        return 0 if allowance is None else allowance.load

    driver = MoveDriver(
        FleetView(
            settings.instance_id,
            lambda: coordinator.view.list_live(clock.monotonic()),
            lambda: configuration.reader.read_at,
        ),
        configuration.catalog,
        configuration.log,
        monitor,
        TargetReader(configuration.catalog, engines, find_load),
        engines,
        clock,
    )
    moves = MoveParts(evidence, monitor, driver)
    configuration.admin.describe_move = moves.describe
    return moves


def build_data_path(
    settings: InstanceSettings,
    clock: Clock,
    client: HttpClient,
    metrics: GatewayMetrics,
    configuration: ConfigurationParts,
    fleet: FleetParts,
    moves: MoveParts,
) -> DataPath:
    """Build the components that serve callers."""
    directory = LiveDirectory(
        configuration.directory, fleet.exchange.find_target, moves.monitor.adjust_shares
    )
    budget = RetryBudget(settings.retry_budget_ratio, clock.monotonic())
    caller = TargetCaller(
        client,
        fleet.admission,
        budget,
        clock,
        metrics,
        note_boot=fleet.exchange.note_boot,
        note_outcome=moves.evidence.note_outcome,
    )
    window = timedelta(seconds=settings.claim_window_seconds)
    reader = ClaimReader(configuration.log, clock, window)
    writer = ClaimWriter(configuration.log, clock, settings.claim_linger_seconds)
    lookup = BookingLookup(directory, client)
    bookings = BookingRunner(
        settings.instance_id, clock, reader, writer, lookup, window
    )
    return DataPath(
        caller=caller,
        chats=_build_chats(settings, clock, directory, caller, moves),
        services=ServiceHandler(
            directory,
            bookings,
            caller,
            _build_service_options(settings),
            random.Random(),
        ),
        claims_reader=reader,
        claims_writer=writer,
        limits=RequestLimits(
            max_header_bytes=settings.max_header_bytes,
            max_body_bytes=settings.max_body_bytes,
            read_seconds=settings.request_read_seconds,
            idle_seconds=settings.idle_connection_seconds,
        ),
    )


def build_snapshots(
    settings: InstanceSettings, clock: Clock, reader: ConfigReader
) -> SnapshotExchange:
    """Build the component that exchanges configuration snapshots with peers."""
    return SnapshotExchange(
        settings.instance_id, clock, random.Random(), reader.encode_snapshot
    )


def _build_coordinator(settings: InstanceSettings, clock: Clock) -> Coordinator:
    timing = Timing(
        heartbeat_seconds=settings.heartbeat_seconds,
        lease_seconds=settings.lease_seconds,
        list_window_seconds=settings.list_window_seconds,
        load_multiple=settings.load_multiple,
    )
    # The start time, since a later start must have a greater incarnation and instances
    # keep no state between starts.
    incarnation = int(clock.now().timestamp() * 1000)
    return Coordinator(
        settings.instance_id,
        incarnation,
        timing,
        clock.monotonic(),
        lambda _: Demand(),
    )


def _build_chats(
    settings: InstanceSettings,
    clock: Clock,
    directory: LiveDirectory,
    caller: TargetCaller,
    moves: MoveParts,
) -> ChatHandler:
    signer = TokenSigner(settings.token_secret.get_secret_value().encode())
    placement = FleetPlacement(
        PlacementPolicy(), signer, clock, moves.monitor.list_returning
    )
    timeouts = RelayTimeouts(settings.first_byte_seconds, settings.stream_gap_seconds)
    options = ChatOptions(settings.default_deadline_seconds, timeouts)
    return ChatHandler(directory, placement, caller, options)


def _build_service_options(settings: InstanceSettings) -> ServiceOptions:
    return ServiceOptions(
        settings.default_deadline_seconds, settings.first_byte_seconds
    )


def _strip_scheme(url: str) -> str:
    return url.removeprefix("http://")
