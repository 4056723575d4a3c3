"""Policies of how often the topics of the store are read."""

import math
from dataclasses import dataclass

__all__ = [
    "ReadPolicy",
    "build_instances_policy",
    "build_operator_policy",
    "build_targets_policy",
    "compute_expiry_seconds",
]

# Longest wait that the store allows for a read.
_WAIT_SECONDS = 30.0
# Ages of the last proof at which an instance reads the store, as fractions of the time
# in which a revoked key must be refused everywhere.
_REVOCATION_READER_FRACTION = 0.35
_REVOCATION_PASSIVE_FRACTION = 0.6
# The same, of the time in which a configuration must be in force everywhere.
_CONFIGURATION_READER_FRACTION = 0.5
_CONFIGURATION_PASSIVE_FRACTION = 0.7
_OPERATOR_BATCH_SECONDS = 0.2
# Long values are sent as deltas or compressed; what does not fit in a datagram then is
# read by each instance.
_OPERATOR_ANSWER_BYTES = 16_777_216
# The same and the batch interval, of the time in which requests to a draining target
# must end.
_TARGETS_READER_FRACTION = 0.5
_TARGETS_PASSIVE_FRACTION = 0.7
_TARGETS_BATCH_FRACTION = 0.15
# An entry expires after three missed renewals, the first of which may have been due as
# the outage began.
_RENEWALS_BEFORE_EXPIRY = 2.0
# Delay after which a read that is due is made a second time, as a fraction of the time
# in which its records must be in force. The first read comes late in that time, so
# together with the longest pause after a failure it would pass its end.
_SECOND_READ_FRACTION = 0.15
# Time for a record to arrive from a peer once its offset is known, before it is read.
_CATCH_UP_DELAY_SECONDS = 0.25
# The same for large records, of the time in which they must be in force.
_CATCH_UP_FRACTION = 0.15
_INSTANCES_BATCH_SECONDS = 8.0
# No decision depends on these records, so peers have time to send them.
_INSTANCES_PASSIVE_SECONDS = 30.0
_INSTANCES_CATCH_UP_DELAY_SECONDS = 3.0
# Instances that start together announce themselves within this time.
_INSTANCES_SECOND_READ_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class ReadPolicy:
    """Policy of how often readers and passive instances read a topic.

    Readers read on behalf of the fleet; passive instances rely on what their peers
    send. Without the two ages, each instance is a reader and makes waiting reads only.

    - ``wait_seconds``: how long a reader's read waits for records.
    - ``batch_seconds``: about how long a reader pauses after a change.
    - ``reader_age_seconds``: age of the last proof that all records are known at which
      a reader reads without waiting.
    - ``passive_age_seconds``: the same for a passive instance.
    - ``catch_up_delay_seconds``: how long records that a peer knows may be missing
      before they are read.
    - ``second_read_delay_seconds``: delay from the first read to the second; 0 for no
      second read.
    - ``max_answer_bytes``: size of the records in an answer to another instance.
    - ``repeat_seconds``: delay after which a read without an answer is made a second
      time; after an error it is made at once. 0 for no second attempt.
    - ``expiry_seconds``: length of an outage of the store from which on records that
      could not be renewed may expire.
    - ``needs_settled_era``: whether a read of a restored store is no proof that all
      records are known while lost ones may still be written again.
    - ``keeps_lost_keys``: whether keys that a restored store has lost stay known, as
      only instances write them.
    """

    wait_seconds: float
    batch_seconds: float
    reader_age_seconds: float | None = None
    passive_age_seconds: float | None = None
    catch_up_delay_seconds: float = 0.2
    second_read_delay_seconds: float = 0.0
    max_answer_bytes: int = 4096
    repeat_seconds: float = 0.0
    expiry_seconds: float = math.inf
    needs_settled_era: bool = False
    keeps_lost_keys: bool = False

    @property
    def keys_expire(self) -> bool:
        """Whether keys that their writers do not renew are removed."""
        return math.isfinite(self.expiry_seconds)


def build_operator_policy(
    revocation_seconds: float, configuration_seconds: float
) -> ReadPolicy:
    """Return the policy for the operators' records, such as configurations."""
    return ReadPolicy(
        wait_seconds=_WAIT_SECONDS,
        batch_seconds=_OPERATOR_BATCH_SECONDS,
        reader_age_seconds=min(
            revocation_seconds * _REVOCATION_READER_FRACTION,
            configuration_seconds * _CONFIGURATION_READER_FRACTION,
        ),
        passive_age_seconds=min(
            revocation_seconds * _REVOCATION_PASSIVE_FRACTION,
            configuration_seconds * _CONFIGURATION_PASSIVE_FRACTION,
        ),
        # A large datagram may be lost, and takes time on a narrow link.
        catch_up_delay_seconds=max(
            _CATCH_UP_DELAY_SECONDS,
            _CATCH_UP_FRACTION * min(revocation_seconds, configuration_seconds),
        ),
        max_answer_bytes=_OPERATOR_ANSWER_BYTES,
        needs_settled_era=True,
        repeat_seconds=_SECOND_READ_FRACTION
        * min(revocation_seconds, configuration_seconds),
    )


def build_targets_policy(drain_seconds: float, renewal_seconds: float) -> ReadPolicy:
    """Return the policy for the targets' entries, which show which of them drain.

    ``renewal_seconds`` is the interval in which a target renews its entry.
    """
    return ReadPolicy(
        wait_seconds=_WAIT_SECONDS,
        batch_seconds=drain_seconds * _TARGETS_BATCH_FRACTION,
        reader_age_seconds=drain_seconds * _TARGETS_READER_FRACTION,
        passive_age_seconds=drain_seconds * _TARGETS_PASSIVE_FRACTION,
        catch_up_delay_seconds=_CATCH_UP_DELAY_SECONDS,
        repeat_seconds=drain_seconds * _SECOND_READ_FRACTION,
        expiry_seconds=compute_expiry_seconds(renewal_seconds),
    )


def compute_expiry_seconds(renewal_seconds: float) -> float:
    """Return the length of an outage from which on entries may expire."""
    return renewal_seconds * _RENEWALS_BEFORE_EXPIRY


def build_instances_policy() -> ReadPolicy:
    """Return the policy for the announcements of instances.

    Passive instances read them only at the start; readers send later ones to them.
    """
    return ReadPolicy(
        wait_seconds=_WAIT_SECONDS,
        batch_seconds=_INSTANCES_BATCH_SECONDS,
        passive_age_seconds=_INSTANCES_PASSIVE_SECONDS,
        catch_up_delay_seconds=_INSTANCES_CATCH_UP_DELAY_SECONDS,
        second_read_delay_seconds=_INSTANCES_SECOND_READ_SECONDS,
        keeps_lost_keys=True,
    )
