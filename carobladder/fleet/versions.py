"""Gradual moves of a service's traffic to another version of its targets."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from carobladder.decoding import DECODE_ERRORS
from carobladder.fleet.entries import RolloutOrder
from carobladder.fleet.targets import FleetTarget

__all__ = [
    "ExposureLimit",
    "MoveObservation",
    "MoveState",
    "MoveStep",
    "VersionMove",
    "VersionMoves",
    "decide_step",
    "decode_step",
    "encode_step",
    "plan_share",
]

# Fractions of a move's duration, each with the share of requests from then on, as a
# multiple of the allowed exposure: the share that a faulty version may receive in
# total. Before the switch the total is half of the allowed exposure.
_SHARE_PLAN = ((0.0, 0.4), (0.15, 0.6), (0.65, 2.0))
_SWITCH_FRACTION = 0.7
# With little traffic the allowed exposure is mostly its slack. The shares then grow by
# up to this factor, in steps, so that enough answers are known before the switch.
_MAX_SLACK_FACTOR = 2.0
_SLACK_FACTOR_STEP = 0.5
_MIN_COUNTED_ANSWERS = 20
# Estimates of the traffic vary. A share between these multiples of the current one does
# not replace it; those of the plan differ by more.
_SIMILAR_SHARE_RATIOS = (0.55, 1.45)
# Answers of the new version that must be known before the switch: this number, or this
# fraction of all answers of the service if that is less.
_MIN_NEW_ANSWERS = 12
_MIN_NEW_ANSWER_FRACTION = 0.02
# The old targets stop when the move ends. From the earliest end on, the move waits for
# their requests to finish, but not beyond the latest end.
_EARLIEST_END_FRACTION = 0.78
_LATEST_END_FRACTION = 0.9
# A step is written again after this fraction of the move's duration, so that a newly
# started instance that becomes the leader knows the progress of the move.
_RENEWAL_FRACTION = 0.1
# Fraction of the allowed exposure available to requests that no old target can take.
_OVERFLOW_FRACTION = 0.8
_MAX_CREDIT = 1.0


class MoveState(StrEnum):
    """State of a version move."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class MoveStep:
    """Progress record of a move, published to all instances.

    ``order_id`` is the offset of the order in the order log, so that a repeated order
    has a different id. ``share`` is the fraction of requests for the new version.
    ``elapsed_seconds`` is the time since an instance first saw the order.
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
        """Return whether the move has ended."""
        return self.state is not MoveState.RUNNING


def encode_step(step: MoveStep) -> bytes:
    """Return the stored form of a step."""
    return msgspec.msgpack.encode(step)


def decode_step(data: bytes) -> MoveStep:
    """Return the step of a record; raises ValueError if it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=MoveStep)
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed step of a move: {error}") from None


@dataclass(frozen=True, slots=True)
class MoveObservation:
    """Observed state of a move, from which the next step is decided.

    ``old_answers`` and ``new_answers`` are the numbers of known answers by version.
    """

    elapsed_seconds: float
    fault: str
    new_targets: int
    old_requests: int
    old_answers: int
    new_answers: int

    @property
    def verified(self) -> bool:
        """Whether enough answers of the new version are known to switch to it."""
        answers = self.old_answers + self.new_answers
        needed = min(_MIN_NEW_ANSWERS, answers * _MIN_NEW_ANSWER_FRACTION)
        return self.new_answers >= needed


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Number of requests that a faulty version may receive in total.

    This is the fraction ``share`` of the requests of its service, plus ``slack``.
    """

    share: float
    slack: float

    def estimate_share(self, answers: int, progress: float) -> float:
        """Return the limit as a fraction of the requests of the whole move.

        ``answers`` are known after the fraction ``progress`` of the move's duration.
        """
        if answers < _MIN_COUNTED_ANSWERS:
            return self.share
        slack_share = self.slack * min(1.0, progress) / answers
        factor = min(_MAX_SLACK_FACTOR, 1.0 + slack_share / self.share)
        steps = (factor - 1.0) // _SLACK_FACTOR_STEP
        return self.share * (1.0 + steps * _SLACK_FACTOR_STEP)


def plan_share(progress: float, exposure_share: float) -> float:
    """Return the share of requests after a fraction of a move's duration."""
    if progress >= _SWITCH_FRACTION:
        return 1.0
    multiple = max(multiple for start, multiple in _SHARE_PLAN if progress >= start)
    return min(1.0, multiple * exposure_share)


