"""Carrying out of version moves that operators order through the store."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from carobladder.clock import Clock
from carobladder.entry.followers import ReadingPace, TopicFollower
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    AnswerTallies,
    InstanceEvidence,
    KeyedRecord,
    MoveSituation,
    MoveState,
    MoveStep,
    RolloutOrdered,
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
from carobladder.moves.evidence import EvidenceStore
from carobladder.telemetry import (
    MoveEvidenceLost,
    VersionFaultFound,
    VersionMoveOrdered,
    VersionMoveStepped,
    VersionStepNotWritten,
    emit,
)

__all__ = ["KeyedStore", "VersionMover"]

# Evidence is told and judged, and steps are decided, once in this time.
_ROUND_SECONDS = 0.8
_STEP_WAIT_SECONDS = 2.0
_COLLECT_SECONDS = 0.3
_STEP_PREFIX = "step/"


class KeyedStore(TopicReader, TopicWriter, Protocol):
    """Read and write one topic."""


class VersionMover:
    """Tell what this instance sees of a new version, and take or decide the steps.

    All instances judge the merged evidence and stop sending to a faulty version by
    themselves. One writes the steps, on the condition that it has seen all steps
    before; one that wakes up after another has gone on is refused by the store.
    """

    def __init__(
        self,
        instance: str,
        moves: VersionMoves,
        table: TargetTable,
        tallies: AnswerTallies,
        ledger: ShareLedger,
        status_topic: KeyedStore,
        evidence_topic: KeyedStore,
        describe_status: Callable[[MoveStep], tuple[str, bytes]],
        exposure_share: float,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._instance = instance
        self._moves = moves
        self._table = table
        self._tallies = tallies
        self._ledger = ledger
        self._status_topic = status_topic
        self._evidence_topic = evidence_topic
        self._describe_status = describe_status
        self._exposure_share = exposure_share
        self._clock = clock
        self._generator = generator
        self._book = EvidenceStore()
        self._comparisons: dict[str, VersionComparison] = {}
        self._reported: dict[str, InstanceEvidence] = {}
        self._told: InstanceEvidence | None = None
        self._ordered = asyncio.Event()
        self._steps = self._follow("moves", status_topic, self._take_step_record)
        self._evidence = self._follow(
            "evidence of moves", evidence_topic, self._take_evidence
        )

    def take_order(self, order: RolloutOrdered) -> None:
        """Take an order of the operators or its withdrawal."""
        self._moves.take_order(order, self._clock.boottime())
        emit(
            VersionMoveOrdered(
                order.service, order.version, order.duration_seconds, order.withdrawn
            )
        )
        self._ordered.set()

    async def run(self) -> None:
        """Carry out moves until cancelled; without one nothing is read."""
        while True:
            await self._ordered.wait()
            self._ordered.clear()
            async with asyncio.TaskGroup() as group:
                followers = [
                    group.create_task(self._steps.run()),
                    group.create_task(self._evidence.run()),
                ]
                while self._moves.active:
                    await self._clock.sleep(_ROUND_SECONDS)
                    await self._work()
                for follower in followers:
                    follower.cancel()
            self._forget_ended()

    def _follow(
        self, name: str, topic: KeyedStore, take: Callable[[KeyedRecord], None]
    ) -> TopicFollower:
        return TopicFollower(
            name,
            topic,
            self._clock,
            ReadingPace(_STEP_WAIT_SECONDS, _COLLECT_SECONDS),
            take,
            lambda away_seconds: None,
            self._generator,
        )

    async def _work(self) -> None:
        await self._tell()
        for move in self._moves.active:
            self._judge(move)
        if self._ledger.leads:
            await self._drive()

    async def _tell(self) -> None:
        """Write what was counted here since the last time."""
        evidence = self._tallies.collect()
        told = self._told
        if told and (told.rows, told.old_requests) == (
            evidence.rows,
            evidence.old_requests,
        ):
            return
        try:
            await self._evidence_topic.write(self._instance, encode_evidence(evidence))
        except LogUnavailableError as error:
            emit(MoveEvidenceLost(self._instance, str(error)))
            return
        self._told = evidence
        self._merge(self._instance, evidence)

    def _take_evidence(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            evidence = decode_evidence(record.value)
        except ValueError as error:
            emit(MoveEvidenceLost(record.key, str(error)))
            return
        self._merge(record.key, evidence)

    def _merge(self, instance: str, evidence: InstanceEvidence) -> None:
        self._book.merge(evidence.to_report(instance))
        self._reported[instance] = evidence

    def _judge(self, move: VersionMove) -> None:
        comparison = self._comparisons.setdefault(move.move_id, VersionComparison())
        comparison.update(self._book, move.move_id, self._clock.monotonic())
        if comparison.faulty and not move.fault:
            share = move.share
            move.fault = comparison.reason
            order = move.order
            emit(VersionFaultFound(order.service, order.version, share, move.fault))

    async def _drive(self) -> None:
        """Write the next steps of all moves, unless another instance went on."""
        end = self._steps.next_offset
        if end is None or not self._steps.freshness.proved:
            return
        steps = [step for move in self._moves.active if (step := self._decide(move))]
        if not steps:
            return
        services = ", ".join(step.service for step in steps)
        try:
            written = await self._status_topic.write_at(end, self._describe(steps))
        except LogUnavailableError as error:
            emit(VersionStepNotWritten(services, str(error)))
            return
        if not written:
            why = "the topic holds a record that is not known here yet"
            emit(VersionStepNotWritten(services, why))

    def _decide(self, move: VersionMove) -> MoveStep | None:
        situation = MoveSituation(
            elapsed_seconds=move.elapsed_seconds(self._clock.boottime()),
            fault=move.fault,
            new_targets=self._count_new_targets(move),
            old_requests=self._count_old_requests(move),
        )
        return decide_step(move.order, move.step, situation, self._exposure_share)

    def _describe(self, steps: Iterable[MoveStep]) -> list[tuple[str, bytes]]:
        """Return the records of steps: for instances and for operators."""
        records = []
        for step in steps:
            records.append((_STEP_PREFIX + step.service, encode_step(step)))
            records.append(self._describe_status(step))
        return records

    def _count_new_targets(self, move: VersionMove) -> int:
        targets = self._table.list_open(move.order.service)
        return sum(move.takes_over(target) for target in targets)

    def _count_old_requests(self, move: VersionMove) -> int:
        reports = self._reported.values()
        return sum(report.old_requests.get(move.move_id, 0) for report in reports)

    def _take_step_record(self, record: KeyedRecord) -> None:
        if record.value is None or not record.key.startswith(_STEP_PREFIX):
            return
        try:
            step = decode_step(record.value)
        except ValueError as error:
            emit(VersionStepNotWritten(record.key, f"unreadable step: {error}"))
            return
        self._take_step(step)

    def _take_step(self, step: MoveStep) -> None:
        known = self._moves.services.get(step.service)
        before = known.step if known else None
        if not self._moves.take_step(step, self._clock.boottime()):
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
