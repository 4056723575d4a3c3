"""Parts of one instance on an operator platform, built from its settings."""

import random
from dataclasses import dataclass

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock
from carobladder.entry.exchange import PeerExchange, SharedKnowledge
from carobladder.entry.fence import FenceWatch, plan_fence
from carobladder.entry.followers import TopicFollower
from carobladder.entry.knowledge import Knowledge
from carobladder.entry.paces import (
    plan_instances_pace,
    plan_operator_pace,
    plan_targets_pace,
)
from carobladder.entry.peers import PeerDirectory
from carobladder.entry.prober import TargetProber
from carobladder.entry.prompts import PromptDirectory
from carobladder.entry.shares import SHARE_PARTITIONS, ShareKeeper
from carobladder.entry.versions import VersionMover
from carobladder.fleet import (
    AnswerTallies,
    ColdPacer,
    FailureSharing,
    KeyedRecord,
    LoadSharing,
    ReaderRole,
    RouteTimes,
    ServiceBudgets,
    ShareLedger,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from carobladder.forwarding import Forwarder, ForwardHandler, TargetSender
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.platform.documents import (
    decode_operator_record,
    decode_target_entry,
    encode_move_status,
)
from carobladder.platform.exchanges import PlatformCodec
from carobladder.platform.names import (
    INSTANCES_TOPIC,
    MOVE_EVIDENCE_TOPIC,
    OPERATOR_TOPIC,
    STATUS_TOPIC,
    TARGETS_TOPIC,
)
from carobladder.platform.store import KeyedTopic, PlatformStore
from carobladder.routing import CallerLimits
from carobladder.settings.entry import EntrySettings
from carobladder.telemetry import ForwardMetrics, GatewayMetrics

__all__ = ["EntryParts", "build_parts"]

_MS_PER_SECOND = 1000.0
_BYTES_PER_MB = 1_000_000
# Answers that are read whole before they are sent on may take this part of the memory.
_HELD_DIVISOR = 8
# A read of the store begins to answer within this time after its own wait.
_STORE_TIMEOUT_SECONDS = 0.8
_CONNECT_SECONDS = 0.4
_STORE_SILENCE_SECONDS = 3.0
# Some thousand routes take a second on the slowest link, more beside other traffic.
_STORE_BODY_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Hold the parts of an instance that run, or that its life depends on."""

    targets: TargetTable
    ledger: ShareLedger
    budgets: ServiceBudgets
    selector: TargetSelector
    knowledge: Knowledge
    operator: TopicFollower
    entries: TopicFollower
    instances: TopicFollower
    shares: ShareKeeper
    exchange: PeerExchange
    prober: TargetProber
    mover: VersionMover
    fence: FenceWatch
    metrics: ForwardMetrics
    server_metrics: GatewayMetrics
    server: GatewayServer
    generator: random.Random


def build_parts(settings: EntrySettings, clock: Clock, incarnation: int) -> EntryParts:
    """Return the parts of an instance; nothing runs yet."""
    return _Builder(settings, clock, incarnation).build()


class _Builder:
    """Build the parts in the order in which they need each other."""

    def __init__(self, settings: EntrySettings, clock: Clock, incarnation: int) -> None:
        self._settings = settings
        self._clock = clock
        self._generator = random.Random()
        self._revocation_seconds = settings.key_revocation_ms / _MS_PER_SECOND
        self._client = HttpClient(
            clock,
            connect_seconds=_CONNECT_SECONDS,
            max_held_bytes=settings.memory_mb * _BYTES_PER_MB // _HELD_DIVISOR,
        )
        store_client = HttpClient(
            clock,
            connect_seconds=_CONNECT_SECONDS,
            silence_seconds=_STORE_SILENCE_SECONDS,
            body_seconds=_STORE_BODY_SECONDS,
        )
        self._store = PlatformStore(
            store_client, settings.store_address, _STORE_TIMEOUT_SECONDS
        )
        self._targets = TargetTable()
        self._ledger = ShareLedger(SHARE_PARTITIONS)
        self._pacer = ColdPacer(self._ledger)
        self._moves = VersionMoves(settings.exposure_share)
        self._tallies = AnswerTallies(self._moves, self._targets, incarnation)
        self._directory = PeerDirectory(settings.instance, settings.peer_listen, clock)
        self._prompts = PromptDirectory(
            self._targets, self._directory, clock, self._generator
        )
        self._role = ReaderRole(self._ledger, self._directory.count_peers)
        self._metrics = ForwardMetrics()
        self._server_metrics = GatewayMetrics()

    def build(self) -> EntryParts:
        """Return the parts."""
        settings, clock = self._settings, self._clock
        budgets = ServiceBudgets(
            settings.retry_ratio, settings.retry_slack, self._ledger, clock
        )
        selector = TargetSelector(
            self._targets,
            self._pacer,
            self._moves,
            settings.load_multiple,
            self._generator,
        )
        mover = self._build_mover()
        knowledge = Knowledge(
            clock,
            self._targets,
            self._pacer,
            settings.entry_renewal_ms / _MS_PER_SECOND,
            mover.take_order,
        )
        instances = self._follow_instances()
        entries = self._follow_targets(knowledge)
        operator = self._follow_operator(knowledge, entries)
        exchange = self._build_exchange()
        exchange.follow(instances, (operator, entries, instances))
        server = self._build_server(knowledge, operator, selector, budgets, exchange)
        knowledge.on_limits = lambda limits: _use_limits(server, limits)
        return EntryParts(
            targets=self._targets,
            ledger=self._ledger,
            budgets=budgets,
            selector=selector,
            knowledge=knowledge,
            operator=operator,
            entries=entries,
            instances=instances,
            shares=self._build_shares(),
            exchange=exchange,
            prober=TargetProber(self._targets, self._client, clock),
            mover=mover,
            fence=FenceWatch(operator.freshness, self._revocation_seconds, clock),
            metrics=self._metrics,
            server_metrics=self._server_metrics,
            server=server,
            generator=self._generator,
        )

    def _build_mover(self) -> VersionMover:
        return VersionMover(
            self._settings.instance,
            self._moves,
            self._targets,
            self._tallies,
            self._ledger,
            KeyedTopic(self._store, STATUS_TOPIC),
            KeyedTopic(self._store, MOVE_EVIDENCE_TOPIC),
            encode_move_status,
            self._settings.exposure_share,
            self._clock,
            self._generator,
        )

    def _build_shares(self) -> ShareKeeper:
        return ShareKeeper(
            self._store,
            self._ledger,
            self._settings.instance,
            self._settings.share_partitions,
            self._clock,
        )

    def _build_exchange(self) -> PeerExchange:
        return PeerExchange(
            self._settings.peer_listen,
            self._directory,
            SharedKnowledge(
                LoadSharing(self._targets),
                self._prompts,
                FailureSharing(self._targets, self._generator),
            ),
            KeyedTopic(self._store, INSTANCES_TOPIC),
            self._role.is_held,
            self._clock,
            self._generator,
        )

    def _follow_operator(
        self, knowledge: Knowledge, entries: TopicFollower
    ) -> TopicFollower:
        return TopicFollower(
            "operator",
            KeyedTopic(self._store, OPERATOR_TOPIC),
            self._clock,
            plan_operator_pace(
                self._revocation_seconds,
                self._settings.configuration_ms / _MS_PER_SECOND,
            ),
            lambda record: knowledge.apply(decode_operator_record(record)),
            lambda away_seconds: entries.read_again(),
            self._generator,
            self._role.is_held,
        )

    def _follow_targets(self, knowledge: Knowledge) -> TopicFollower:
        def take(record: KeyedRecord) -> None:
            if record.value is None:
                knowledge.drop_target(record.key)
            else:
                knowledge.apply_entry(decode_target_entry(record.key, record.value))

        drain_seconds = self._settings.drain_notice_ms / _MS_PER_SECOND
        return TopicFollower(
            "targets",
            KeyedTopic(self._store, TARGETS_TOPIC),
            self._clock,
            plan_targets_pace(drain_seconds),
            take,
            knowledge.note_store_return,
            self._generator,
            self._role.is_held,
        )

    def _follow_instances(self) -> TopicFollower:
        return TopicFollower(
            "instances",
            KeyedTopic(self._store, INSTANCES_TOPIC),
            self._clock,
            plan_instances_pace(),
            self._directory.take_record,
            lambda away_seconds: None,
            self._generator,
            self._role.is_held,
        )

    def _build_server(
        self,
        knowledge: Knowledge,
        operator: TopicFollower,
        selector: TargetSelector,
        budgets: ServiceBudgets,
        exchange: PeerExchange,
    ) -> GatewayServer:
        codec = PlatformCodec()
        sender = TargetSender(
            self._client,
            codec,
            self._prompts,
            self._tallies,
            RouteTimes(),
            self._clock,
            exchange.note_silence,
        )
        forwarder = Forwarder(
            sender, selector, self._clock, budgets.find, self._metrics
        )
        handler = ForwardHandler(
            forwarder,
            codec,
            self._clock,
            lambda: knowledge.table,
            operator.freshness,
            plan_fence(self._revocation_seconds),
            self._generator,
            self._metrics,
        )
        return GatewayServer(
            handler,
            RequestLimits(),
            self._clock,
            self._server_metrics,
            self._generator,
            adds_request_id=False,
        )


def _use_limits(server: GatewayServer, limits: CallerLimits) -> None:
    server.set_limits(
        RequestLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            read_seconds=limits.header_seconds,
            idle_seconds=limits.idle_seconds,
        )
    )
