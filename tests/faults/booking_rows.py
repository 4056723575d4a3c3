"""I6 and I7: bookings of several instances over one log and one service."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

from carobladder.exceptions import (
    CallerError,
    ConnectionBrokenError,
    NotReadyError,
    Outcome,
)
from carobladder.gateway.ports import ServiceAnswer
from tests.bookings.test_runner import (
    ROUTE,
    FakeService,
    Instance,
    SimulatedFleet,
    _InstanceReportingNotRun,
    _InstanceWithoutClaims,
)
from tests.faults.cells import Injection, Row, Run
from tests.support.logs import FakeLog, LogFaults
from tests.support.virtual import drive, settle

ATTEMPTS = 4
CALLERS = 5
# A claim's validity is 5 s, so this pause outlasts it.
LONG_PAUSE_SECONDS = 7.0


class StagedService(FakeService):
    """Call a hook at each step of a call to the service."""

    def __init__(self, world: "StagedWorld") -> None:
        super().__init__(world.clock, world.random)
        self._world = world
        self.lose_next = 0
        self.late_next = 0
        self.refuse_until = 0.0
        self.break_calls = 0

    async def book(self, key: str, call_id: int = 0) -> ServiceAnswer:
        if self.clock.monotonic() < self.refuse_until:
            raise ConnectionBrokenError("connection refused", request_written=False)
        await self._world.reach("after-send", key)
        await self.clock.sleep(self.random.random() * self.delay_seconds)
        if self.break_calls:
            self.break_calls -= 1
            raise ConnectionBrokenError("closed", request_written=True)
        self.effects[key] += 1
        self.effects_by_call[call_id] += 1
        await self._world.reach("after-effect", key)
        await self.clock.sleep(self.random.random() * self.delay_seconds)
        if self.late_next:
            self.late_next -= 1
            await self.clock.sleep(8.0)
        await self._world.reach("mid-answer", key)
        if self.lose_next:
            self.lose_next -= 1
            raise ConnectionBrokenError("closed", request_written=True)
        return ServiceAnswer(201, (), key.encode())


class StagedInstance(Instance):
    """Tell the world when a claim is read and the call is about to be sent."""

    base: type[Instance] = Instance

    def watch(self, world: "StagedWorld") -> None:
        original = self.runner._append_and_read

        async def append_and_read(attempt):
            entry = await original(attempt)
            await world.reach("before-send", attempt.key.value)
            return entry

        self.runner._append_and_read = append_and_read


class UnclaimedInstance(StagedInstance, _InstanceWithoutClaims):
    """Send without a claim."""


class HastyInstance(StagedInstance, _InstanceReportingNotRun):
    """Call a lost answer 'not run'."""


class ImpatientInstance(StagedInstance):
    """Call any answer that took longer than 0.1 s 'not run'."""

    async def book(self, key, route=ROUTE, body="", call_id=0):
        started = self.service.clock.monotonic()
        answer = await super().book(key, route, body, call_id)
        if self.service.clock.monotonic() - started > 0.1:
            raise NotReadyError("no answer in time")
        return answer


class EagerInstance(StagedInstance):
    """Send under a claim that is not the first of its key."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)

        async def follow(attempt, entry):
            return await self.service.book(attempt.key.value)

        self.runner._wait_for_answer = follow


_CLASS: type[StagedInstance] = StagedInstance


@contextmanager
def use(kind: type[StagedInstance]) -> Iterator[None]:
    """Run the worlds with a broken instance."""
    global _CLASS
    previous, _CLASS = _CLASS, kind
    try:
        yield
    finally:
        _CLASS = previous


