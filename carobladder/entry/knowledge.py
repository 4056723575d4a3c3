"""What an instance knows of the operator's wishes and of the targets."""

from collections.abc import Callable
from functools import singledispatchmethod

from carobladder.clock import Clock
from carobladder.fleet import (
    ColdPacer,
    ConfigurationRecord,
    DataCentreRecord,
    OperatorRecord,
    RolloutOrder,
    TargetEntry,
    TargetTable,
    UnreadableRecord,
)
from carobladder.routing import CallerLimits, Configuration, RouteTable
from carobladder.telemetry import (
    ConfigurationIgnored,
    ConfigurationInForce,
    DataCentreClosed,
    DataCentreOpened,
    Event,
    OperatorRecordUnreadable,
    TargetChanged,
    TargetEntryUnreadable,
    TargetGone,
    TargetSeen,
    emit,
)

__all__ = ["Knowledge"]


class Knowledge:
    """Apply the records of operators and targets in the order of the store.

    ``renewal_seconds`` is the time in which a target renews its entry. ``on_limits``
    is told what callers may send.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetTable,
        pacer: ColdPacer,
        renewal_seconds: float,
        on_order: Callable[[RolloutOrder], None],
    ) -> None:
        self.table: RouteTable | None = None
        self.on_limits: Callable[[CallerLimits], None] | None = None
        self._clock = clock
        self._targets = targets
        self._pacer = pacer
        self._renewal_seconds = renewal_seconds
        self._on_order = on_order

    @singledispatchmethod
    def apply(self, record: OperatorRecord) -> None:
        """Take a record of the operator."""
        raise TypeError(f"no rule for {type(record).__name__}")

    @apply.register
    def _(self, record: ConfigurationRecord) -> None:
        configuration = record.configuration
        before = self.table.configuration if self.table else None
        if before is not None and configuration.version < before.version:
            emit(ConfigurationIgnored(configuration.version, before.version))
            return
        self.table = RouteTable(configuration)
        keys_before = _list_keys(before) if before else frozenset()
        keys = _list_keys(configuration)
        emit(
            ConfigurationInForce(
                version=configuration.version,
                before=before.version if before else None,
                routes=len(configuration.routes),
                services=len(configuration.services),
                teams=len(configuration.teams),
                keys_added=len(keys - keys_before),
                keys_revoked=len(keys_before - keys),
            )
        )
        if self.on_limits is not None:
            self.on_limits(configuration.limits)

    @apply.register
    def _(self, record: DataCentreRecord) -> None:
        self._targets.set_emptied(record.data_centre, record.emptied)
        kind = DataCentreClosed if record.emptied else DataCentreOpened
        emit(kind(record.data_centre))

    @apply.register
    def _(self, record: RolloutOrder) -> None:
        self._on_order(record)

    @apply.register
    def _(self, record: UnreadableRecord) -> None:
        emit(OperatorRecordUnreadable(record.key, record.reason))

    def apply_entry(self, entry: TargetEntry | UnreadableRecord) -> None:
        """Take the entry of a target; an unreadable one names no target to use."""
        now = self._clock.monotonic()
        if isinstance(entry, UnreadableRecord):
            known = self._targets.discard(entry.key)
            emit(TargetEntryUnreadable(entry.key, known, entry.reason))
            return
        known_target = self._targets.find(entry.target_id)
        before = known_target.entry if known_target else None
        target = self._targets.apply(entry, now)
        emit(_describe_entry(before if target is known_target else None, entry))

    def drop_target(self, target_id: str) -> None:
        """Take the removal of a target's entry."""
        if self._targets.drop(target_id, self._clock.monotonic()):
            self._pacer.forget(target_id)
            emit(TargetGone(target_id, "its entry was removed"))

    def note_store_return(self, away_seconds: float) -> None:
        """Allow lapsed entries to come back after an outage that can lapse them."""
        if away_seconds > 2 * self._renewal_seconds:
            self._targets.note_store_return(self._clock.monotonic())

    def expire_targets(self) -> None:
        """Forget lapsed targets that did not come back in time."""
        for target_id in self._targets.expire(self._clock.monotonic()):
            self._pacer.forget(target_id)
            emit(TargetGone(target_id, "its entry did not come back after an outage"))


def _list_keys(configuration: Configuration) -> frozenset[str]:
    return frozenset(key for team in configuration.teams for key in team.keys)


def _describe_entry(before: TargetEntry | None, entry: TargetEntry) -> Event:
    if before is None:
        return TargetSeen(
            target=entry.target_id,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            version=entry.version,
            draining=entry.draining,
            cold_seconds=entry.cold_seconds,
        )
    return TargetChanged(
        target=entry.target_id,
        service=entry.service,
        draining=entry.draining,
        draining_before=before.draining,
        cold_seconds=entry.cold_seconds,
        cold_seconds_before=before.cold_seconds,
    )
