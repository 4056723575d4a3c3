"""Repeat the decisions of a trace with the code of the package."""

from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from functools import singledispatchmethod
from typing import Any

from carobladder.bookings import ClaimLedger
from carobladder.bookings.claims import decode_record
from carobladder.clock import VirtualClock
from carobladder.gateway.ports import ChatRequest, ChatTurn, Team
from carobladder.instance.placement import FleetPlacement
from carobladder.limits.admission import Demand
from carobladder.limits.allowances import SlotPermit
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.membership.views import ListedInstance
from carobladder.peers import Coordinator, Timing
from carobladder.peers.coordination import Outgoing
from carobladder.peers.messages import Allowances, decode_message
from carobladder.placement.policy import PlacementPolicy
from carobladder.placement.tokens import TokenSigner
from carobladder.replay import events
from carobladder.targets import CLASS_WEIGHT, RequestClass, TargetState

__all__ = ["Summary", "TracePlayer", "list_grants"]

# The mean that owners know adds up reports of two heartbeats, and their answer
# reaches the holder within one more; the peaks of this time bound that mean.
_STALE_HEARTBEATS = 4.0
_HEAVIEST = max(CLASS_WEIGHT.values())


@dataclass(slots=True)
class Summary:
    """Count what the replay showed."""

    requests: int = 0
    refused: int = 0
    with_token: int = 0
    reused: int = 0
    worst_excess: float = 0.0
    sends: Counter[tuple[str, str]] = field(default_factory=Counter)

    @property
    def reuse(self) -> float:
        """Return the share of requests served where their token says."""
        return self.reused / self.with_token if self.with_token else 1.0

    @property
    def doubled_bookings(self) -> int:
        """Return the number of keys under which more than one call was sent."""
        return sum(1 for count in self.sends.values() if count > 1)


@dataclass(slots=True)
class _Player:
    """Hold the decision code of one instance."""

    coordinator: Coordinator
    placement: FleetPlacement
    signer: TokenSigner
    clock: VirtualClock
    ledger: ClaimLedger = field(default_factory=ClaimLedger)
    demands: dict[str, tuple[int, int]] = field(default_factory=dict)
    permits: dict[int, SlotPermit] = field(default_factory=dict)
    token_targets: dict[int, str] = field(default_factory=dict)

    def describe_demand(self, target_id: str) -> Demand:
        """Return the demand that the trace states for the present call."""
        return Demand(*self.demands.get(target_id, (0, 1)))


