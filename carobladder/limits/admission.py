"""Task that admits requests to targets over the holder's book."""

import asyncio
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from itertools import islice

from carobladder.clock import Clock
from carobladder.gateway.ports import SlotRequest
from carobladder.limits.allowances import AllowanceBook, BookPermit
from carobladder.limits.queues import FairQueue, Waiting
from carobladder.limits.refusals import RefusalPolicy
from carobladder.targets import TargetState

__all__ = ["AdmissionController", "AdmissionPermit", "Demand"]

# Pause between looks at deadlines while requests wait.
POLL_SECONDS = 0.01
# An ask of the first target is answered within this time between data centres of
# a region. Without it a chat would leave its cached context whenever its instance
# holds no idle slots of the target.
ASK_GRACE_SECONDS = 0.02
# After each step without slots a waiting request asks for twice as many targets.
WIDEN_SECONDS = 0.01
DEFAULT_LOAD_MULTIPLE = 1.25
# Requests further back in the queue do not ask; those before them go first anyway.
MAX_ASKING = 32


@dataclass(frozen=True, slots=True)
class Demand:
    """State the slots that waiting requests want; ``unit`` is the first's weight."""

    wanted: int = 0
    unit: int = 1


@dataclass(eq=False, slots=True)
class AdmissionPermit:
    """Hold slots of one target; implements ``Permit`` of the gateway's ports."""

    target: TargetState
    _controller: "AdmissionController"
    _request: SlotRequest
    _permit: BookPermit

    def is_valid(self) -> bool:
        """Tell whether the lease behind the slots still runs."""
        return self._controller.is_valid(self._permit)

    def release(
        self, *, failed: bool = False, first_byte_seconds: float | None = None
    ) -> None:
        """Give the slots back and report how the target did."""
        if not self._permit.released:
            self._controller.release(
                self._request, self._permit, failed, first_byte_seconds
            )


