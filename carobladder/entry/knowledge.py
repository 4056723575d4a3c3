"""What an instance knows of the operator's wishes and of the targets."""

from collections.abc import Callable
from functools import singledispatchmethod

from carobladder.clock import Clock
from carobladder.fleet import (
    ColdPacer,
    ConfigurationStated,
    DataCentreEmptied,
    OperatorRecord,
    RecordUnreadable,
    RolloutOrdered,
    TargetEntry,
    TargetTable,
)
from carobladder.routing import CallerLimits, RouteTable
from carobladder.telemetry import log_event

__all__ = ["Knowledge"]


class Knowledge:
    """Apply the records of operators and targets in the order of the store.

    ``renewal_seconds`` is the time in which a target renews its entry.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetTable,
        pacer: ColdPacer,
        renewal_seconds: float,
        on_limits: Callable[[CallerLimits], None],
    ) -> None:
        self.table: RouteTable | None = None
        self._clock = clock
        self._targets = targets
        self._pacer = pacer
        self._renewal_seconds = renewal_seconds
        self._on_limits = on_limits

    @singledispatchmethod
    def apply(self, record: OperatorRecord) -> None:
        """Take a record of the operator."""
        raise TypeError(f"no rule for {type(record).__name__}")

    @apply.register
    def _(self, record: ConfigurationStated) -> None:
        configuration = record.configuration
        before = self.table.configuration if self.table else None
        if before is not None and configuration.version < before.version:
            log_event(
                "older configuration ignored",
                version=configuration.version,
                in_force=before.version,
            )
            return
        self.table = RouteTable(configuration)
        log_event(
            "configuration in force",
            version=configuration.version,
            before=before.version if before else None,
            routes=len(configuration.routes),
            teams=len(configuration.teams),
        )
        self._on_limits(configuration.limits)

    @apply.register
    def _(self, record: DataCentreEmptied) -> None:
        self._targets.set_emptied(record.data_centre, record.emptied)
        log_event(
            "data centre emptied" if record.emptied else "data centre taken back",
            data_centre=record.data_centre,
        )

    @apply.register
    def _(self, record: RolloutOrdered) -> None:
        log_event("rollout ordered", service=record.service, version=record.version)

    @apply.register
    def _(self, record: RecordUnreadable) -> None:
        log_event("operator record unreadable", key=record.key, why=record.reason)

    def apply_entry(self, entry: TargetEntry | RecordUnreadable) -> None:
        """Take the entry of a target; an unreadable one names no target to use."""
        now = self._clock.monotonic()
        if isinstance(entry, RecordUnreadable):
            known = self._targets.discard(entry.key)
            log_event(
                "target entry unreadable",
                target=entry.key,
                known=known,
                why=entry.reason,
            )
            return
        before = self._targets.find(entry.target_id)
        self._log_entry(before.entry if before else None, entry)
        self._targets.apply(entry, now)

    def drop_target(self, target_id: str) -> None:
        """Take the removal of a target's entry."""
        gone = self._targets.drop(target_id, self._clock.monotonic())
        if gone:
            self._pacer.forget(target_id)
        log_event("target entry removed", target=target_id, gone=gone)

    def note_store_return(self, away_seconds: float) -> None:
        """Allow lapsed entries to come back after an outage that can lapse them."""
        if away_seconds > 2 * self._renewal_seconds:
            self._targets.note_store_return(self._clock.monotonic())

    def expire_targets(self) -> None:
        """Forget lapsed targets that did not come back in time."""
        for target_id in self._targets.expire(self._clock.monotonic()):
            self._pacer.forget(target_id)
            log_event("target gone", target=target_id, why="entry did not come back")

    def _log_entry(self, before: TargetEntry | None, entry: TargetEntry) -> None:
        log_event(
            "target entry changed" if before else "target seen",
            target=entry.target_id,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            version=entry.version,
            draining=entry.draining,
            cold_seconds=entry.cold_seconds,
        )
