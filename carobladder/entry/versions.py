"""Execution of version moves that operators order through the store."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from carobladder.clock import Clock
from carobladder.eras import EraMonitor
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    NEW_ARM,
    OLD_ARM,
    AnswerTallies,
    ExposureLimit,
    InstanceEvidence,
    KeyedRecord,
    MoveObservation,
    MoveState,
    MoveStep,
    RolloutOrder,
    ShareLedger,
    TargetTable,
    TopicReader,
    TopicWriter,
    VersionComparison,
    VersionMove,
    VersionMoves,
    decide_step,
    decode_evidence,
    decode_step,
    encode_evidence,
    encode_step,
)
from carobladder.moves.evidence import EvidenceStore, sum_requests
from carobladder.telemetry import (
    MoveEvidenceLost,
    VersionFaultFound,
    VersionMoveOrdered,
    VersionMoveStepped,
    VersionStepNotWritten,
    emit,
)
from carobladder.topics import ReadPolicy, TopicFollower

__all__ = ["ReadWriteTopic", "VersionMoveController"]

# Time in which a step that a restored store has lost is written again.
_REWRITE_SECONDS = 20.0
# Instances that try to write it in each round, for a leader that has just started and
# does not know it.
_REWRITERS = 2.0
# Time in which they do so after the order was read, too, for a leader that has started
# since.
_FOREIGN_STEP_SECONDS = 3.0
# Time after which others write the end of a move that its leader leaves undecided, as
# one that knows of no order does.
_OVERDUE_SECONDS = 4.0
# Interval in which evidence is published and evaluated and steps are decided.
_ROUND_INTERVAL_SECONDS = 0.8
_READ_WAIT_SECONDS = 2.0
_BATCH_SECONDS = 0.3
_STEP_PREFIX = "step/"


class ReadWriteTopic(TopicReader, TopicWriter, Protocol):
    """Protocol of a topic that can be read and written."""


class VersionMoveController:
    """Controller of version moves on one instance.

    Each instance publishes its evidence, evaluates the evidence of all and stops
    sending to a faulty version on its own. One of them, the leader, writes the steps,
    each on the condition that it has read all earlier ones: the store refuses the steps
    of a former leader that resumes after another has taken over.
    """

    def __init__(
        self,
        instance: str,
        moves: VersionMoves,
        table: TargetTable,
        tallies: AnswerTallies,
        ledger: ShareLedger,
        status_topic: ReadWriteTopic,
        evidence_topic: ReadWriteTopic,
        encode_status: Callable[[MoveStep], tuple[str, bytes]],
        exposure: ExposureLimit,
        clock: Clock,
        generator: random.Random,
        eras: EraMonitor | None = None,
    ) -> None:
        self._eras = eras or EraMonitor()
        self._instance = instance
        self._moves = moves
        self._table = table
        self._tallies = tallies
        self._ledger = ledger
        self._status_topic = status_topic
        self._evidence_topic = evidence_topic
        self._encode_status = encode_status
        self._exposure = exposure
        self._clock = clock
        self._generator = generator
        self._book = EvidenceStore()
        self._comparisons: dict[str, VersionComparison] = {}
        self._reported: dict[str, InstanceEvidence] = {}
        self._published: InstanceEvidence | None = None
        self._ordered = asyncio.Event()
        # Services whose newest step a restored store may have lost, and until when to
        # write it.
        self._unwritten: dict[str, float] = {}
        # When the active move of a service had to end by.
        self._due_at: dict[str, float] = {}
        # Newest step read of each service, and when it was read.
        self._read_steps: dict[str, tuple[MoveStep, float]] = {}
        self._steps_follower = self._build_follower(
            "moves", status_topic, self._apply_step_record
        )
        self._eras.add_listener(self._handle_restored_store)
        self._evidence_follower = self._build_follower(
            "evidence of moves", evidence_topic, self._apply_evidence
        )

    def handle_order(self, order: RolloutOrder) -> None:
        """Handle an order of the operators or its withdrawal."""
        now = self._clock.boottime()
        self._moves.take_order(order, now)
        seconds_left = 0.0 if order.withdrawn else order.duration_seconds
        self._due_at[order.service] = now + seconds_left
        emit(
            VersionMoveOrdered(
                order.service, order.version, order.duration_seconds, order.withdrawn
            )
        )
        self._ordered.set()

    def handle_moved_order(self, order: RolloutOrder) -> None:
        """Handle a known order that a restored store has given another offset."""
        move = self._moves.services.get(order.service)
        if move is None:
            return
        id_before = move.move_id
        if not self._moves.renumber(order):
            return
        self._tallies.renumber(id_before, move.move_id)
        if id_before in self._comparisons:
            self._comparisons[move.move_id] = self._comparisons.pop(id_before)
        self._note_unwritten([order.service])
        self._apply_read_step(order.service)

    def _apply_read_step(self, service: str) -> None:
        """Apply a step that was read before the new offset of its order."""
        if service in self._read_steps:
            step, read_at = self._read_steps[service]
            elapsed_seconds = step.elapsed_seconds + self._clock.boottime() - read_at
            self._apply_step(replace(step, elapsed_seconds=elapsed_seconds))

    def _handle_restored_store(self) -> None:
        # Their orders are those of the era before.
        self._read_steps.clear()
        self._note_unwritten(self._moves.services)

    def _note_unwritten(self, services: Iterable[str]) -> None:
        """Publish the evidence again, and the newest steps of these services."""
        self._published = None
        until = self._clock.boottime() + _REWRITE_SECONDS
        for name in services:
            if self._moves.services[name].step is not None:
                self._unwritten[name] = until
        if self._unwritten:
            self._ordered.set()

    async def run(self) -> None:
        """Execute moves until cancelled; nothing is read while there is none."""
        while True:
            await self._ordered.wait()
            self._ordered.clear()
            async with asyncio.TaskGroup() as group:
                followers = [
                    group.create_task(self._steps_follower.run()),
                    group.create_task(self._evidence_follower.run()),
                ]
                while self._moves.active or self._unwritten:
                    await self._clock.sleep(_ROUND_INTERVAL_SECONDS)
                    await self._run_round()
                for follower in followers:
                    follower.cancel()
            self._forget_ended()

    def _build_follower(
        self, name: str, topic: ReadWriteTopic, on_record: Callable[[KeyedRecord], None]
    ) -> TopicFollower:
        return TopicFollower(
            name,
            topic,
            self._clock,
            ReadPolicy(_READ_WAIT_SECONDS, _BATCH_SECONDS, keeps_lost_keys=True),
            on_record,
            lambda outage_seconds: None,
            self._generator,
            eras=self._eras,
            on_moved=on_record,
        )

    async def _run_round(self) -> None:
        if self._moves.active:
            await self._publish_evidence()
        for move in self._moves.active:
            self._evaluate(move)
        now = self._clock.boottime()
        self._unwritten = {n: u for n, u in self._unwritten.items() if now < u}
        if self._ledger.is_leader:
            await self._write_next_steps()
        elif self._chooses_to_help():
            await self._write_next_steps(only_lost=True)

    def _chooses_to_help(self) -> bool:
        """Return whether to write now what the leader may not know."""
        if not self._unwritten and not any(map(self._is_overdue, self._moves.active)):
            return False
        return self._generator.random() < _REWRITERS * self._ledger.share

    async def _publish_evidence(self) -> None:
        """Publish the evidence of this instance if it has changed."""
        evidence = self._tallies.collect()
        published = self._published
        if published and (published.rows, published.old_requests) == (
            evidence.rows,
            evidence.old_requests,
        ):
            return
        try:
            await self._evidence_topic.write(self._instance, encode_evidence(evidence))
        except LogUnavailableError as error:
            emit(MoveEvidenceLost(self._instance, str(error)))
            return
        self._published = evidence
        self._merge_evidence(self._instance, evidence)

    def _apply_evidence(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            evidence = decode_evidence(record.value)
        except ValueError as error:
            emit(MoveEvidenceLost(record.key, str(error)))
            return
        self._merge_evidence(record.key, evidence)

    def _merge_evidence(self, instance: str, evidence: InstanceEvidence) -> None:
        self._book.merge(evidence.to_report(instance))
        self._reported[instance] = evidence

    def _evaluate(self, move: VersionMove) -> None:
        comparison = self._comparisons.setdefault(move.move_id, VersionComparison())
        comparison.update(self._book, move.move_id, self._clock.monotonic())
        if comparison.faulty and not move.fault:
            share = move.share
            move.fault = comparison.reason
            order = move.order
            emit(VersionFaultFound(order.service, order.version, share, move.fault))

    async def _write_next_steps(self, *, only_lost: bool = False) -> None:
        """Write the next steps of all moves unless another instance has written.

        With ``only_lost``, write only those that a restored store may have lost, and
        the ends of moves that the leader leaves undecided.
        """
        end = self._steps_follower.next_offset
        if end is None or not self._steps_follower.freshness.synced:
            return
        steps = [
            step
            for move in self._moves.services.values()
            if (step := self._choose_step(move, only_lost=only_lost))
        ]
        if not steps:
            return
        services = ", ".join(step.service for step in steps)
        try:
            written = await self._status_topic.write_at(end, self._encode_steps(steps))
        except LogUnavailableError as error:
            emit(VersionStepNotWritten(services, str(error)))
            return
        if not written:
            refusal = "the topic holds a record that this instance has not read yet"
            emit(VersionStepNotWritten(services, refusal))

    def _choose_step(self, move: VersionMove, *, only_lost: bool) -> MoveStep | None:
        """Return the next step of a move, or its newest one if it may be lost."""
        step = None
        may_decide = not only_lost or self._is_overdue(move)
        if move.active and may_decide and self._may_begin(move):
            step = self._decide_next_step(move)
        if step is None and move.step and move.order.service in self._unwritten:
            elapsed_seconds = move.elapsed_seconds(self._clock.boottime())
            return replace(move.step, elapsed_seconds=elapsed_seconds)
        return step

    def _is_overdue(self, move: VersionMove) -> bool:
        """Return whether a move should have ended some time ago."""
        due_at = self._due_at.get(move.order.service, math.inf)
        return self._clock.boottime() - due_at >= _OVERDUE_SECONDS

    def _may_begin(self, move: VersionMove) -> bool:
        """Return whether the first step of a move may be written.

        A new leader may not know the steps that a restored store has lost, which others
        write again meanwhile. They can do so once the order has been written again.
        """
        if move.step is not None:
            return True
        now = self._clock.boottime()
        led_before = self._ledger.is_leader_settled(move.seen_at)
        is_known = led_before or now - move.seen_at >= _FOREIGN_STEP_SECONDS
        return is_known and self._ledger.is_leader_settled(now)

    def _decide_next_step(self, move: VersionMove) -> MoveStep | None:
        situation = MoveObservation(
            elapsed_seconds=move.elapsed_seconds(self._clock.boottime()),
            fault=move.fault,
            new_targets=self._count_new_targets(move),
            old_requests=self._count_old_requests(move),
            old_answers=sum_requests(self._book, move.move_id, OLD_ARM),
            new_answers=sum_requests(self._book, move.move_id, NEW_ARM),
        )
        return decide_step(move.order, move.step, situation, self._exposure)

    def _encode_steps(self, steps: Iterable[MoveStep]) -> list[tuple[str, bytes]]:
        """Return two records for each step, one for instances and one for operators."""
        records = []
        for step in steps:
            records.append((_STEP_PREFIX + step.service, encode_step(step)))
            records.append(self._encode_status(step))
        return records

    def _count_new_targets(self, move: VersionMove) -> int:
        targets = self._table.list_open(move.order.service)
        return sum(move.is_new_version(target) for target in targets)

    def _count_old_requests(self, move: VersionMove) -> int:
        reports = self._reported.values()
        return sum(report.old_requests.get(move.move_id, 0) for report in reports)

    def _apply_step_record(self, record: KeyedRecord) -> None:
        if record.value is None or not record.key.startswith(_STEP_PREFIX):
            return
        try:
            step = decode_step(record.value)
        except ValueError as error:
            emit(VersionStepNotWritten(record.key, f"unreadable step: {error}"))
            return
        self._read_steps[step.service] = step, self._clock.boottime()
        self._apply_step(step)

    def _apply_step(self, step: MoveStep) -> None:
        service_state = self._moves.services.get(step.service)
        before = service_state.step if service_state else None
        if before is not None and _is_same_progress(step, before):
            self._unwritten.pop(step.service, None)
        if not self._moves.apply_step(step, self._clock.boottime()):
            return
        emit(
            VersionMoveStepped(
                service=step.service,
                version=step.version,
                state=step.state,
                state_before=before.state if before else MoveState.RUNNING,
                share=step.share,
                share_before=before.share if before else None,
                elapsed_seconds=round(step.elapsed_seconds, 2),
                why=step.reason,
            )
        )

    def _forget_ended(self) -> None:
        active = {move.move_id for move in self._moves.active}
        for move_id in [key for key in self._comparisons if key not in active]:
            del self._comparisons[move_id]
            self._book.forget_move(move_id)


def _is_same_progress(step: MoveStep, other: MoveStep) -> bool:
    """Return whether two steps tell the same of a move, but for their times."""
    return replace(step, elapsed_seconds=other.elapsed_seconds) == other