class TracePlayer:
    """Feed events to the decision code and return what it decides."""

    def __init__(self) -> None:
        self.summary = Summary()
        self._players: dict[str, _Player] = {}
        self._loads: Counter[str] = Counter()
        self._pools: dict[str, tuple[str, bool]] = {}
        self._history: deque[tuple[float, dict[str, int]]] = deque()
        self._stale_seconds = 1.0
        self._multiple = 1.25

    @singledispatchmethod
    def play(self, event: Any) -> Any:
        """Return the decision of an event, or None if it decides nothing."""
        raise TypeError(f"unhandled event {type(event).__name__}")

    @play.register
    def _(self, event: events.Start) -> Any:
        timing = Timing(**event.timing)
        self._stale_seconds = _STALE_HEARTBEATS * timing.heartbeat_seconds
        self._multiple = timing.load_multiple
        clock = VirtualClock()
        signer = TokenSigner(event.token_secret.encode())
        player = _Player(
            Coordinator(event.instance, event.incarnation, timing, event.at),
            FleetPlacement(PlacementPolicy(), signer, clock),
            signer,
            clock,
        )
        player.coordinator.demand = player.describe_demand
        self._players[event.instance] = player

    @play.register
    def _(self, event: events.Targets) -> Any:
        declared = [
            TargetDeclaration(TargetState(**state), cold_slots, balanced)
            for state, cold_slots, balanced in event.declared
        ]
        for item in declared:
            state = item.state
            counted = item.balanced and not state.leaving
            self._pools[state.target_id] = (state.model + state.version, counted)
        self._find(event).coordinator.set_targets(declared)

    @play.register
    def _(self, event: events.Listed) -> Any:
        listed = [ListedInstance(**item) for item in event.instances]
        self._find(event).coordinator.apply_list(listed, event.at)

    @play.register
    def _(self, event: events.ConfigRead) -> Any:
        self._find(event).coordinator.note_config(event.offset, event.at)

    @play.register
    def _(self, event: events.Probe) -> Any:
        report = None if event.report is None else TargetLoadReport(**event.report)
        self._find(event).coordinator.note_probe(event.target, report, event.at)

    @play.register
    def _(self, event: events.Message) -> Any:
        player = self._find(event)
        player.demands = event.demands
        message = decode_message(event.frame)
        return list_grants(player.coordinator.receive(message, event.at))

    @play.register
    def _(self, event: events.Tick) -> Any:
        player = self._find(event)
        player.demands = event.demands
        player.coordinator.tick(event.at)

    @play.register
    def _(self, event: events.Ask) -> Any:
        self._find(event).coordinator.ask(event.targets, event.at)

    @play.register
    def _(self, event: events.Look) -> Any:
        owned = self._find(event).coordinator.list_owned(event.at)
        return sorted(item.state.target_id for item in owned)

    @play.register
    def _(self, event: events.Boot) -> Any:
        self._find(event).coordinator.book.note_boot(event.target, event.boot_id)

    @play.register
    def _(self, event: events.Request) -> Any:
        player = self._find(event)
        wall = datetime.fromtimestamp(event.wall, UTC)
        _set_wall(player.clock, wall)
        chat = ChatRequest(
            team=Team(event.team),
            model=event.model,
            request_class=RequestClass(event.request_class),
            turns=tuple(ChatTurn(role, text) for role, text in event.turns),
            chat_id=event.chat_id,
            chat_token=event.token,
        )
        targets = [
            TargetState(
                name, event.model, version, "", "", boot, ready=ready, leaving=leaving
            )
            for name, version, boot, ready, leaving in event.targets
        ]
        self.summary.requests += 1
        self._note_token(player, event, wall, targets)
        return player.placement.rank(chat, targets, event.shares).ranked

    def _note_token(
        self,
        player: _Player,
        event: events.Request,
        wall: datetime,
        targets: list[TargetState],
    ) -> None:
        verified = player.signer.verify(event.token, event.team, event.model, wall)
        token = verified.value_or(None) if event.token else None
        for target in targets:
            usable = target.ready and not target.leaving
            if token is not None and usable and target.boot_id == token.boot_id:
                player.token_targets[event.number] = target.target_id

    @play.register
    def _(self, event: events.Acquire) -> Any:
        player = self._find(event)
        book = player.coordinator.book
        permit = book.try_acquire(event.target, event.weight, event.at)
        if permit is None:
            return False
        player.permits[event.permit] = permit
        self._loads[event.target] += event.weight
        self._note_load(event.at, event.target)
        return True

    @play.register
    def _(self, event: events.Check) -> Any:
        player = self._find(event)
        permit = player.permits.get(event.permit)
        if permit is None:
            return False
        return player.coordinator.book.is_valid(permit, event.at)

    @play.register
    def _(self, event: events.Release) -> Any:
        player = self._find(event)
        permit = player.permits.pop(event.permit, None)
        if permit is None or permit.released:
            return
        player.coordinator.book.release(
            permit, failed=event.failed, first_byte_seconds=event.first_byte_seconds
        )
        self._loads[permit.target_id] -= permit.weight
        self._keep_loads(event.at)

    @play.register
    def _(self, event: events.Served) -> Any:
        player = self._find(event)
        if not event.permit:
            self.summary.refused += 1
            return "refused"
        permit = player.permits.get(event.permit)
        target = "" if permit is None else permit.target_id
        wanted = player.token_targets.pop(event.number, "")
        if wanted:
            self.summary.with_token += 1
            self.summary.reused += wanted == target
        return target

    @play.register
    def _(self, event: events.ClaimRecordRead) -> Any:
        self._find(event).ledger.apply(event.offset, decode_record(event.data))

    @play.register
    def _(self, event: events.Claimed) -> Any:
        entry = self._find(event).ledger.find(event.team, event.key)
        if entry is None or entry.holder.claim_id != event.claim_id:
            return "follow"
        self.summary.sends[event.team, event.key] += 1
        return "send"

    def _find(self, event: Any) -> _Player:
        player = self._players.get(event.instance)
        if player is None:
            raise events.TraceError(f"instance {event.instance} has no start event")
        return player

    def _keep_loads(self, now: float) -> None:
        self._history.append((now, dict(self._loads)))
        while self._history[0][0] < now - self._stale_seconds:
            self._history.popleft()

    def _note_load(self, now: float, target_id: str) -> None:
        """Compare the load of a target with the mean of its pool."""
        self._keep_loads(now)
        pool, balanced = self._pools.get(target_id, ("", False))
        if not balanced:
            return
        others = [name for name, kept in self._pools.items() if kept == (pool, True)]
        peaks = [
            max(loads.get(name, 0) for _, loads in self._history) for name in others
        ]
        cap = max(self._multiple * sum(peaks) / len(peaks), float(_HEAVIEST))
        excess = self._loads[target_id] - cap - _HEAVIEST
        self.summary.worst_excess = max(self.summary.worst_excess, excess)


def list_grants(outgoing: list[Outgoing]) -> dict[str, int] | None:
    """Return the slots that answers to a holder grant, by target."""
    for item in outgoing:
        if isinstance(item.message, Allowances):
            return {entry.target_id: entry.slots for entry in item.message.items}
    return None


def _set_wall(clock: VirtualClock, wall: datetime) -> None:
    """Move the clock to the wall time; traces of one instance go forward."""
    ahead = wall - clock.now()
    if ahead > timedelta(0):
        clock.advance(ahead.total_seconds())
