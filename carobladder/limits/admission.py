"""Admission of requests to targets within the allowances of this instance."""

import asyncio
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from itertools import islice

from carobladder.clock import Clock
from carobladder.gateway.ports import SlotRequest
from carobladder.limits.allowances import AllowanceBook, SlotPermit
from carobladder.limits.queues import FairQueue, QueuedRequest
from carobladder.limits.refusals import RefusalPolicy
from carobladder.targets import TargetState

__all__ = ["AdmissionController", "AdmissionPermit", "Demand"]

# Interval of the checks for expired deadlines while requests wait.
POLL_SECONDS = 0.01
# Time within which the owner of the first target answers a request for slots, also
# between data centres of a region. Without this wait a chat would leave the target
# that has its context cached whenever its instance holds no idle slots there.
OWNER_ANSWER_SECONDS = 0.02
# A waiting request asks the owners of twice as many targets after each such step.
WIDENING_STEP_SECONDS = 0.01
DEFAULT_LOAD_MULTIPLE = 1.25
# Number of waiting requests that ask owners for slots. Those further back do not: the
# requests before them are served first anyway.
MAX_ASKING_REQUESTS = 32


@dataclass(frozen=True, slots=True)
class Demand:
    """Slots of a target that waiting requests want.

    ``unit`` is the weight of the first of them, in slots.
    """

    wanted: int = 0
    unit: int = 1


@dataclass(eq=False, slots=True)
class AdmissionPermit:
    """Slots of one target taken by a request; implements ``gateway.ports.Permit``."""

    target: TargetState
    _controller: "AdmissionController"
    _request: SlotRequest
    _permit: SlotPermit

    def is_valid(self) -> bool:
        """Return whether the lease of the slots is still valid."""
        return self._controller.is_valid(self._permit)

    def release(
        self, *, failed: bool = False, first_byte_seconds: float | None = None
    ) -> None:
        """Free the slots and report whether the target failed and how fast it was."""
        if not self._permit.released:
            self._controller.release(
                self._request, self._permit, failed, first_byte_seconds
            )