class AdmissionController:
    """Give permits from the book, queue the rest and ask owners for slots.

    ``find_target`` returns the present state of a target or None; ``ask`` requests
    slots of the given targets from their owners without waiting.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        book: AllowanceBook,
        queue: FairQueue,
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
        self._futures: dict[Waiting, asyncio.Future[AdmissionPermit]] = {}
        self._wake = asyncio.Event()
        self.admitted = 0
        self.queued = 0
        self.refused = 0

    async def acquire(self, request: SlotRequest) -> AdmissionPermit:
        """Return a permit, waiting in the queue if needed.

        Raises NoCapacityError with a retry time if the deadline cannot be met.
        """
        now = self._clock.monotonic()
        waiting = Waiting(request, now, now + request.sticky_seconds)
        if not len(self._queue):
            permit = self._try_targets(waiting, now)
            if permit is not None:
                return permit
        self._refuse_if_hopeless(request, now)
        return await self._wait(waiting, now)

    def describe_demand(self, target_id: str) -> Demand:
        """Return what waiting requests want of a target now."""
        now = self._clock.monotonic()
        wanted = 0
        unit = 0
        for waiting in self._queue.iterate(now):
            if target_id in self._list_asked(waiting, now):
                unit = unit or waiting.weight
                wanted += waiting.weight
        return Demand(wanted, max(1, unit))

    def serve(self) -> None:
        """Give free slots to waiting requests; call it when slots may be free."""
        if not self._futures:
            return
        now = self._clock.monotonic()
        reserved: set[str] = set()
        waitings = self._queue.iterate(now)
        while self._book.has_free(now, reserved):
            waiting = next(waitings, None)
            if waiting is None:
                return
            if waiting not in self._futures:
                continue
            permit = self._try_targets(waiting, now, reserved)
            if permit is not None:
                asked = self._list_asked(waiting, now)
                self._queue.remove(waiting)
                self._resolve(waiting, permit)
                # The next heartbeats give back what other owners granted meanwhile.
                self._ask(asked)
            elif not self._queue.is_above_share(waiting.request):
                reserved.update(self._reserve(waiting, now, reserved))

    def _resolve(self, waiting: Waiting, permit: AdmissionPermit) -> None:
        future = self._futures.pop(waiting)
        if future.done():
            permit.release()
        else:
            future.set_result(permit)

    def _refuse_expired(self) -> None:
        now = self._clock.monotonic()
        for waiting in list(self._futures):
            if waiting.request.deadline <= now:
                self._fail(waiting, "the deadline passed in the queue")

    def _reserve(
        self, waiting: Waiting, now: float, reserved: set[str]
    ) -> tuple[str, ...]:
        """Return the target that collects free slots for a request that needs more.

        Lighter requests further back would otherwise take each slot as it frees.
        """
        free = {
            target_id: self._book.count_free(target_id, now)
            for target_id in self._list_candidates(waiting, now)
            if target_id not in reserved
        }
        best = max(free, key=free.__getitem__, default=None)
        return (best,) if best is not None and free[best] else ()

    async def run(self) -> None:
        """Watch deadlines and widen asks while requests wait."""
        while True:
            if not self._futures:
                self._wake.clear()
                await self._wake.wait()
            await self._clock.sleep(POLL_SECONDS)
            self._refuse_expired()
            self.serve()
            self._ask_owners()

    def is_valid(self, permit: BookPermit) -> bool:
        """Tell whether a request may still be written under the permit."""
        target = self._find_target(permit.target_id)
        if target is None or target.leaving:
            return False
        return self._book.is_valid(permit, self._clock.monotonic())

    def release(
        self,
        request: SlotRequest,
        permit: BookPermit,
        failed: bool,
        first_byte_seconds: float | None,
    ) -> None:
        """Return slots to the book and serve waiting requests."""
        self._book.release(permit, failed=failed, first_byte_seconds=first_byte_seconds)
        now = self._clock.monotonic()
        self._queue.finish(request, permit.weight, now)
        self.serve()
        allowance = self._book.find(permit.target_id, now)
        if allowance is not None and allowance.contended:
            self._ask((permit.target_id,))

    async def _wait(self, waiting: Waiting, now: float) -> AdmissionPermit:
        self._make_room(waiting.request, now)
        future = asyncio.get_running_loop().create_future()
        self._queue.push(waiting)
        self._futures[waiting] = future
        self.queued += 1
        self._wake.set()
        self.serve()
        if not future.done():
            waiting.is_ask_due(now)
            self._ask(self._list_asked(waiting, now))
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(waiting, future)
            raise

    def _abandon(
        self, waiting: Waiting, future: "asyncio.Future[AdmissionPermit]"
    ) -> None:
        if waiting in self._futures:
            del self._futures[waiting]
            self._queue.remove(waiting)
        elif future.done() and not future.cancelled() and not future.exception():
            future.result().release()

    def _make_room(self, request: SlotRequest, now: float) -> None:
        if not self._queue.is_full:
            return
        victim = self._queue.choose_victim(request)
        if victim is None:
            self.refused += 1
            wait = self._queue.estimate_wait(request, now)
            raise self._refusals.refuse("the queue is full", wait)
        self._fail(victim, "the queue is full")

    def _fail(self, waiting: Waiting, message: str) -> None:
        self._queue.remove(waiting)
        future = self._futures.pop(waiting)
        self.refused += 1
        wait = self._queue.estimate_wait(waiting.request, self._clock.monotonic())
        if not future.done():
            future.set_exception(self._refusals.refuse(message, wait))

    def _refuse_if_hopeless(self, request: SlotRequest, now: float) -> None:
        """Raise if no target is left or the estimated wait passes the deadline."""
        wait = self._queue.estimate_wait(request, now) if len(self._queue) else 0.0
        message = ""
        if not any(self._is_open(target_id) for target_id in request.ranked):
            message = "no target of the pool accepts work"
        elif now + wait >= request.deadline:
            message = "the request cannot be served before its deadline"
        if message:
            self.refused += 1
            raise self._refusals.refuse(message, wait)

    def _is_open(self, target_id: str) -> bool:
        target = self._find_target(target_id)
        return target is not None and not target.leaving

    def _try_targets(
        self, waiting: Waiting, now: float, reserved: Container[str] = ()
    ) -> AdmissionPermit | None:
        for target_id in self._list_candidates(waiting, now):
            target = self._find_target(target_id)
            if target is None or target.leaving or target_id in reserved:
                continue
            permit = self._book.try_acquire(target_id, waiting.weight, now)
            if permit is not None:
                self._queue.start(waiting.request, waiting.weight)
                self.admitted += 1
                return AdmissionPermit(target, self, waiting.request, permit)
        return None

    def _list_candidates(self, waiting: Waiting, now: float) -> tuple[str, ...]:
        """Return the targets that the request may take now, best first.

        It waits for the first target while that is worth it, then for one of the
        near ones, which hold the prefix that it shares with other chats.
        """
        request = waiting.request
        ranked = tuple(request.ranked)
        if self._waits_for_first(waiting, now):
            return ranked[:1]
        if now < waiting.queued + request.near_seconds:
            near = ranked[: request.near_count]
            if any(self._could_serve(target_id, now) for target_id in near):
                return near
        return ranked

    def _waits_for_first(self, waiting: Waiting, now: float) -> bool:
        ranked = waiting.request.ranked
        if not ranked or not self._could_serve(ranked[0], now):
            return False
        if now < waiting.first_until:
            return True
        asked = now < waiting.queued + ASK_GRACE_SECONDS
        return asked and self._may_have_room(ranked[0], now)

    def _may_have_room(self, target_id: str, now: float) -> bool:
        allowance = self._book.find(target_id, now)
        if allowance is None:
            return True
        # The load was reported before the last requests of this instance began.
        load = max(allowance.load, self._book.count_in_flight(target_id))
        return load < allowance.limit

    def _could_serve(self, target_id: str, now: float) -> bool:
        target = self._find_target(target_id)
        if target is None or target.leaving:
            return False
        allowance = self._book.find(target_id, now)
        return allowance is None or allowance.ready

    def _list_asked(self, waiting: Waiting, now: float) -> tuple[str, ...]:
        """Return the targets to ask for: the first, then twice as many each step.

        Targets whose owners would refuse by the loads last reported are left out.
        """
        candidates = self._list_candidates(waiting, now)
        if len(candidates) < 2:
            return candidates
        steps = int((now - waiting.queued) / WIDEN_SECONDS)
        if not steps:
            return candidates[:1]
        open_targets = self._book.list_open(
            candidates, waiting.weight, self._load_multiple, now
        )
        return (open_targets or candidates)[: 1 << min(steps, 10)]

    def _ask_owners(self) -> None:
        now = self._clock.monotonic()
        asked: dict[str, None] = {}
        for waiting in islice(self._queue.iterate(now), MAX_ASKING):
            if waiting.is_ask_due(now):
                asked.update(dict.fromkeys(self._list_asked(waiting, now)))
        if asked:
            self._ask(tuple(asked))
