"""Task that drives the moves which this instance owns."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from carobladder.clients.engines import EngineClient, OrderOutcome
from carobladder.clients.log import Log
from carobladder.clock import Clock
from carobladder.exceptions import CarobladderError
from carobladder.instance.movecapacity import CapacitySurvey
from carobladder.instance.moverecords import RecordAppender
from carobladder.instance.movetargets import DRIVER_PREFIX, TargetSurvey
from carobladder.instance.movewatch import DeclaredMove, MoveWatch, list_moves
from carobladder.instance.windows import WindowMove, plan_window_moves
from carobladder.membership import find_owner
from carobladder.moves.datacentres import (
    DataCentreConditions,
    DataCentreMoveState,
    decide_data_centre_step,
)
from carobladder.moves.drivers import Driver, DriverStatus, OrderTarget
from carobladder.moves.switches import (
    SwitchAction,
    TargetView,
    VersionSwitch,
    plan_switches,
    summarise_new_version,
)
from carobladder.moves.versions import VersionMoveState, decide_version_step
from carobladder.resources import (
    ABSENT,
    Catalog,
    Change,
    MoveLease,
    MoveStep,
    Resource,
    TargetSpec,
    describe_lease,
)
from carobladder.telemetry import log_event

__all__ = ["DriverTimes", "FleetView", "MoveDriver"]

Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class DriverTimes:
    """Set the intervals of a driver, in seconds.

    ``order_seconds`` must be at least the time-out of an order, because an order
    that is under way when the lease ends may still take effect.
    """

    tick_seconds: float = 0.5
    lease_seconds: float = 12.0
    order_seconds: float = 5.0
    # A record whose append was not answered is appended again.
    resend_seconds: float = 2.0
    refused_seconds: float = 10.0
    # An instance that has not read the log for so long takes it to be down.
    log_silence_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """Tell a driver about the fleet.

    ``list_live`` returns the live instances, ``log_read_at`` the monotonic time of
    the last successful read of the log, None before the first.
    """

    instance: str
    list_live: Callable[[], Sequence[str]]
    log_read_at: Callable[[], float | None]


@dataclass(slots=True)
class _Work:
    """Hold what this instance remembers of one move."""

    driver: Driver
    lease_seen_at: float
    fenced: dict[str, int] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class MoveDriver:
    """Claim the moves that this instance owns and take their steps.

    Every record of a driver has a change id that follows from the revision it
    expects. A record whose append lost its answer is therefore appended again
    under the same id, and takes effect once.
    """

    lease_rules: type[Driver] = Driver

    def __init__(
        self,
        fleet: FleetView,
        catalog: Catalog,
        log: Log,
        watch: MoveWatch,
        survey: TargetSurvey,
        engines: EngineClient,
        clock: Clock,
        times: DriverTimes | None = None,
    ) -> None:
        self._fleet = fleet
        self._catalog = catalog
        self._watch = watch
        self._survey = survey
        self._engines = engines
        self._clock = clock
        self._times = times or DriverTimes()
        self._works: dict[Key, _Work] = {}
        self._capacity = CapacitySurvey(catalog, survey, clock)
        self._records = RecordAppender(
            catalog,
            log,
            clock,
            self._times.resend_seconds,
            self._times.refused_seconds,
        )
        self._windows: dict[str, asyncio.Task[None]] = {}
        self._newest: dict[str, str] = {}
        self._claims = 0

    async def run(self) -> None:
        """Drive moves until cancelled."""
        try:
            while True:
                self.tick()
                await self._clock.sleep(self._times.tick_seconds)
        finally:
            tasks = [work.task for work in self._works.values() if work.task]
            for task in [*tasks, *self._windows.values()]:
                task.cancel()

    def tick(self) -> None:
        """Start the next turn of each move whose last turn has ended.

        Each move has a task of its own, so that a slow target of one move does not
        delay the lease of another.
        """
        if not self._catalog.loaded:
            return
        self._records.forget_old()
        moves = list_moves(self._catalog)
        self._newest = {
            move.state.spec.model: move.name
            for move in moves
            if isinstance(move.state, VersionMoveState)
        }
        for move in moves:
            work = self._find_work(move)
            self._observe(move, work)
            if work.task is None or work.task.done():
                work.task = asyncio.ensure_future(self._run_turn(move, work))
        kept = {(move.kind, move.name) for move in moves}
        for key in [key for key in self._works if key not in kept]:
            del self._works[key]
        self._declare_windows()

    def describe(self, kind: str, name: str) -> dict[str, Any]:
        """Return the driver's state of a move for operators."""
        work = self._works.get((kind, name))
        if work is None:
            return {}
        now = self._clock.monotonic()
        status = work.driver.status(self._is_owner(kind, name), now)
        if not self.is_log_up(now):
            status = DriverStatus.HELD_BY_LOG
        elif status is DriverStatus.NOT_OWNER and self._is_lease_fresh(work, now):
            # Another instance drives; this one reports what the log shows of it.
            status = DriverStatus.DRIVING
        return {"driver_state": status.value}

    def _find_work(self, move: DeclaredMove) -> _Work:
        key = (move.kind, move.name)
        work = self._works.get(key)
        if work is None:
            times = self._times
            driver = self.lease_rules(
                describe_lease(move.name, move.progress),
                self._fleet.instance,
                times.lease_seconds,
                times.order_seconds,
            )
            work = self._works[key] = _Work(driver, self._clock.monotonic())
        return work

    def _observe(self, move: DeclaredMove, work: _Work) -> None:
        """Give the driver the newest lease and the state of the log."""
        progress = self._catalog.get_progress(move.kind, move.name)
        now = self._clock.monotonic()
        if progress is not None:
            view = describe_lease(move.name, progress)
            if view.offset != work.driver.view.offset:
                work.lease_seen_at = now
            work.driver.observe(view, now)
        work.driver.note_log(self.is_log_up(now))

    async def _run_turn(self, move: DeclaredMove, work: _Work) -> None:
        try:
            await self._take_turn(move, work)
        except CarobladderError as error:
            log_event("move_turn_failed", move=move.name, error=error)

    async def _take_turn(self, move: DeclaredMove, work: _Work) -> None:
        if not self._is_owner(move.kind, move.name) or not self._has_work(move):
            return
        now = self._clock.monotonic()
        if work.driver.needs_claim(True, now) and self._may_claim(work, now):
            await self._claim(move, work)
        if not work.driver.may_append(self._clock.monotonic()):
            return
        if isinstance(move.state, VersionMoveState):
            await self._drive_version(move, move.state, work)
        else:
            await self._drive_data_centre(move, move.state, work)

    def _has_work(self, move: DeclaredMove) -> bool:
        """Tell whether a move needs a driver; an ended one may lack targets."""
        if not move.ended:
            return True
        state = move.state
        if not isinstance(state, VersionMoveState):
            return False
        return self._newest.get(state.spec.model) == move.name and any(
            target.version != _final_version(state) or target.leaving
            for target in self._list_declared(state)
        )

    def _list_declared(self, state: VersionMoveState) -> list[TargetView]:
        """Return the targets that the ended move may still change."""
        views = [
            self._survey.join(target, None)
            for target in self._survey.list_pool(state.spec.model)
        ]
        return [
            view
            for view in views
            if view.by_driver or (not view.leaving and view.revision <= state.revision)
        ]

    def _may_claim(self, work: _Work, now: float) -> bool:
        """Tell whether nobody else is seen to drive the move.

        While instances disagree about the owner, two of them would otherwise take
        the lease from each other at every turn.
        """
        holder = work.driver.view.holder
        if holder in ("", self._fleet.instance):
            return True
        return holder not in self._fleet.list_live() or not self._is_lease_fresh(
            work, now
        )

    def _is_lease_fresh(self, work: _Work, now: float) -> bool:
        held = bool(work.driver.view.holder)
        return held and now - work.lease_seen_at < self._times.lease_seconds

    async def _claim(self, move: DeclaredMove, work: _Work) -> None:
        self._claims += 1
        at = self._clock.now().timestamp()
        change_id = f"{move.name}:lease:{self._fleet.instance}:{at}:{self._claims}"
        claim = work.driver.claim(change_id, self._clock.monotonic())
        record = MoveLease(
            change_id=claim.change_id,
            who=claim.holder,
            at=at,
            kind=move.kind,
            name=move.name,
            expected_offset=claim.expected_offset,
            lease_seconds=self._times.lease_seconds,
        )
        await self._records.append(record)

    async def _drive_version(
        self, move: DeclaredMove, state: VersionMoveState, work: _Work
    ) -> None:
        targets = self._survey.list_pool(state.spec.model)
        views = await self._survey.view(targets)
        situation = replace(
            summarise_new_version(state, views),
            verdict=self._watch.verdict(move.name),
            step_requests=self._watch.count_step_requests(state),
            intent=move.intent,
        )
        now = self._clock.now()
        step = decide_version_step(state, situation, now)
        if step is not None:
            await self._append_step(move, work, step.phase, step.step, step.reason)
            return
        by_name = {target.name: target for target in targets}
        for switch in plan_switches(state, views, now):
            await self._switch(move, work, switch, by_name[switch.target_id])

    async def _drive_data_centre(
        self, move: DeclaredMove, state: DataCentreMoveState, work: _Work
    ) -> None:
        data_centre = state.spec.data_centre
        views = await self._survey.view(self._survey.list_data_centre(data_centre))
        ready = [view for view in views if view.ready]
        situation = DataCentreConditions(
            in_flight=sum(view.in_flight for view in views),
            ready_share=len(ready) / len(views) if views else 0.0,
            admissible_share=self._capacity.find_bearable_share(data_centre, ready),
            verdict=self._watch.verdict(move.name),
            load_fits_elsewhere=self._capacity.bears_leave(data_centre),
            intent=move.intent,
        )
        step = decide_data_centre_step(state, situation, self._clock.now())
        if step is not None:
            await self._append_step(move, work, step.phase, step.step, step.reason)

    async def _append_step(
        self, move: DeclaredMove, work: _Work, phase: str, step: int, reason: str
    ) -> None:
        if not self._may_append(move, work):
            return
        revision = move.progress.revision
        await self._records.append_once(
            f"{move.name}:{revision}:{phase}:{step}",
            lambda change_id: MoveStep(
                change_id=change_id,
                who=self._who,
                at=self._clock.now().timestamp(),
                kind=move.kind,
                name=move.name,
                expected_revision=revision,
                state=phase,
                step=step,
                detail=reason,
            ),
        )

    async def _switch(
        self, move: DeclaredMove, work: _Work, switch: VersionSwitch, target: Resource
    ) -> None:
        spec = target.spec
        assert isinstance(spec, TargetSpec)
        if switch.action is SwitchAction.LOAD:
            await self._order(move, work, switch, target.name, spec)
        elif self._may_append(move, work):
            leaves = switch.action is SwitchAction.LEAVE
            version = spec.version if leaves else switch.version
            changed = spec.model_copy(update={"leaving": leaves, "version": version})
            await self._records.append_once(
                f"{move.name}:{target.name}:{target.revision}:{switch.action}",
                lambda change_id: Change(
                    change_id=change_id,
                    who=self._who,
                    at=self._clock.now().timestamp(),
                    action="put",
                    kind="target",
                    name=target.name,
                    spec=changed.to_plain(),
                    expected_revision=target.revision,
                ),
            )

    async def _order(
        self,
        move: DeclaredMove,
        work: _Work,
        switch: VersionSwitch,
        name: str,
        spec: TargetSpec,
    ) -> None:
        """Order a load; a target that checks fencing first gets the number.

        The first order has no effect on traffic. After it, an order of an earlier
        driver can no longer change what this driver has read of the target.
        """
        self._observe(move, work)
        fenced = work.fenced.get(name) == work.driver.fencing
        action = "load" if fenced or not spec.checks_fencing else "prefetch"
        target = OrderTarget(name, spec.checks_fencing)
        now = self._clock.monotonic()
        order = work.driver.make_order(target, action, switch.version, now)
        if order is None:
            return
        outcome = await self._engines.send_order(
            spec.address, order.fencing, order.action, order.version
        )
        if outcome is OrderOutcome.ACCEPTED:
            work.fenced[name] = order.fencing
            return
        log_event("move_order_failed", target=name, outcome=outcome.value)

    def _may_append(self, move: DeclaredMove, work: _Work) -> bool:
        self._observe(move, work)
        return work.driver.may_append(self._clock.monotonic())

    def _declare_windows(self) -> None:
        """Declare due moves of the data centres that this instance owns."""
        if not self.is_log_up(self._clock.monotonic()):
            return
        for planned in plan_window_moves(self._catalog, self._clock.now()):
            if not self._is_owner("data-centre", planned.spec.data_centre):
                continue
            task = self._windows.get(planned.name)
            if task is None or task.done():
                work = self._declare_window(planned)
                self._windows[planned.name] = asyncio.ensure_future(work)

    async def _declare_window(self, planned: WindowMove) -> None:
        await self._records.append_once(
            f"window:{planned.name}",
            lambda change_id: Change(
                change_id=change_id,
                who=self._who,
                at=self._clock.now().timestamp(),
                action="put",
                kind="data-centre-move",
                name=planned.name,
                spec=planned.spec.to_plain(),
                expected_revision=ABSENT,
            ),
        )

    @property
    def _who(self) -> str:
        return f"{DRIVER_PREFIX}{self._fleet.instance}"

    def _is_owner(self, kind: str, name: str) -> bool:
        owner = find_owner(f"{kind}/{name}", self._fleet.list_live())
        return owner == self._fleet.instance

    def is_log_up(self, now: float) -> bool:
        """Tell whether the log has answered lately; moves hold while it has not."""
        read_at = self._fleet.log_read_at()
        return read_at is not None and now - read_at < self._times.log_silence_seconds


def _final_version(state: VersionMoveState) -> str:
    spec = state.spec
    return spec.new_version if state.phase == "finished" else spec.old_version