class AdmissionController:
    """Admit requests within the allowances, queue the rest and ask owners for slots.

    ``book`` has the allowances. ``find_target`` returns the current state of a target
    or None. ``ask`` requests slots of the given targets from their owners and does
    not wait for the answers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        book: AllowanceBook,
        queue: FairQueue[SlotRequest],
        refusals: RefusalPolicy,
        find_target: Callable[[str], TargetState | None],
        ask: Callable[[Iterable[str]], None],
        load_multiple: float = DEFAULT_LOAD_MULTIPLE,
    ) -> None:
        self._clock = clock
        self._book = book
        self._queue = queue
        self._refusals = refusals
        self._find_target = find_target
        self._ask = ask
        self._load_multiple = load_multiple
        self._futures: dict[
            QueuedRequest[SlotRequest], asyncio.Future[AdmissionPermit]
        ] = {}
        self._wake = asyncio.Event()
        self.admitted = 0
        self.queued = 0
        self.refused = 0

    async def acquire(self, request: SlotRequest) -> AdmissionPermit:
        """Return a permit, waiting in the queue if needed.

        Raises NoCapacityError with a retry time if the deadline cannot be met, the
        queue is full or no target accepts work.
        """
        now = self._clock.monotonic()
        queued_request = QueuedRequest(request, now, now + request.sticky_seconds)
        if not len(self._queue):
            permit = self._try_targets(queued_request, now)
            if permit is not None:
                return permit
        self._refuse_if_unservable(request, now)
        return await self._wait(queued_request, now)

    def describe_demand(self, target_id: str) -> Demand:
        """Return the slots of a target that waiting requests want now."""
        now = self._clock.monotonic()
        wanted = 0
        unit = 0
        for queued_request in self._queue.iterate(now):
            if target_id in self._list_targets_to_ask(queued_request, now):
                unit = unit or queued_request.weight
                wanted += queued_request.weight
        return Demand(wanted, max(1, unit))

    def serve(self) -> None:
        """Assign free slots to waiting requests; call it when slots may be free."""
        if not self._futures:
            return
        now = self._clock.monotonic()
        reserved: set[str] = set()
        service_order = self._queue.iterate(now)
        while self._book.has_free_slots(now, reserved):
            queued_request = next(service_order, None)
            if queued_request is None:
                return
            if queued_request not in self._futures:
                continue
            permit = self._try_targets(queued_request, now, reserved)
            if permit is not None:
                asked = self._list_targets_to_ask(queued_request, now)
                self._queue.remove(queued_request)
                self._grant(queued_request, permit)
                # The heartbeats that this makes due return the slots that other
                # owners granted in the meantime.
                self._ask(asked)
            elif not self._queue.is_above_share(queued_request.request):
                reserved.update(self._reserve(queued_request, now, reserved))

    def _grant(
        self, queued_request: QueuedRequest[SlotRequest], permit: AdmissionPermit
    ) -> None:
        future = self._futures.pop(queued_request)
        if future.done():
            permit.release()
        else:
            future.set_result(permit)

    def _refuse_expired(self) -> None:
        now = self._clock.monotonic()
        for queued_request in list(self._futures):
            if queued_request.request.deadline <= now:
                self._fail(
                    queued_request, "the deadline passed while the request waited"
                )

    def _reserve(
        self, queued_request: QueuedRequest[SlotRequest], now: float, reserved: set[str]
    ) -> tuple[str, ...]:
        """Return the target to reserve for a request: the one with the most free slots.

        Without the reservation, lighter requests further back in the queue would take
        each slot as it becomes free, before the request finds enough of them. Returns
        an empty tuple if no candidate has a free slot.
        """
        free = {
            target_id: self._book.count_free_slots(target_id, now)
            for target_id in self._list_candidates(queued_request, now)
            if target_id not in reserved
        }
        best = max(free, key=free.__getitem__, default=None)
        return (best,) if best is not None and free[best] else ()

    async def run(self) -> None:
        """Refuse expired requests and ask more owners while requests wait."""
        while True:
            if not self._futures:
                self._wake.clear()
                await self._wake.wait()
            await self._clock.sleep(POLL_SECONDS)
            self._refuse_expired()
            self.serve()
            self._ask_owners()

    def is_valid(self, permit: SlotPermit) -> bool:
        """Return whether a request may still be written under the permit."""
        target = self._find_target(permit.target_id)
        if target is None or target.leaving:
            return False
        return self._book.is_valid(permit, self._clock.monotonic())

    def release(
        self,
        request: SlotRequest,
        permit: SlotPermit,
        failed: bool,
        first_byte_seconds: float | None,
    ) -> None:
        """Free the slots of a permit and serve waiting requests."""
        self._book.release(permit, failed=failed, first_byte_seconds=first_byte_seconds)
        now = self._clock.monotonic()
        self._queue.finish(request, permit.weight, now)
        self.serve()
        allowance = self._book.find(permit.target_id, now)
        if allowance is not None and allowance.contended:
            self._ask((permit.target_id,))

    async def _wait(
        self, queued_request: QueuedRequest[SlotRequest], now: float
    ) -> AdmissionPermit:
        self._ensure_queue_space(queued_request.request, now)
        future = asyncio.get_running_loop().create_future()
        self._queue.push(queued_request)
        self._futures[queued_request] = future
        self.queued += 1
        self._wake.set()
        self.serve()
        if not future.done():
            queued_request.check_ask_due(now)
            self._ask(self._list_targets_to_ask(queued_request, now))
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(queued_request, future)
            raise

    def _abandon(
        self,
        queued_request: QueuedRequest[SlotRequest],
        future: "asyncio.Future[AdmissionPermit]",
    ) -> None:
        if queued_request in self._futures:
            del self._futures[queued_request]
            self._queue.remove(queued_request)
        elif future.done() and not future.cancelled() and not future.exception():
            future.result().release()

    def _ensure_queue_space(self, request: SlotRequest, now: float) -> None:
        if not self._queue.is_full:
            return
        displaced = self._queue.choose_displaced(request)
        if displaced is None:
            self.refused += 1
            wait = self._queue.estimate_wait(request, now)
            raise self._refusals.build_refusal("the queue is full", wait)
        self._fail(displaced, "the queue is full")

    def _fail(self, queued_request: QueuedRequest[SlotRequest], message: str) -> None:
        self._queue.remove(queued_request)
        future = self._futures.pop(queued_request)
        self.refused += 1
        wait = self._queue.estimate_wait(
            queued_request.request, self._clock.monotonic()
        )
        if not future.done():
            future.set_exception(self._refusals.build_refusal(message, wait))

    def _refuse_if_unservable(self, request: SlotRequest, now: float) -> None:
        """Raise if no target accepts work or the wait would exceed the deadline."""
        wait = self._queue.estimate_wait(request, now) if len(self._queue) else 0.0
        message = ""
        if not any(self._accepts_work(target_id) for target_id in request.ranked):
            message = "no target of the pool accepts work"
        elif now + wait >= request.deadline:
            message = "the request cannot be served before its deadline"
        if message:
            self.refused += 1
            raise self._refusals.build_refusal(message, wait)

    def _accepts_work(self, target_id: str) -> bool:
        target = self._find_target(target_id)
        return target is not None and not target.leaving

    def _try_targets(
        self,
        queued_request: QueuedRequest[SlotRequest],
        now: float,
        reserved: Container[str] = (),
    ) -> AdmissionPermit | None:
        for target_id in self._list_candidates(queued_request, now):
            target = self._find_target(target_id)
            if target is None or target.leaving or target_id in reserved:
                continue
            permit = self._book.try_acquire(target_id, queued_request.weight, now)
            if permit is not None:
                self._queue.start(queued_request.request, queued_request.weight)
                self.admitted += 1
                return AdmissionPermit(target, self, queued_request.request, permit)
        return None

    def _list_candidates(
        self, queued_request: QueuedRequest[SlotRequest], now: float
    ) -> tuple[str, ...]:
        """Return the targets that the request may use now, best first.

        At first this is only the preferred target, then the near ones, which have the
        prompt prefix cached that the request shares with other chats, then all.
        """
        request = queued_request.request
        ranked = tuple(request.ranked)
        if self._waits_for_first(queued_request, now):
            return ranked[:1]
        if now < queued_request.queued_at + request.near_seconds:
            near = ranked[: request.near_count]
            if any(self._could_serve(target_id, now) for target_id in near):
                return near
        return ranked

    def _waits_for_first(
        self, queued_request: QueuedRequest[SlotRequest], now: float
    ) -> bool:
        ranked = queued_request.request.ranked
        if not ranked or not self._could_serve(ranked[0], now):
            return False
        if now < queued_request.first_target_until:
            return True
        awaits_owner = now < queued_request.queued_at + OWNER_ANSWER_SECONDS
        return awaits_owner and self._may_have_capacity(ranked[0], now)

    def _may_have_capacity(self, target_id: str, now: float) -> bool:
        allowance = self._book.find(target_id, now)
        if allowance is None:
            return True
        # The reported load may not include the latest requests of this instance.
        load = max(allowance.load, self._book.count_in_flight(target_id))
        return load < allowance.limit

    def _could_serve(self, target_id: str, now: float) -> bool:
        target = self._find_target(target_id)
        if target is None or target.leaving:
            return False
        allowance = self._book.find(target_id, now)
        return allowance is None or allowance.ready

    def _list_targets_to_ask(
        self, queued_request: QueuedRequest[SlotRequest], now: float
    ) -> tuple[str, ...]:
        """Return the targets to request slots of: one, then twice as many each step.

        Leaves out the targets whose owners would refuse, judging by the loads last
        reported, unless that applies to all of them.
        """
        candidates = self._list_candidates(queued_request, now)
        if len(candidates) < 2:
            return candidates
        steps = int((now - queued_request.queued_at) / WIDENING_STEP_SECONDS)
        if not steps:
            return candidates[:1]
        below_cap = self._book.filter_by_load(
            candidates, queued_request.weight, self._load_multiple, now
        )
        return (below_cap or candidates)[: 1 << min(steps, 10)]

    def _ask_owners(self) -> None:
        now = self._clock.monotonic()
        targets: dict[str, None] = {}
        for queued_request in islice(self._queue.iterate(now), MAX_ASKING_REQUESTS):
            if queued_request.check_ask_due(now):
                targets.update(
                    dict.fromkeys(self._list_targets_to_ask(queued_request, now))
                )
        if targets:
            self._ask(tuple(targets))
