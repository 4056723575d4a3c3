"""Race of the first send of a call and its copy."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from carobladder.clients.connection import DeadlineExtender
from carobladder.clock import Clock
from carobladder.exceptions import TargetError
from carobladder.forwarding.attempts import OpenCall
from carobladder.forwarding.copies import CopyStarter
from carobladder.forwarding.hedging import LASTING_REASONS, WithholdReason
from carobladder.forwarding.preload import load_beginning
from carobladder.forwarding.sends import ForwardedCall
from carobladder.forwarding.tracking import TrackedSend
from carobladder.telemetry import CopyEnded, CopySent, ForwardMetrics, emit

__all__ = ["NOT_RUN_STATUSES", "RacedSession", "SendRace"]

# Statuses that imply that the request was not run. Unless the target also states this
# in its own header, the request may have run, and the caller of a request that may run
# only once must not receive them.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Interval in which a send looks whether it is the only one left.
_POLL_SECONDS = 0.1
# Time after which a withheld copy is considered again, as a fraction of the delay.
_RECHECK_FRACTION = 0.25
# Iterations of the event loop in which an answer that has come in time is read.
_READ_ITERATIONS = 4


class RacedSession(Protocol):
    """What a race needs of the session of its call."""

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline of the call, in seconds."""

    async def run_send(
        self, send: TrackedSend, extend_deadline: DeadlineExtender
    ) -> OpenCall:
        """Send the call and return the response once its headers have arrived."""

    def extend_wait(self, resumable: bool) -> float:
        """Return the seconds to go on waiting for the current send, or 0."""

    def drop_send(self, send: TrackedSend, result: OpenCall | TargetError) -> None:
        """Record a send that failed or was refused while another one is under way."""

    def follow(self, send: TrackedSend) -> None:
        """Make this send the current one."""


@dataclass(slots=True, eq=False)
class _Racer:
    """One of the sends, and the task that reads the beginning of its answer."""

    send: TrackedSend
    task: "asyncio.Task[OpenCall]" = field(init=False)

    def is_usable(self) -> bool:
        """Return whether the task has ended with an answer for the caller."""
        if self.task.cancelled() or self.task.exception() is not None:
            return False
        return _is_usable(self.task.result())

    def end(self) -> None:
        """Cancel the send and close what it has opened."""
        self.task.add_done_callback(self._release)
        self.task.cancel()

    def _release(self, task: "asyncio.Task[OpenCall]") -> None:
        if task.cancelled() or task.exception() is not None:
            return
        _close(task.result(), self.send)


