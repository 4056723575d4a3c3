"""How often the topics of the store are read, from the bounds of a deployment."""

from dataclasses import dataclass

__all__ = [
    "ReadingPace",
    "plan_instances_pace",
    "plan_operator_pace",
    "plan_targets_pace",
]

# Longest wait that the store allows for a read.
_WAIT_SECONDS = 30.0
# Parts of the time in which a revoked key must be refused everywhere.
_REVOCATION_READER_PART = 0.35
_REVOCATION_LISTENER_PART = 0.6
# Parts of the time in which a configuration must be in force everywhere.
_CONFIGURATION_READER_PART = 0.5
_CONFIGURATION_LISTENER_PART = 0.7
_OPERATOR_COLLECT_SECONDS = 0.2
# A configuration of some hundred routes, which is packed for a datagram. Larger ones
# are read by each instance.
_OPERATOR_TOLD_BYTES = 131_072
# Parts of the time in which requests to a draining target must end.
_TARGETS_READER_PART = 0.5
_TARGETS_LISTENER_PART = 0.7
_TARGETS_COLLECT_PART = 0.15
# An instance that others tell of a record waits so long for the record itself.
_CATCH_UP_SECONDS = 0.25
_INSTANCES_COLLECT_SECONDS = 8.0
# Nothing is decided by these records, so others have time to tell them.
_INSTANCES_LISTENER_SECONDS = 30.0
_INSTANCES_CATCH_UP_SECONDS = 3.0
# Instances that start together announce themselves within this time.
_INSTANCES_SETTLE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """Say how often a topic is read.

    A reader's read waits ``wait_seconds`` for records; after a change about
    ``collect_seconds`` pass before the next read. A reader reads without waiting when
    its knowledge is ``reader_age_seconds`` old, any other instance only when it is
    ``listener_age_seconds`` old or ``catch_up_seconds`` after another instance told of
    a record that it lacks. Without these ages each instance is a reader whose only
    reads are those that wait. The second read follows ``settle_seconds`` after the
    first, unless 0. An answer to another instance carries records of up to
    ``told_bytes``. ``records_lapse`` says that the store drops records which were not
    renewed, also during an outage.
    """

    wait_seconds: float
    collect_seconds: float
    reader_age_seconds: float | None = None
    listener_age_seconds: float | None = None
    catch_up_seconds: float = 0.2
    settle_seconds: float = 0.0
    told_bytes: int = 4096
    records_lapse: bool = False


def plan_operator_pace(
    revocation_seconds: float, configuration_seconds: float
) -> ReadingPace:
    """Return the pace for the operators' records: configurations and their keys."""
    return ReadingPace(
        wait_seconds=_WAIT_SECONDS,
        collect_seconds=_OPERATOR_COLLECT_SECONDS,
        reader_age_seconds=min(
            revocation_seconds * _REVOCATION_READER_PART,
            configuration_seconds * _CONFIGURATION_READER_PART,
        ),
        listener_age_seconds=min(
            revocation_seconds * _REVOCATION_LISTENER_PART,
            configuration_seconds * _CONFIGURATION_LISTENER_PART,
        ),
        catch_up_seconds=_CATCH_UP_SECONDS,
        told_bytes=_OPERATOR_TOLD_BYTES,
    )


def plan_targets_pace(drain_seconds: float) -> ReadingPace:
    """Return the pace for the targets' entries, which tell of draining ones."""
    return ReadingPace(
        wait_seconds=_WAIT_SECONDS,
        collect_seconds=drain_seconds * _TARGETS_COLLECT_PART,
        reader_age_seconds=drain_seconds * _TARGETS_READER_PART,
        listener_age_seconds=drain_seconds * _TARGETS_LISTENER_PART,
        catch_up_seconds=_CATCH_UP_SECONDS,
        records_lapse=True,
    )


def plan_instances_pace() -> ReadingPace:
    """Return the pace for the announcements of instances.

    What comes later than the start is told by the readers of the store.
    """
    return ReadingPace(
        wait_seconds=_WAIT_SECONDS,
        collect_seconds=_INSTANCES_COLLECT_SECONDS,
        listener_age_seconds=_INSTANCES_LISTENER_SECONDS,
        catch_up_seconds=_INSTANCES_CATCH_UP_SECONDS,
        settle_seconds=_INSTANCES_SETTLE_SECONDS,
    )
