"""Moves of a service's traffic to another version of its targets."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from carobladder.fleet.entries import RolloutOrdered
from carobladder.fleet.targets import FleetTarget

__all__ = [
    "MoveSituation",
    "MoveState",
    "MoveStep",
    "VersionMove",
    "VersionMoves",
    "decide_step",
    "decode_step",
    "encode_step",
    "plan_share",
]

# Parts of the time given for a move and the share of requests from then on, as a
# multiple of the share that a faulty version may receive in total. Until the last
# step the sum is half of that share.
_PLAN = ((0.0, 0.2), (0.15, 0.4), (0.65, 2.0))
_SWITCH_PART = 0.7
# The old targets end with the move, so their requests may finish first. A move whose
# old targets stay busy ends nevertheless in time.
_EARLIEST_END_PART = 0.78
_LATEST_END_PART = 0.9
# A step is written again after this part, so that an instance that starts meanwhile
# and drives the move knows how far it is.
_RENEWAL_PART = 0.1
# Part of the exposure that requests may use which no other version could take.
_OVERFLOW_PART = 0.8
_MAX_CREDIT = 1.0


class MoveState(StrEnum):
    """Say how a move stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class MoveStep:
    """State how far a move is, for all instances.

    ``order_id`` is the order's place in the log of orders; the same order given again
    has another one. ``share`` is the part of requests that goes to the new version.
    ``elapsed_seconds`` counts since the order was first seen.
    """

    service: str
    version: str
    order_id: int
    state: MoveState
    share: float
    elapsed_seconds: float
    reason: str = ""

    @property
    def final(self) -> bool:
        """Tell whether the move has ended."""
        return self.state is not MoveState.RUNNING


def encode_step(step: MoveStep) -> bytes:
    """Return the record of a step for other instances."""
    return msgspec.msgpack.encode(step)


def decode_step(data: bytes) -> MoveStep:
    """Return the step of a record; raises ValueError for another one."""
    try:
        return msgspec.msgpack.decode(data, type=MoveStep)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not a step of a move: {error}") from None


@dataclass(frozen=True, slots=True)
class MoveSituation:
    """Hold what the next step of a move depends on."""

    elapsed_seconds: float
    fault: str
    new_targets: int
    old_requests: int


def plan_share(part: float, exposure_share: float) -> float:
    """Return the share of requests after a part of a move's time."""
    if part >= _SWITCH_PART:
        return 1.0
    multiple = max(multiple for start, multiple in _PLAN if part >= start)
    return min(1.0, multiple * exposure_share)


def decide_step(
    order: RolloutOrdered,
    step: MoveStep | None,
    situation: MoveSituation,
    exposure_share: float,
) -> MoveStep | None:
    """Return the step to write next, or None; a move that has ended stays ended."""
    if step is not None and step.final:
        return None
    elapsed = situation.elapsed_seconds
    part = elapsed / order.duration_seconds
    planned = MoveStep(
        service=order.service,
        version=order.version,
        order_id=order.order_id,
        state=MoveState.RUNNING,
        share=plan_share(part, exposure_share),
        elapsed_seconds=elapsed,
    )
    ended = _decide_end(order, situation, part)
    if ended is not None:
        state, reason = ended
        share = 1.0 if state is MoveState.COMPLETED else 0.0
        return replace(planned, state=state, share=share, reason=reason)
    if step is None or step.share != planned.share:
        return planned
    renewal_seconds = order.duration_seconds * _RENEWAL_PART
    return planned if elapsed - step.elapsed_seconds >= renewal_seconds else None


def _decide_end(
    order: RolloutOrdered, situation: MoveSituation, part: float
) -> tuple[MoveState, str] | None:
    if order.withdrawn:
        return MoveState.TAKEN_BACK, "the order was withdrawn"
    if situation.fault:
        return MoveState.TAKEN_BACK, situation.fault
    if part >= _LATEST_END_PART and not situation.new_targets:
        return MoveState.TAKEN_BACK, "no target of the version takes requests"
    if part >= _LATEST_END_PART:
        return MoveState.COMPLETED, "its time is over and no fault was found"
    if part < _EARLIEST_END_PART or not situation.new_targets:
        return None
    if situation.old_requests:
        return None
    return MoveState.COMPLETED, "no fault was found and the old targets are idle"