class SendRace:
    """Race of one call, from the begin of its first send to a usable answer.

    The race has one racer until the call is late, and one again once a racer has
    failed. A call has a usable answer when it is complete, a stream when its first
    event has come.
    """

    def __init__(
        self,
        call: ForwardedCall,
        session: RacedSession,
        copies: CopyStarter,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._call = call
        self._session = session
        self._copies = copies
        self._policy = copies.policy
        self._metrics = metrics
        self._clock = clock
        self._racers: list[_Racer] = []
        self._copy: TrackedSend | None = None
        self._copy_failed = False

    async def run(self, first: TrackedSend) -> OpenCall:
        """Return the answer of the current send of the session, the winner.

        Raises TargetError if no answer arrives; it is that of the current send.
        """
        winner = None
        try:
            self._start(first)
            await self._copy_if_late(first)
            winner = await self._find_winner()
        finally:
            self._end_others(winner)
            self._report_copy(winner)
        self._session.follow(winner.send)
        opened = winner.task.result()
        if opened.begun_at:
            seconds = opened.begun_at - first.sent_at
            self._policy.note_first_byte(self._call, seconds)
        return opened

    def _start(self, send: TrackedSend) -> None:
        racer = _Racer(send)
        racer.task = asyncio.create_task(self._run(racer))
        self._racers.append(racer)

    async def _run(self, racer: _Racer) -> OpenCall:
        """Return the answer of one send once it is usable, or a refusal."""
        send = racer.send

        def extend_deadline() -> float:
            # The other send is the attempt that this one would be left for.
            if len(self._racers) > 1:
                return min(_POLL_SECONDS, self._session.remaining_seconds)
            return self._session.extend_wait(True)

        opened = await self._session.run_send(send, extend_deadline)
        if not _is_usable(opened):
            return opened
        send.opened = opened
        await self._load(send, opened, extend_deadline)
        return opened

    async def _load(
        self, send: TrackedSend, opened: OpenCall, extend: Callable[[], float]
    ) -> None:
        try:
            await load_beginning(
                self._call, opened, self._session.remaining_seconds, extend
            )
        except TargetError:
            if opened.begun_at:
                opened.note_first_byte()
            opened.close(failed=True)
            raise
        except BaseException:
            _close(opened, send)
            raise

    async def _copy_if_late(self, first: TrackedSend) -> None:
        """Send a copy once the first send is late and nothing speaks against it."""
        delay = self._policy.find_delay(self._call)
        if delay is None:
            return
        is_late = await self._wait_until(first.sent_at + delay, delay)
        self._policy.note_lateness(self._call, is_late=is_late)
        reason = None
        while is_late:
            copy = self._copies.start(first)
            if isinstance(copy, TrackedSend):
                self._start_copy(first, copy, delay)
                return
            if copy is not reason:
                reason = copy
                self._metrics.count_withheld_copy(reason)
            if reason in LASTING_REASONS:
                return
            pause = delay * _RECHECK_FRACTION
            is_late = await self._wait_until(self._clock.monotonic() + pause, pause)

    def _start_copy(self, first: TrackedSend, copy: TrackedSend, delay: float) -> None:
        self._copy = copy
        self._metrics.count_sent_copy(self._call.service.name)
        emit(
            CopySent(
                request_id=self._call.facts.request_id,
                route=self._call.route.name,
                service=self._call.service.name,
                first_target=first.target.target_id,
                target=copy.target.target_id,
                waited_seconds=round(copy.sent_at - first.sent_at, 4),
                delay_seconds=round(delay, 4),
            )
        )
        self._start(copy)

    async def _wait_until(self, due: float, pause: float) -> bool:
        """Return whether the first send has not ended by a monotonic time.

        The wait goes on for a pause as long as the event loop was blocked just before.
        """
        task = self._racers[0].task
        while True:
            seconds = max(0.0, due - self._clock.monotonic())
            await asyncio.wait({task}, timeout=seconds)
            overrun = self._clock.monotonic() - due
            for _ in range(_READ_ITERATIONS):
                if not task.done():
                    await asyncio.sleep(0)
            if task.done():
                return False
            if not self._policy.is_blocked(overrun):
                return True
            self._metrics.count_withheld_copy(WithholdReason.BLOCKED)
            due = self._clock.monotonic() + pause

    async def _find_winner(self) -> _Racer:
        """Return the first racer with a usable answer, or the last one that failed."""
        while True:
            tasks = {racer.task for racer in self._racers}
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            done = [racer for racer in self._racers if racer.task.done()]
            for racer in done:
                if racer.is_usable():
                    return racer
            if len(self._racers) == 1:
                return done[0]
            self._drop(done[0])

    def _drop(self, racer: _Racer) -> None:
        """Record a failed send; the other one is awaited alone."""
        self._racers.remove(racer)
        self._copy_failed = racer.send is self._copy
        error = racer.task.exception()
        if error is not None and not isinstance(error, TargetError):
            raise error
        self._session.drop_send(racer.send, error or racer.task.result())
        self._session.follow(self._racers[0].send)

    def _end_others(self, winner: _Racer | None) -> None:
        for racer in self._racers:
            if racer is not winner:
                racer.send.is_superseded = winner is not None
                racer.end()

    def _report_copy(self, winner: _Racer | None) -> None:
        copy = self._copy
        if copy is None:
            return
        outcome = "lost"
        if winner is None:
            outcome = "cancelled"
        elif winner.send is copy and winner.is_usable():
            outcome = "won"
        elif winner.send is copy or self._copy_failed:
            outcome = "failed"
        self._metrics.count_ended_copy(outcome)
        emit(
            CopyEnded(
                self._call.facts.request_id,
                copy.target.target_id,
                outcome,
                round(self._clock.monotonic() - copy.sent_at, 4),
            )
        )


def _is_usable(opened: OpenCall) -> bool:
    """Return whether a response goes to the caller, as its head tells."""
    status = opened.answer.status
    return (
        not opened.facts.not_run
        and status < HTTPStatus.INTERNAL_SERVER_ERROR
        and status not in NOT_RUN_STATUSES
    )


def _close(opened: OpenCall, send: TrackedSend) -> None:
    if send.is_superseded:
        opened.abandon()
    else:
        opened.close()