def decide_step(
    order: RolloutOrder,
    step: MoveStep | None,
    observation: MoveObservation,
    exposure: ExposureLimit,
) -> MoveStep | None:
    """Return the step to write next, or None if there is none or the move has ended."""
    if step is not None and step.final:
        return None
    elapsed = observation.elapsed_seconds
    progress = elapsed / order.duration_seconds
    planned = MoveStep(
        service=order.service,
        version=order.version,
        order_id=order.order_id,
        state=MoveState.RUNNING,
        share=_choose_share(observation, progress, exposure),
        elapsed_seconds=elapsed,
    )
    ended = _decide_end(order, observation, progress)
    if ended is not None:
        state, reason = ended
        share = 1.0 if state is MoveState.COMPLETED else 0.0
        return replace(planned, state=state, share=share, reason=reason)
    if step is None or not _is_similar(planned.share, step.share):
        return planned
    planned = replace(planned, share=step.share)
    renewal_seconds = order.duration_seconds * _RENEWAL_FRACTION
    return planned if elapsed - step.elapsed_seconds >= renewal_seconds else None


def _is_similar(share: float, current: float) -> bool:
    """Return whether a share is too close to the current one to be worth a step."""
    if share == current or share >= 1.0 or current <= 0.0:
        return share == current
    low, high = _SIMILAR_SHARE_RATIOS
    return low < share / current < high


def _choose_share(
    observation: MoveObservation, progress: float, exposure: ExposureLimit
) -> float:
    answers = observation.old_answers + observation.new_answers
    if not observation.verified:
        progress = min(progress, _SHARE_PLAN[-1][0])
    return plan_share(progress, exposure.estimate_share(answers, progress))


def _decide_end(
    order: RolloutOrder, observation: MoveObservation, progress: float
) -> tuple[MoveState, str] | None:
    if order.withdrawn:
        return MoveState.ROLLED_BACK, "the order was withdrawn"
    if observation.fault:
        return MoveState.ROLLED_BACK, observation.fault
    if progress >= _LATEST_END_FRACTION and not observation.new_targets:
        return MoveState.ROLLED_BACK, "no target of the version takes requests"
    if progress >= _LATEST_END_FRACTION and not observation.verified:
        return MoveState.ROLLED_BACK, "too few answers of the version are known"
    if progress >= _LATEST_END_FRACTION:
        return MoveState.COMPLETED, "its time is over and no fault was found"
    if progress < _EARLIEST_END_FRACTION or not observation.new_targets:
        return None
    if not observation.verified:
        return None
    if observation.old_requests:
        return None
    return MoveState.COMPLETED, "no fault was found and the old targets are idle"


@dataclass(slots=True)
class VersionMove:
    """An instance's view of one move.

    ``step_at`` and ``seen_at`` are the times at which the step and the order arrived,
    in seconds of a clock that also counts while the machine is suspended. ``sent`` and
    ``sent_new`` count all requests and those to the new version.
    """

    order: RolloutOrder
    seen_at: float
    step: MoveStep | None = None
    step_at: float = 0.0
    fault: str = ""
    sent: int = 0
    sent_new: int = 0
    credit: float = 0.0

    @property
    def move_id(self) -> str:
        """Return the identifier of the move in evidence reports."""
        return f"{self.order.service}/{self.order.version}/{self.order.order_id}"

    @property
    def active(self) -> bool:
        """Return whether the move has not ended."""
        return self.step is None or not self.step.final

    @property
    def share(self) -> float:
        """Return the fraction of requests for the new version."""
        return 0.0 if self.step is None or self.fault else self.step.share

    def is_new_version(self, target: FleetTarget) -> bool:
        """Return whether a target runs the version that the move introduces."""
        return target.entry.version == self.order.version

    def elapsed_seconds(self, now: float) -> float:
        """Return the time since the order was first seen by any instance."""
        if self.step is None:
            return now - self.seen_at
        return self.step.elapsed_seconds + now - self.step_at


