"""Background task that drives the moves owned by this instance."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from carobladder.clients.engines import EngineClient, OrderOutcome
from carobladder.clients.log import Log
from carobladder.clock import Clock
from carobladder.exceptions import CarobladderError
from carobladder.instance.movecapacity import CapacityEstimator
from carobladder.instance.movemonitor import DeclaredMove, MoveMonitor, list_moves
from carobladder.instance.moverecords import RecordAppender
from carobladder.instance.movetargets import DRIVER_PREFIX, TargetReader
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

MoveKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class DriverTimes:
    """Intervals and timeouts of a driver, in seconds.

    ``order_seconds`` must be at least the timeout of an order, because an order that
    is in progress when the lease expires may still take effect.
    """

    tick_seconds: float = 0.5
    lease_seconds: float = 12.0
    order_seconds: float = 5.0
    # Interval after which a record without an outcome is appended again.
    resend_seconds: float = 2.0
    refusal_retry_seconds: float = 10.0
    # The log counts as unavailable if the last successful read is older than this.
    log_timeout_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """Access of a driver to the state of the fleet.

    ``instance`` is the id of this instance, ``list_live`` returns the ids of the live
    instances, and ``log_read_at`` the monotonic time of the last successful read of
    the log in seconds, None before the first.
    """

    instance: str
    list_live: Callable[[], Sequence[str]]
    log_read_at: Callable[[], float | None]


@dataclass(slots=True)
class _MoveContext:
    """State of one move on this instance.

    ``fenced`` maps each target to the fencing number that it last accepted from this
    instance.
    """

    driver: Driver
    lease_seen_at: float
    fenced: dict[str, int] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class MoveDriver:
    """Driver that claims the moves owned by this instance and executes their steps.

    The change id of each record, except claims, is derived from the revision that the
    record expects. If the response to an append is lost, the record is appended again
    under the same id and takes effect once.
    """

    driver_type: type[Driver] = Driver

    def __init__(
        self,
        fleet: FleetView,
        catalog: Catalog,
        log: Log,
        monitor: MoveMonitor,
        target_reader: TargetReader,
        engines: EngineClient,
        clock: Clock,
        times: DriverTimes | None = None,
    ) -> None:
        self._fleet = fleet
        self._catalog = catalog
        self._monitor = monitor
        self._target_reader = target_reader
        self._engines = engines
        self._clock = clock
        self._times = times or DriverTimes()
        self._contexts: dict[MoveKey, _MoveContext] = {}
        self._capacity = CapacityEstimator(catalog, target_reader, clock)
        self._records = RecordAppender(
            catalog,
            log,
            clock,
            self._times.resend_seconds,
            self._times.refusal_retry_seconds,
        )
        self._window_tasks: dict[str, asyncio.Task[None]] = {}
        self._newest_moves: dict[str, str] = {}
        self._claim_count = 0

    async def run(self) -> None:
        """Drive moves until cancelled."""
        try:
            while True:
                self.tick()
                await self._clock.sleep(self._times.tick_seconds)
        finally:
            tasks = [
                context.task for context in self._contexts.values() if context.task
            ]
            for task in [*tasks, *self._window_tasks.values()]:
                task.cancel()

    def tick(self) -> None:
        """Start the next iteration of each move whose last iteration has ended.

        Each move has its own task, so that a slow target of one move does not delay
        the lease of another.
        """
        if not self._catalog.loaded:
            return
        self._records.prune()
        moves = list_moves(self._catalog)
        self._newest_moves = {
            move.state.spec.model: move.name
            for move in moves
            if isinstance(move.state, VersionMoveState)
        }
        for move in moves:
            context = self._get_context(move)
            self._refresh_driver(move, context)
            if context.task is None or context.task.done():
                context.task = asyncio.ensure_future(self._run_iteration(move, context))
        declared_keys = {(move.kind, move.name) for move in moves}
        for key in [key for key in self._contexts if key not in declared_keys]:
            del self._contexts[key]
        self._declare_windows()

    def describe(self, kind: str, name: str) -> dict[str, Any]:
        """Return the state of a move's driver for operators."""
        context = self._contexts.get((kind, name))
        if context is None:
            return {}
        now = self._clock.monotonic()
        status = context.driver.status(self._is_owner(kind, name), now)
        if not self.is_log_available(now):
            status = DriverStatus.HELD_BY_LOG
        elif status is DriverStatus.NOT_OWNER and self._is_lease_fresh(context, now):
            # Another instance drives the move, as its lease in the log shows.
            status = DriverStatus.DRIVING
        return {"driver_state": status.value}

    def _get_context(self, move: DeclaredMove) -> _MoveContext:
        key = (move.kind, move.name)
        context = self._contexts.get(key)
        if context is None:
            times = self._times
            driver = self.driver_type(
                describe_lease(move.name, move.progress),
                self._fleet.instance,
                times.lease_seconds,
                times.order_seconds,
            )
            context = self._contexts[key] = _MoveContext(
                driver, self._clock.monotonic()
            )
        return context

    def _refresh_driver(self, move: DeclaredMove, context: _MoveContext) -> None:
        """Update the driver with the newest lease and the availability of the log."""
        progress = self._catalog.get_progress(move.kind, move.name)
        now = self._clock.monotonic()
        if progress is not None:
            view = describe_lease(move.name, progress)
            if view.offset != context.driver.view.offset:
                context.lease_seen_at = now
            context.driver.observe(view, now)
        context.driver.note_log(self.is_log_available(now))

    async def _run_iteration(self, move: DeclaredMove, context: _MoveContext) -> None:
        try:
            await self._drive(move, context)
        except CarobladderError as error:
            log_event("move_turn_failed", move=move.name, error=error)

    async def _drive(self, move: DeclaredMove, context: _MoveContext) -> None:
        if not self._is_owner(move.kind, move.name) or not self._needs_driver(move):
            return
        now = self._clock.monotonic()
        if context.driver.needs_claim(True, now) and self._may_claim(context, now):
            await self._claim(move, context)
        if not context.driver.may_append(self._clock.monotonic()):
            return
        if isinstance(move.state, VersionMoveState):
            await self._drive_version(move, move.state, context)
        else:
            await self._drive_data_centre(move, move.state, context)

    def _needs_driver(self, move: DeclaredMove) -> bool:
        """Return whether a move needs a driver.

        An ended move still does while some targets have not reached its final version.
        """
        if not move.ended:
            return True
        state = move.state
        if not isinstance(state, VersionMoveState):
            return False
        return self._newest_moves.get(state.spec.model) == move.name and any(
            target.version != _find_final_version(state) or target.leaving
            for target in self._list_changeable(state)
        )

    def _list_changeable(self, state: VersionMoveState) -> list[TargetView]:
        """Return the targets that an ended move may still change.

        These exclude targets that an operator has changed since the last step of the
        move or has marked as leaving.
        """
        views = [
            self._target_reader.make_view(target, None)
            for target in self._target_reader.list_pool(state.spec.model)
        ]
        return [
            view
            for view in views
            if view.by_driver or (not view.leaving and view.revision <= state.revision)
        ]

    def _may_claim(self, context: _MoveContext, now: float) -> bool:
        """Return whether no other live instance holds a fresh lease of the move.

        While instances disagree about the owner, two of them would otherwise take
        the lease from each other in every iteration.
        """
        holder = context.driver.view.holder
        if holder in ("", self._fleet.instance):
            return True
        return holder not in self._fleet.list_live() or not self._is_lease_fresh(
            context, now
        )

    def _is_lease_fresh(self, context: _MoveContext, now: float) -> bool:
        is_held = bool(context.driver.view.holder)
        return is_held and now - context.lease_seen_at < self._times.lease_seconds

    async def _claim(self, move: DeclaredMove, context: _MoveContext) -> None:
        self._claim_count += 1
        at = self._clock.now().timestamp()
        change_id = f"{move.name}:lease:{self._fleet.instance}:{at}:{self._claim_count}"
        claim = context.driver.claim(change_id, self._clock.monotonic())
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
        self, move: DeclaredMove, state: VersionMoveState, context: _MoveContext
    ) -> None:
        targets = self._target_reader.list_pool(state.spec.model)
        views = await self._target_reader.read_views(targets)
        situation = replace(
            summarise_new_version(state, views),
            verdict=self._monitor.find_verdict(move.name),
            step_requests=self._monitor.count_step_requests(state),
            intent=move.intent,
        )
        now = self._clock.now()
        step = decide_version_step(state, situation, now)
        if step is not None:
            await self._append_step(move, context, step.phase, step.step, step.reason)
            return
        by_name = {target.name: target for target in targets}
        for switch in plan_switches(state, views, now):
            await self._apply_switch(move, context, switch, by_name[switch.target_id])

    async def _drive_data_centre(
        self, move: DeclaredMove, state: DataCentreMoveState, context: _MoveContext
    ) -> None:
        data_centre = state.spec.data_centre
        views = await self._target_reader.read_views(
            self._target_reader.list_data_centre(data_centre)
        )
        ready = [view for view in views if view.ready]
        situation = DataCentreConditions(
            in_flight=sum(view.in_flight for view in views),
            ready_share=len(ready) / len(views) if views else 0.0,
            admissible_share=self._capacity.find_admissible_share(data_centre, ready),
            verdict=self._monitor.find_verdict(move.name),
            load_fits_elsewhere=self._capacity.can_leave(data_centre),
            intent=move.intent,
        )
        step = decide_data_centre_step(state, situation, self._clock.now())
        if step is not None:
            await self._append_step(move, context, step.phase, step.step, step.reason)

    async def _append_step(
        self,
        move: DeclaredMove,
        context: _MoveContext,
        phase: str,
        step: int,
        reason: str,
    ) -> None:
        if not self._may_append(move, context):
            return
        revision = move.progress.revision
        await self._records.append_once(
            f"{move.name}:{revision}:{phase}:{step}",
            lambda change_id: MoveStep(
                change_id=change_id,
                who=self._author,
                at=self._clock.now().timestamp(),
                kind=move.kind,
                name=move.name,
                expected_revision=revision,
                state=phase,
                step=step,
                detail=reason,
            ),
        )

    async def _apply_switch(
        self,
        move: DeclaredMove,
        context: _MoveContext,
        switch: VersionSwitch,
        target: Resource,
    ) -> None:
        spec = target.spec
        assert isinstance(spec, TargetSpec)
        if switch.action is SwitchAction.LOAD:
            await self._send_order(move, context, switch, target.name, spec)
        elif self._may_append(move, context):
            leaving = switch.action is SwitchAction.LEAVE
            version = spec.version if leaving else switch.version
            changed = spec.model_copy(update={"leaving": leaving, "version": version})
            await self._records.append_once(
                f"{move.name}:{target.name}:{target.revision}:{switch.action}",
                lambda change_id: Change(
                    change_id=change_id,
                    who=self._author,
                    at=self._clock.now().timestamp(),
                    action="put",
                    kind="target",
                    name=target.name,
                    spec=changed.to_plain(),
                    expected_revision=target.revision,
                ),
            )

    async def _send_order(
        self,
        move: DeclaredMove,
        context: _MoveContext,
        switch: VersionSwitch,
        name: str,
        spec: TargetSpec,
    ) -> None:
        """Order a target to load a version, or first to prefetch it.

        A target that checks fencing numbers first gets a prefetch order, which has no
        effect on traffic. After it, the target rejects orders of earlier drivers, so
        that they cannot change the state that this driver has read.
        """
        self._refresh_driver(move, context)
        fenced = context.fenced.get(name) == context.driver.fencing
        action = "load" if fenced or not spec.checks_fencing else "prefetch"
        target = OrderTarget(name, spec.checks_fencing)
        now = self._clock.monotonic()
        order = context.driver.make_order(target, action, switch.version, now)
        if order is None:
            return
        outcome = await self._engines.send_order(
            spec.address, order.fencing, order.action, order.version
        )
        if outcome is OrderOutcome.ACCEPTED:
            context.fenced[name] = order.fencing
            return
        log_event("move_order_failed", target=name, outcome=outcome.value)

    def _may_append(self, move: DeclaredMove, context: _MoveContext) -> bool:
        self._refresh_driver(move, context)
        return context.driver.may_append(self._clock.monotonic())

    def _declare_windows(self) -> None:
        """Declare moves due for maintenance windows of data centres owned here."""
        if not self.is_log_available(self._clock.monotonic()):
            return
        for planned in plan_window_moves(self._catalog, self._clock.now()):
            if not self._is_owner("data-centre", planned.spec.data_centre):
                continue
            task = self._window_tasks.get(planned.name)
            if task is None or task.done():
                declaration = self._declare_window(planned)
                self._window_tasks[planned.name] = asyncio.ensure_future(declaration)

    async def _declare_window(self, planned: WindowMove) -> None:
        await self._records.append_once(
            f"window:{planned.name}",
            lambda change_id: Change(
                change_id=change_id,
                who=self._author,
                at=self._clock.now().timestamp(),
                action="put",
                kind="data-centre-move",
                name=planned.name,
                spec=planned.spec.to_plain(),
                expected_revision=ABSENT,
            ),
        )

    @property
    def _author(self) -> str:
        return f"{DRIVER_PREFIX}{self._fleet.instance}"

    def _is_owner(self, kind: str, name: str) -> bool:
        owner = find_owner(f"{kind}/{name}", self._fleet.list_live())
        return owner == self._fleet.instance

    def is_log_available(self, now: float) -> bool:
        """Return whether the log was read recently; moves are held while it was not."""
        read_at = self._fleet.log_read_at()
        return read_at is not None and now - read_at < self._times.log_timeout_seconds


def _find_final_version(state: VersionMoveState) -> str:
    spec = state.spec
    return spec.new_version if state.phase == "finished" else spec.old_version
