"""Construction of the followers of the topics of the platform's store."""

import random
from collections.abc import Callable, Sequence

from carobladder.clock import Clock
from carobladder.eras import ConfigurationBackup, EraMonitor
from carobladder.fleet import ConfigurationRecord, KeyedRecord
from carobladder.platform.documents import decode_operator_record, decode_target_entry
from carobladder.platform.names import (
    CONFIGURATION_KEY,
    INSTANCES_TOPIC,
    OPERATOR_TOPIC,
    TARGETS_TOPIC,
)
from carobladder.platform.store import KeyedTopic, PlatformStore
from carobladder.settings.entry import EntrySettings
from carobladder.topics.control_state import ControlState
from carobladder.topics.followers import TopicFollower
from carobladder.topics.paces import (
    ReadPolicy,
    build_instances_policy,
    build_operator_policy,
    build_targets_policy,
)
from carobladder.topics.recentvalues import RecentValues
from carobladder.topics.superseding import ConfigurationSelector, RecordSelector

__all__ = ["FollowerBuilder", "apply_configuration_value"]

_MS_PER_SECOND = 1000.0


class FollowerBuilder:
    """Builder of the followers of one instance."""

    def __init__(
        self,
        settings: EntrySettings,
        store: PlatformStore,
        clock: Clock,
        generator: random.Random,
        is_reader: Callable[[], bool],
        eras: EraMonitor,
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._generator = generator
        self._is_reader = is_reader
        self._eras = eras

    def build_operator(
        self,
        control_state: ControlState,
        backup: ConfigurationBackup,
        on_recovery: Callable[[float], None],
        values: RecentValues,
    ) -> TopicFollower:
        """Build the follower of the operators' records.

        ``values`` gets each configuration that is put in force.
        """
        selector = ConfigurationSelector(lambda: control_state.version)

        def apply_record(record: KeyedRecord) -> None:
            decoded = selector.decode(record)
            control_state.apply(decoded)
            if record.value is None or not isinstance(decoded, ConfigurationRecord):
                return
            if decoded.configuration.version == control_state.version:
                backup.note_applied(record.value)
                values.note(record.value)

        policy = build_operator_policy(
            self._settings.key_revocation_ms / _MS_PER_SECOND,
            self._settings.configuration_ms / _MS_PER_SECOND,
        )
        return self._build(
            "operator",
            OPERATOR_TOPIC,
            policy,
            apply_record,
            on_recovery,
            lambda record: control_state.apply_moved(selector.decode(record)),
            selector,
        )

    def build_targets(self, control_state: ControlState) -> TopicFollower:
        """Build the follower of the targets' entries."""

        def apply_record(record: KeyedRecord) -> None:
            if record.value is None:
                control_state.remove_target(record.key)
            else:
                control_state.apply_entry(decode_target_entry(record.key, record.value))

        policy = build_targets_policy(
            self._settings.drain_notice_ms / _MS_PER_SECOND,
            self._settings.entry_renewal_ms / _MS_PER_SECOND,
        )
        return self._build(
            "targets",
            TARGETS_TOPIC,
            policy,
            apply_record,
            control_state.handle_store_recovery,
        )

    def build_instances(
        self,
        appliers: Sequence[Callable[[KeyedRecord], bool]],
        apply_other: Callable[[KeyedRecord], None],
    ) -> TopicFollower:
        """Build the follower of the records of instances.

        Each of ``appliers`` returns whether the record was its own.
        """

        def apply_record(record: KeyedRecord) -> None:
            if not any(apply(record) for apply in appliers):
                apply_other(record)

        return self._build(
            "instances",
            INSTANCES_TOPIC,
            build_instances_policy(),
            apply_record,
            lambda outage_seconds: None,
        )

    def _build(
        self,
        name: str,
        topic: str,
        policy: ReadPolicy,
        apply_record: Callable[[KeyedRecord], None],
        on_recovery: Callable[[float], None],
        on_moved: Callable[[KeyedRecord], None] | None = None,
        selector: RecordSelector | None = None,
    ) -> TopicFollower:
        return TopicFollower(
            name,
            KeyedTopic(self._store, topic),
            self._clock,
            policy,
            apply_record,
            on_recovery,
            self._generator,
            self._is_reader,
            self._eras,
            on_moved,
            selector,
        )


def apply_configuration_value(control_state: ControlState, value: bytes) -> None:
    """Apply a configuration as operators write it."""
    record = KeyedRecord(0, CONFIGURATION_KEY, value)
    control_state.apply(decode_operator_record(record))
