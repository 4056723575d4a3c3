"""Routes, orders and targets as the records of the store define them."""

from collections.abc import Callable
from functools import singledispatchmethod

from carobladder.clock import Clock
from carobladder.fleet import (
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
    TargetRemovalDeferred,
    TargetSeen,
    emit,
)

__all__ = ["ControlState"]


class ControlState:
    """Routes and targets, updated from records in the order of the store.

    ``forget_target`` is called with the id of a target that is removed. Entries may
    expire in outages of the store longer than ``expiry_seconds``. ``on_order`` is
    called with each order of a version move, ``on_order_moved`` with one that is known
    and has got another offset, ``on_caller_limits`` with the limits on callers of each
    new configuration.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetTable,
        forget_target: Callable[[str], None],
        expiry_seconds: float,
        on_order: Callable[[RolloutOrder], None],
        on_order_moved: Callable[[RolloutOrder], None] = lambda order: None,
    ) -> None:
        self.table: RouteTable | None = None
        self.on_caller_limits: Callable[[CallerLimits], None] | None = None
        self._clock = clock
        self._targets = targets
        self._forget_target = forget_target
        self._expiry_seconds = expiry_seconds
        self._on_order = on_order
        self._on_order_moved = on_order_moved

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.table.configuration.version if self.table else 0

    @singledispatchmethod
    def apply(self, record: OperatorRecord) -> None:
        """Apply a record of the operator."""
        raise TypeError(f"unsupported type of record: {type(record).__name__}")

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
                teams=None if configuration.teams is None else len(configuration.teams),
                keys_added=len(keys - keys_before),
                keys_revoked=len(keys_before - keys),
            )
        )
        if self.on_caller_limits is not None:
            self.on_caller_limits(configuration.limits)

    @apply.register
    def _(self, record: DataCentreRecord) -> None:
        self._targets.set_emptied(record.data_centre, record.emptied)
        event_class = DataCentreClosed if record.emptied else DataCentreOpened
        emit(event_class(record.data_centre))

    @apply.register
    def _(self, record: RolloutOrder) -> None:
        self._on_order(record)

    @apply.register
    def _(self, record: UnreadableRecord) -> None:
        emit(OperatorRecordUnreadable(record.key, record.reason))

    def apply_moved(self, record: OperatorRecord) -> None:
        """Apply a known record of the operator that has got another offset."""
        if isinstance(record, RolloutOrder):
            self._on_order_moved(record)

    def apply_entry(self, entry: TargetEntry | UnreadableRecord) -> None:
        """Apply the entry of a target; an unreadable entry removes the target."""
        now = self._clock.monotonic()
        if isinstance(entry, UnreadableRecord):
            was_known = self._targets.discard(entry.key)
            emit(TargetEntryUnreadable(entry.key, was_known, entry.reason))
            return
        known_target = self._targets.find(entry.target_id)
        before = known_target.entry if known_target else None
        target = self._targets.apply(entry, now)
        emit(_build_target_event(before if target is known_target else None, entry))

    def remove_target(self, target_id: str) -> None:
        """Apply the removal of a target's entry."""
        now = self._clock.monotonic()
        if self._targets.drop(target_id, now):
            self._forget_target(target_id)
            emit(TargetGone(target_id, "its entry was removed"))
            return
        seconds = self._targets.read_removal_delay(target_id, now)
        if seconds:
            emit(TargetRemovalDeferred(target_id, round(seconds, 2)))

    def handle_store_recovery(self, outage_seconds: float) -> None:
        """Leave time to renew entries if the outage was long enough to expire them."""
        if outage_seconds > self._expiry_seconds:
            self._targets.note_store_return(self._clock.monotonic())

    def expire_targets(self) -> None:
        """Remove the targets whose expired entries were not renewed in time."""
        for target_id in self._targets.expire(self._clock.monotonic()):
            self._forget_target(target_id)
            emit(
                TargetGone(
                    target_id,
                    "its entry was not renewed in time after an outage of the store",
                )
            )


def _list_keys(configuration: Configuration) -> frozenset[str]:
    return frozenset(key for team in configuration.teams or () for key in team.keys)


def _build_target_event(before: TargetEntry | None, entry: TargetEntry) -> Event:
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
