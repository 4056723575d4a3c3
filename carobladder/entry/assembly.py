"""Construction of the components of a platform instance from its settings."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.entry.callerserver import (
    apply_caller_limits,
    build_caller_server,
)
from carobladder.entry.clients import build_clients
from carobladder.entry.duties import DutyKeeper
from carobladder.entry.dutyassembly import DutySurroundings, build_duties
from carobladder.entry.dutysharing import DutySharing
from carobladder.entry.exchange import PeerExchange, SharedState
from carobladder.entry.fence import FenceMonitor, build_fence_times
from carobladder.entry.prober import TargetProber
from carobladder.entry.prompts import PromptDirectory
from carobladder.entry.quarantine import QuarantineKeeper, QuarantineSharing
from carobladder.entry.scaling import ScalingSources
from carobladder.entry.shares import ShareMembership, count_share_partitions
from carobladder.entry.versions import VersionMoveController
from carobladder.eras import (
    CONFIGURATION_BACKUP,
    ERA_MARK,
    ConfigurationBackup,
    EraMarkKeeper,
    EraMonitor,
    OwnedRecord,
    RecordSpec,
)
from carobladder.fleet import (
    AnswerTallies,
    ColdPacer,
    CompletionPredictor,
    ExposureLimit,
    FailureGossip,
    Freshness,
    InFlightGossip,
    LoadBounds,
    LoadGossip,
    PeerDirectory,
    RateGossip,
    RatePacer,
    ReaderRole,
    RouteLatencies,
    ServiceBudgets,
    ShareLedger,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from carobladder.forwarding import (
    AdmissionControl,
    CallCurrency,
    CrashWatch,
    Forwarder,
    ForwardHandler,
    HedgePolicy,
    LoadMonitor,
    TargetSender,
)
from carobladder.gateway.server import GatewayServer
from carobladder.platform.documents import (
    encode_move_status,
)
from carobladder.platform.exchanges import PlatformCodec
from carobladder.platform.names import (
    DUTIES_TOPIC,
    INSTANCES_TOPIC,
    MOVE_EVIDENCE_TOPIC,
    STATUS_TOPIC,
)
from carobladder.platform.store import KeyedTopic
from carobladder.quarantine import PartQuarantine
from carobladder.routing import Service
from carobladder.settings.entry import EntrySettings
from carobladder.telemetry import ForwardMetrics, GatewayMetrics
from carobladder.topics import (
    ControlState,
    FollowerBuilder,
    RecentValues,
    TopicFollower,
    apply_configuration_value,
    compute_expiry_seconds,
)

__all__ = ["InstanceParts", "build_parts"]

_MS_PER_SECOND = 1000.0
_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class InstanceParts:
    """The components of an instance that its runtime starts, reads or reloads."""

    targets: TargetTable
    ledger: ShareLedger
    budgets: ServiceBudgets
    hedging: HedgePolicy
    load_bounds: LoadBounds
    control_state: ControlState
    operator_follower: TopicFollower
    targets_follower: TopicFollower
    instances_follower: TopicFollower
    share_membership: ShareMembership
    exchange: PeerExchange
    prober: TargetProber
    quarantine: PartQuarantine
    quarantine_keeper: QuarantineKeeper
    era_marks: EraMarkKeeper
    configuration_backup: ConfigurationBackup
    move_controller: VersionMoveController
    duties: DutyKeeper | None
    fence: FenceMonitor
    metrics: ForwardMetrics
    server_metrics: GatewayMetrics
    server: GatewayServer
    generator: random.Random


def build_parts(
    settings: EntrySettings, clock: Clock, incarnation: int
) -> InstanceParts:
    """Build the components of an instance without starting them."""
    return _Builder(settings, clock, incarnation).build()


class _Builder:
    """Builder of the components in the order of their dependencies."""

    def __init__(self, settings: EntrySettings, clock: Clock, incarnation: int) -> None:
        self._settings = settings
        self._clock = clock
        self._generator = random.Random()
        self._revocation_seconds = settings.key_revocation_ms / _MS_PER_SECOND
        self._memory_bytes = settings.memory_mb * _BYTES_PER_MB
        clients = build_clients(settings, clock, self._memory_bytes)
        self._target_memory = clients.target_memory
        self._client = clients.target_client
        self._store = clients.store
        self._eras = EraMonitor()
        self._values = RecentValues()
        self._targets = TargetTable()
        self._ledger = ShareLedger(count_share_partitions(settings.share_partitions))
        self._load_bounds = LoadBounds(self._targets, settings.load_multiple)
        self._pacer = ColdPacer(self._ledger)
        self._rates = RatePacer(self._ledger, clock, self._generator)
        self._moves = VersionMoves(settings.exposure_share)
        self._tallies = AnswerTallies(self._moves, self._targets, incarnation)
        self._peers = PeerDirectory(settings.instance, settings.peer_listen, clock)
        self._prompt_directory = PromptDirectory(
            self._targets, self._peers, clock, self._generator
        )
        self._quarantine = PartQuarantine(
            lambda key: self._peers.find_owners(key, 1) == [settings.instance]
        )
        self._quarantine_keeper = QuarantineKeeper(
            self._quarantine,
            KeyedTopic(self._store, INSTANCES_TOPIC),
            self._peers,
            clock,
            self._eras,
        )
        self._era_marks = EraMarkKeeper(
            self._eras, self._build_record(ERA_MARK), clock, self._generator
        )
        self._reader_role = ReaderRole(self._ledger, self._peers.count_peers)
        self._metrics = ForwardMetrics()
        self._predictor = CompletionPredictor(self._metrics.observe_prediction)
        self._metrics.add_gauge(
            "answer_memory_bytes",
            "Bytes of the answers of targets that are kept",
            lambda: float(self._target_memory.used_bytes),
        )
        self._admission = AdmissionControl(
            self._metrics,
            is_enabled=settings.admission_control,
            applies=self._targets.states_slowness,
        )
        self._metrics.add_gauge(
            "waiting_requests",
            "Requests that wait for the rate limits of targets",
            lambda: float(self._admission.lines.count_waiting()),
        )
        self._server_metrics = GatewayMetrics(
            connection_registry=self._metrics.registry
        )
        self._duty_sharing = DutySharing()
        self._control_state: ControlState | None = None
        self._duties = self._build_duties()

    def build(self) -> InstanceParts:
        """Build all components."""
        settings, clock = self._settings, self._clock
        budgets = ServiceBudgets(
            settings.retry_ratio,
            settings.retry_slack,
            self._ledger,
            clock,
            settings.hedge_share,
            self._targets.states_slowness,
        )
        selector = TargetSelector(
            self._targets,
            self._pacer,
            self._rates,
            self._moves,
            self._load_bounds,
            self._generator,
            self._predictor,
        )
        move_controller = self._build_move_controller()
        self._control_state = control_state = ControlState(
            clock,
            self._targets,
            self._forget_target,
            compute_expiry_seconds(settings.entry_renewal_ms / _MS_PER_SECOND),
            move_controller.handle_order,
            move_controller.handle_moved_order,
        )
        backup = ConfigurationBackup(
            self._eras,
            self._build_record(CONFIGURATION_BACKUP),
            lambda: control_state.version,
            lambda value: apply_configuration_value(control_state, value),
        )
        followers = FollowerBuilder(
            settings,
            self._store,
            clock,
            self._generator,
            self._reader_role.is_held,
            self._eras,
        )
        instances_follower = followers.build_instances(
            (
                self._era_marks.apply_record,
                backup.apply_record,
                self._quarantine_keeper.apply_record,
            ),
            self._peers.apply_record,
        )
        targets_follower = followers.build_targets(control_state)
        operator_follower = followers.build_operator(
            control_state,
            backup,
            lambda outage_seconds: targets_follower.abort_waiting_read(),
            self._values,
        )
        exchange = self._build_exchange()
        exchange.find_version = lambda: control_state.version
        exchange.set_followers(
            instances_follower,
            (operator_follower, targets_follower, instances_follower),
        )
        hedging = HedgePolicy(
            settings.hedge_share,
            self._targets,
            budgets.find,
            CallCurrency(
                lambda: control_state.table,
                operator_follower.freshness,
                build_fence_times(self._revocation_seconds),
                lambda: server.draining,
                clock,
            ).is_current,
            clock,
            self._targets.states_slowness,
            self._prompt_directory.cached_prompts.is_known_holder,
        )
        server = self._build_server(
            control_state,
            operator_follower,
            selector,
            budgets,
            hedging,
            exchange,
            targets_follower.freshness,
        )
        control_state.on_caller_limits = lambda limits: apply_caller_limits(
            server, limits
        )
        return InstanceParts(
            targets=self._targets,
            ledger=self._ledger,
            budgets=budgets,
            hedging=hedging,
            load_bounds=self._load_bounds,
            control_state=control_state,
            operator_follower=operator_follower,
            targets_follower=targets_follower,
            instances_follower=instances_follower,
            share_membership=self._build_share_membership(),
            exchange=exchange,
            prober=TargetProber(self._targets, self._client, clock),
            quarantine=self._quarantine,
            quarantine_keeper=self._quarantine_keeper,
            era_marks=self._era_marks,
            configuration_backup=backup,
            move_controller=move_controller,
            duties=self._duties,
            fence=FenceMonitor(
                operator_follower.freshness, self._revocation_seconds, clock
            ),
            metrics=self._metrics,
            server_metrics=self._server_metrics,
            server=server,
            generator=self._generator,
        )

    def _forget_target(self, target_id: str) -> None:
        self._pacer.forget(target_id)
        self._rates.forget(target_id)

    def _build_record(self, spec: RecordSpec) -> OwnedRecord:
        topic = KeyedTopic(self._store, INSTANCES_TOPIC)
        return OwnedRecord(spec, topic, self._peers, self._clock)

    def _build_move_controller(self) -> VersionMoveController:
        return VersionMoveController(
            self._settings.instance,
            self._moves,
            self._targets,
            self._tallies,
            self._ledger,
            KeyedTopic(self._store, STATUS_TOPIC),
            KeyedTopic(self._store, MOVE_EVIDENCE_TOPIC),
            encode_move_status,
            ExposureLimit(self._settings.exposure_share, self._settings.exposure_slack),
            self._clock,
            self._generator,
            self._eras,
        )

    def _build_duties(self) -> DutyKeeper | None:
        return build_duties(
            self._settings,
            DutySurroundings(
                KeyedTopic(self._store, DUTIES_TOPIC),
                self._client,
                self._ledger,
                self._peers,
                self._eras,
                self._duty_sharing,
                self._metrics,
                self._clock,
                self._generator,
                ScalingSources(
                    self._targets, self._list_services, self._is_version_moving
                ),
            ),
        )

    def _list_services(self) -> Sequence[Service]:
        table = self._control_state.table if self._control_state else None
        return table.configuration.services if table else ()

    def _is_version_moving(self, service: str) -> bool:
        move = self._moves.services.get(service)
        return move is not None and move.active

    def _build_share_membership(self) -> ShareMembership:
        return ShareMembership(
            self._store,
            self._ledger,
            self._settings.instance,
            self._settings.share_partitions,
            self._clock,
            self._eras,
        )

    def _build_exchange(self) -> PeerExchange:
        return PeerExchange(
            self._settings.peer_listen,
            self._peers,
            SharedState(
                LoadGossip(self._targets),
                self._prompt_directory,
                FailureGossip(self._targets, self._generator),
                InFlightGossip(self._targets),
                QuarantineSharing(self._quarantine, self._clock),
                RateGossip(self._targets, self._clock),
                self._duty_sharing,
            ),
            KeyedTopic(self._store, INSTANCES_TOPIC),
            self._reader_role.is_held,
            self._clock,
            self._generator,
            self._eras,
            self._values,
        )

    def _build_server(
        self,
        control_state: ControlState,
        operator_follower: TopicFollower,
        selector: TargetSelector,
        budgets: ServiceBudgets,
        hedging: HedgePolicy,
        exchange: PeerExchange,
        targets_freshness: Freshness,
    ) -> GatewayServer:
        codec = PlatformCodec()
        sender = TargetSender(
            self._client,
            codec,
            self._prompt_directory,
            self._tallies,
            RouteLatencies(),
            LoadMonitor(self._load_bounds, self._metrics),
            self._predictor,
            self._clock,
            exchange.report_silent_target,
            exchange.report_sent_request,
            exchange.report_rate_change,
            self._targets,
            targets_freshness,
            self._duties.count if self._duties else lambda team: None,
        )
        forwarder = Forwarder(
            sender,
            selector,
            self._clock,
            budgets.find,
            self._metrics,
            CrashWatch(self._quarantine, self._client, self._clock),
            self._admission,
            hedging,
        )
        handler = ForwardHandler(
            forwarder,
            codec,
            self._clock,
            lambda: control_state.table,
            operator_follower.freshness,
            build_fence_times(self._revocation_seconds),
            self._generator,
            self._metrics,
            self._target_memory,
        )
        return build_caller_server(
            handler,
            self._server_metrics,
            self._memory_bytes,
            self._clock,
            self._generator,
        )