class StagedWorld(SimulatedFleet):
    """Inject faults when calls reach their steps."""

    def __init__(self, seed: int, placed: Sequence[Injection], run: Run) -> None:
        super().__init__(seed, count=0)
        self.service = StagedService(self)
        self.placed = list(placed)
        self.result = run
        self.number = 0
        self.logs: list[FakeLog] = []
        self.extra: list[asyncio.Task[None]] = []
        self.calls: dict[int, set[asyncio.Task]] = {}
        self.outcomes: Counter[str] = Counter()
        self.armed_at = 0.6
        for at in range(3):
            self.start(at)

    def start(self, at: int) -> None:
        """Start an instance, or one anew, over a log connection of its own."""
        log = FakeLog(
            self.clock, self.random, LogFaults(), self.log.streams, self.log.oldest
        )
        self.number += 1
        fresh = _CLASS(f"entry-{at}-{self.number}", self.clock, log, self.service)
        fresh.watch(self)
        if at < len(self.instances):
            self.instances[at], self.logs[at] = fresh, log
        else:
            self.instances.append(fresh)
            self.logs.append(log)

    async def reach(self, step: str, key: str) -> None:
        """Inject what is planned for the step."""
        await self._inject_due(step, key)

    async def _inject_due(self, step: str, key: str) -> None:
        if self.clock.monotonic() < self.armed_at:
            return
        due = next((item for item in self.placed if item.step == step), None)
        if due is None:
            return
        self.placed.remove(due)
        self.result.injected += 1
        # The second of two faults may come while the first lasts.
        self.armed_at = self.clock.monotonic() + self.random.choice((0.0, 0.3))
        await _ACTIONS[due.fault](self, key)

    def find_instance(self) -> int:
        return self.random.randrange(len(self.instances))

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after some virtual seconds."""

        async def wait() -> None:
            await self.clock.sleep(seconds)
            action()

        self.extra.append(asyncio.ensure_future(wait()))

    async def call(self, key: str) -> bool:
        """Book a key by two instances at once; tell whether one answered."""
        ids = [self.random.getrandbits(60) for _ in range(2)]
        tasks = []
        for call_id in ids:
            at = self.find_instance()
            work = self.instances[at].book(key, call_id=call_id)
            task = asyncio.ensure_future(work)
            self.calls.setdefault(at, set()).add(task)
            tasks.append(task)
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        for call_id, answer in zip(ids, answers, strict=True):
            self.judge(key, call_id, answer)
        return any(isinstance(answer, ServiceAnswer) for answer in answers)

    def judge(self, key: str, call_id: int, answer: object) -> None:
        """Count what the caller of a booking may not see."""
        if isinstance(answer, ServiceAnswer):
            if answer.body != key.encode() or not self.service.effects[key]:
                self.outcomes["foreign or invented answer"] += 1
        elif isinstance(answer, CallerError):
            ran = self.service.effects_by_call[call_id]
            if answer.outcome is Outcome.NOT_RUN and ran:
                self.outcomes["false 'not run'"] += 1
        elif isinstance(answer, Exception) and not isinstance(
            answer, ConnectionBrokenError
        ):
            raise answer

    async def serve(self) -> None:
        """Book keys, again until one call answers."""
        await asyncio.gather(*(self.book_one(at * 0.37) for at in range(CALLERS)))
        await self.clock.sleep(6.0)

    async def book_one(self, delay: float) -> None:
        await self.clock.sleep(delay)
        key = self.new_key()
        for _ in range(ATTEMPTS):
            if await self.call(key):
                # A repeated call after the answer must not run again.
                await self.call(key)
                return
            await self.clock.sleep(self.random.random() * 2)


async def _log_down(world: StagedWorld, key: str) -> None:
    for log in world.logs:
        log.faults.outage = True

    def end() -> None:
        for log in world.logs:
            log.faults.outage = False

    world.later(3.0, end)


async def _log_slow(world: StagedWorld, key: str) -> None:
    for log in world.logs:
        log.faults.delay_seconds = 2.5

    def end() -> None:
        for log in world.logs:
            log.faults.delay_seconds = 0.0

    world.later(4.0, end)


async def _lose_append(world: StagedWorld, key: str) -> None:
    for log in world.logs:
        log.faults.lose_answer = 1.0

    def end() -> None:
        for log in world.logs:
            log.faults.lose_answer = 0.0

    world.later(1.5, end)


async def _die(world: StagedWorld, key: str) -> None:
    at = world.find_instance()
    world.instances[at].stop()
    current = asyncio.current_task()
    for task in world.calls.pop(at, ()):
        if task is not current:
            task.cancel()
    world.start(at)


async def _pause_long(world: StagedWorld, key: str) -> None:
    """Let time pass while this task stands still, past the claim's validity."""
    world.clock.advance(LONG_PAUSE_SECONDS)