@dataclass(slots=True)
class VersionMove:
    """Hold what an instance knows of one move.

    ``step_at`` is the time at which ``step`` was taken, ``seen_at`` that at which the
    order was; both are in seconds of the clock that runs on while suspended.
    """

    order: RolloutOrdered
    seen_at: float
    step: MoveStep | None = None
    step_at: float = 0.0
    fault: str = ""
    sent: int = 0
    sent_new: int = 0
    credit: float = 0.0

    @property
    def move_id(self) -> str:
        """Return the name of the move in evidence."""
        return f"{self.order.service}/{self.order.version}/{self.order.order_id}"

    @property
    def active(self) -> bool:
        """Tell whether the move has not ended."""
        return self.step is None or not self.step.final

    @property
    def share(self) -> float:
        """Return the part of requests that goes to the new version."""
        return 0.0 if self.step is None or self.fault else self.step.share

    def takes_over(self, target: FleetTarget) -> bool:
        """Tell whether a target is of the version that takes over."""
        return target.entry.version == self.order.version

    def elapsed_seconds(self, now: float) -> float:
        """Return the time since the order was first seen by any instance."""
        if self.step is None:
            return now - self.seen_at
        return self.step.elapsed_seconds + now - self.step_at


class VersionMoves:
    """Divide the requests of a service among its versions while one takes over.

    ``exposure_share`` is the part of requests that a faulty version may receive.
    """

    def __init__(self, exposure_share: float) -> None:
        self._exposure_share = exposure_share
        self._moves: dict[str, VersionMove] = {}

    @property
    def active(self) -> list[VersionMove]:
        """Return the moves that have not ended."""
        return [move for move in self._moves.values() if move.active]

    @property
    def services(self) -> Mapping[str, VersionMove]:
        """Return the newest move of each service."""
        return self._moves

    def take_order(self, order: RolloutOrdered, now: float) -> None:
        """Take an order; a withdrawn one ends its move."""
        move = self._moves.get(order.service)
        if not order.withdrawn:
            if move is None or move.order != order:
                self._moves[order.service] = VersionMove(order, now)
        elif move is not None and move.active:
            move.order = replace(move.order, withdrawn=True)

    def take_step(self, step: MoveStep, now: float) -> bool:
        """Take a step; tell whether it is news for a move that has not ended."""
        move = self._moves.get(step.service)
        if move is None or not move.active:
            return False
        if (step.version, step.order_id) != (move.order.version, move.order.order_id):
            return False
        before, move.step, move.step_at = move.step, step, now
        return before is None or (before.state, before.share) != (
            step.state,
            step.share,
        )

    def choose_version(
        self,
        service: str,
        targets: list[FleetTarget],
        registered: list[FleetTarget],
    ) -> list[FleetTarget]:
        """Return those of the usable targets that a request may go to now.

        ``registered`` are all targets of the service, also those not usable now.
        """
        move = self._moves.get(service)
        if move is None:
            return targets
        new = [t for t in targets if move.takes_over(t)]
        old = [t for t in targets if not move.takes_over(t)]
        if move.step is not None and move.step.state is MoveState.COMPLETED:
            return new or old
        if move.fault or (move.step is not None and move.step.final):
            return old
        if all(move.takes_over(t) for t in registered):
            return new
        return self._divide(move, old, new)

    def _divide(
        self, move: VersionMove, old: list[FleetTarget], new: list[FleetTarget]
    ) -> list[FleetTarget]:
        """Return the targets of one version, so that the shares are kept."""
        move.credit = min(move.credit + move.share, _MAX_CREDIT)
        wants_new = move.credit >= 1.0 or not old
        if new and wants_new and (old or self._may_overflow(move)):
            move.credit = max(0.0, move.credit - 1.0)
            return new
        return old

    def _may_overflow(self, move: VersionMove) -> bool:
        """Tell whether the new version may stand in for the others."""
        limit = max(self._exposure_share * _OVERFLOW_PART, move.share)
        return move.sent_new < limit * (move.sent + 1)

    def note_sent(self, target: FleetTarget) -> None:
        """Count a request that is sent."""
        move = self._moves.get(target.entry.service)
        if move is not None and move.active:
            move.sent += 1
            move.sent_new += move.takes_over(target)