class VersionMoves:
    """Traffic split of each service between its versions during a move.

    ``exposure_share`` is the fraction of requests that a faulty version may receive.
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

    def take_order(self, order: RolloutOrder, now: float) -> None:
        """Start the move of an order; a withdrawn order ends its active move."""
        move = self._moves.get(order.service)
        if not order.withdrawn:
            if move is None or move.order != order:
                self._moves[order.service] = VersionMove(order, now)
        elif move is not None and move.active:
            move.order = replace(move.order, withdrawn=True)

    def renumber(self, order: RolloutOrder) -> bool:
        """Give the move of an order its new id; return whether the id has changed.

        A restored store gives a known order another offset.
        """
        move = self._moves.get(order.service)
        if move is None or order == move.order:
            return False
        if replace(order, order_id=move.order.order_id) != move.order:
            return False
        move.order = order
        if move.step is not None:
            move.step = replace(move.step, order_id=order.order_id)
        return True

    def apply_step(self, step: MoveStep, now: float) -> bool:
        """Apply a step; return whether it changed the state or share of a move."""
        move = self._moves.get(step.service)
        if move is None or not move.active:
            return False
        if (step.version, step.order_id) != (move.order.version, move.order.order_id):
            return False
        previous, move.step, move.step_at = move.step, step, now
        return previous is None or (previous.state, previous.share) != (
            step.state,
            step.share,
        )

    def filter_in_use(
        self,
        service: str,
        targets: list[FleetTarget],
        registered: list[FleetTarget],
    ) -> list[FleetTarget]:
        """Return those of the usable targets whose version gets any requests now.

        ``registered`` are all targets of the service, including unusable ones.
        """
        move = self._moves.get(service)
        if move is None:
            return targets
        new = [t for t in targets if move.is_new_version(t)]
        old = [t for t in targets if not move.is_new_version(t)]
        if move.step is not None and move.step.state is MoveState.COMPLETED:
            return new or old
        if move.fault or (move.step is not None and move.step.final):
            return old
        if all(move.is_new_version(t) for t in registered):
            return new
        return new if new and move.share >= 1.0 else targets

    def filter_by_version(
        self,
        service: str,
        targets: list[FleetTarget],
        registered: list[FleetTarget],
    ) -> list[FleetTarget]:
        """Return those of the usable targets whose version the next request goes to.

        Counts the request towards the shares of the versions.
        """
        in_use = self.filter_in_use(service, targets, registered)
        move = self._moves.get(service)
        if move is None or not move.active or move.fault:
            return in_use
        if all(move.is_new_version(t) for t in registered):
            return in_use
        new = [t for t in in_use if move.is_new_version(t)]
        old = [t for t in in_use if not move.is_new_version(t)]
        return self._split_traffic(move, old, new)

    def filter_possible(
        self,
        service: str,
        targets: list[FleetTarget],
        registered: list[FleetTarget],
    ) -> list[FleetTarget]:
        """Return those of the usable targets that a request may go to; counts nothing.

        The new version may take a request in place of the old one within its share.
        """
        in_use = self.filter_in_use(service, targets, registered)
        move = self._moves.get(service)
        if move is None or not move.active or move.fault:
            return in_use
        if all(move.is_new_version(t) for t in registered):
            return in_use
        old = [t for t in in_use if not move.is_new_version(t)]
        return old or (in_use if self._may_overflow(move) else [])

    def _split_traffic(
        self, move: VersionMove, old: list[FleetTarget], new: list[FleetTarget]
    ) -> list[FleetTarget]:
        """Return the targets of the version whose turn it is by the shares."""
        move.credit = min(move.credit + move.share, _MAX_CREDIT)
        is_new_due = move.credit >= 1.0 or not old
        if new and is_new_due and (old or self._may_overflow(move)):
            move.credit = max(0.0, move.credit - 1.0)
            return new
        return old

    def _may_overflow(self, move: VersionMove) -> bool:
        """Return whether the new version may take requests in place of the old ones."""
        limit = max(self._exposure_share * _OVERFLOW_FRACTION, move.share)
        return move.sent_new < limit * (move.sent + 1)

    def note_sent(self, target: FleetTarget) -> None:
        """Count a request that is sent to a target."""
        move = self._moves.get(target.entry.service)
        if move is not None and move.active:
            move.sent += 1
            move.sent_new += move.is_new_version(target)