async def _pause(world: StagedWorld, key: str) -> None:
    world.clock.advance(world.random.uniform(0.5, 4.0))


async def _partition(world: StagedWorld, key: str) -> None:
    log = world.logs[world.find_instance()]
    log.faults.outage = True
    world.later(5.0, lambda: setattr(log.faults, "outage", False))


async def _surge(world: StagedWorld, key: str) -> None:
    for _ in range(30):
        world.extra.append(asyncio.ensure_future(world.book_one(0.0)))


async def _target_dies(world: StagedWorld, key: str) -> None:
    world.service.break_calls += 1
    world.service.refuse_until = world.clock.monotonic() + 1.0


async def _target_flaps(world: StagedWorld, key: str) -> None:
    for start in (0.0, 0.8, 1.6):
        until = world.clock.monotonic() + start + 0.4
        world.later(start, lambda u=until: setattr(world.service, "refuse_until", u))


async def _lose_answer(world: StagedWorld, key: str) -> None:
    world.service.lose_next += 1


async def _late_answer(world: StagedWorld, key: str) -> None:
    world.service.late_next += 1


_ACTIONS: dict[str, Callable[[StagedWorld, str], Awaitable[None]]] = {
    "log-down": _log_down,
    "log-slow": _log_slow,
    "append-answer-lost": _lose_append,
    "lease-lapses": _pause_long,
    "instance-dies": _die,
    "instance-paused": _pause,
    "instance-partitioned": _partition,
    "team-surge": _surge,
    "engine-dies": _target_dies,
    "engine-flaps": _target_flaps,
    "service-answer-lost": _lose_answer,
    "answer-late": _late_answer,
}


def _make_run(check: Callable[[StagedWorld], str]) -> Callable[..., Run]:
    def run(placed: Sequence[Injection], seed: int) -> Run:
        result = Run()
        asyncio.run(_run(placed, seed, result, check))
        return result

    return run


async def _run(
    placed: Sequence[Injection], seed: int, result: Run, check: Callable[..., str]
) -> None:
    world = StagedWorld(seed, placed, result)
    await world.warm_up()
    await drive(world.clock, world.serve())
    result.violation = check(world)
    for task in world.extra:
        task.cancel()
    await asyncio.gather(*world.extra, return_exceptions=True)
    await world.stop()
    await settle()


def find_doubled(world: StagedWorld) -> str:
    """Return the bookings that ran more than once."""
    doubled = {k: n for k, n in world.service.effects.items() if n > 1}
    return f"{len(doubled)} bookings ran more than once" if doubled else ""


def find_false_outcomes(world: StagedWorld) -> str:
    """Return the outcomes that were not true."""
    return ", ".join(f"{n} x {text}" for text, n in sorted(world.outcomes.items()))


_STEPS = ("before-send", "after-send", "mid-answer", "after-effect")
_MAP = {
    **dict.fromkeys(_ACTIONS, _STEPS),
    # The service has answered by then, so a failed call has no answer to break.
    "engine-dies": ("before-send", "after-send"),
    "service-answer-lost": ("after-effect",),
    "answer-late": ("after-send", "after-effect"),
}
I6 = Row(
    "I6",
    _MAP,
    _make_run(find_false_outcomes),
    {
        "slow answer called not run": lambda: use(ImpatientInstance),
        "lost answer called not run": lambda: use(HastyInstance),
    },
    {
        "service-answer-lost": ["lost answer called not run"],
        "instance-dies": ["lost answer called not run"],
    },
    seeds=range(1, 5),
)
I7 = Row(
    "I7",
    _MAP,
    _make_run(find_doubled),
    {
        "sent under a later claim": lambda: use(EagerInstance),
        "sent without a claim": lambda: use(UnclaimedInstance),
    },
    seeds=range(1, 5),
)
