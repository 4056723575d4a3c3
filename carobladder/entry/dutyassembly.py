"""Construction of the duties of an instance from its settings."""

import random
from dataclasses import dataclass

from carobladder.clients.http import HttpClient
from carobladder.clock import Clock
from carobladder.duties import (
    DutyLease,
    Election,
    FleetTime,
    UsageCollection,
    UsageCounter,
    UsageTimes,
)
from carobladder.entry.duties import (
    ELECTION_INTERVAL_SECONDS,
    USAGE_DUTY,
    DutyKeeper,
    DutyParts,
)
from carobladder.entry.dutysharing import DutySharing
from carobladder.entry.dutyterm import CallTimes, DutyTerm, DutyTopic, TermParts
from carobladder.entry.scaling import SCALING_DUTY, ScalingSources, TargetScaler
from carobladder.entry.usage import UsageReporter
from carobladder.eras import EraMonitor
from carobladder.fleet import PeerDirectory, ShareLedger
from carobladder.platform.cloudapi import CloudApi
from carobladder.settings.entry import EntrySettings
from carobladder.telemetry import DutyMetrics, ForwardMetrics

__all__ = ["DutySurroundings", "build_duties"]

_MS_PER_SECOND = 1000.0
_RUN_BITS = 32
# Longest time of a call, as a part of the lease: time is left for a second one.
_CALL_SECONDS = 1.0
_MAX_CALL_PART = 0.35


@dataclass(frozen=True, slots=True)
class DutySurroundings:
    """Components of an instance that the duties use."""

    topic: DutyTopic
    client: HttpClient
    ledger: ShareLedger
    peers: PeerDirectory
    eras: EraMonitor
    sharing: DutySharing
    metrics: ForwardMetrics
    clock: Clock
    generator: random.Random
    scaling: ScalingSources


def _is_duty_set(settings: EntrySettings, duty: str) -> bool:
    """Return whether this fleet performs a duty."""
    named = {name.strip() for name in settings.duties.split(",")} - {""}
    return settings.api_address is not None and (not named or duty in named)


def build_duties(
    settings: EntrySettings, surroundings: DutySurroundings
) -> DutyKeeper | None:
    """Return the duties, or None if the settings name no API."""
    if settings.api_address is None:
        return None
    clock, generator = surroundings.clock, surroundings.generator
    run = generator.getrandbits(_RUN_BITS)
    lease_seconds = settings.duty_lease_ms / _MS_PER_SECOND
    call_seconds = min(_CALL_SECONDS, _MAX_CALL_PART * lease_seconds)
    times = UsageTimes(
        settings.usage_window_seconds,
        settings.usage_late_seconds,
        settings.usage_tolerance,
    )
    time = FleetTime(clock)
    counter = UsageCounter(time, settings.usage_window_seconds)
    sharing = surroundings.sharing
    metrics = DutyMetrics(surroundings.metrics.registry)
    term_parts = TermParts(
        DutyLease(settings.instance, run, lease_seconds),
        Election(surroundings.ledger, ELECTION_INTERVAL_SECONDS),
        time,
        counter,
        sharing,
        surroundings.topic,
        surroundings.eras,
        metrics,
    )
    # Half of the rate that the platform accepts, as a former holder may still send.
    calls = CallTimes(call_seconds, 2.0 / settings.api_calls_per_second)
    term = DutyTerm(term_parts, settings.instance, calls, clock)
    api = CloudApi(surroundings.client, settings.api_address, call_seconds)
    parts = DutyParts(
        term=term,
        time=time,
        counter=counter,
        collection=UsageCollection(times),
        reporter=UsageReporter(
            counter, time, sharing, settings.instance, run, clock, generator
        ),
        sharing=sharing,
        api=api,
        peers=surroundings.peers,
        metrics=metrics,
    )
    keeper = DutyKeeper(
        parts,
        settings.instance,
        run,
        times,
        clock,
        reports_usage=_is_duty_set(settings, USAGE_DUTY),
    )
    if _is_duty_set(settings, SCALING_DUTY):
        scaler = TargetScaler(term, api, surroundings.scaling, clock)
        keeper.extra_duty = scaler.run_due
    surroundings.metrics.add_gauge(
        "duty_token",
        "Fencing token of this instance as the holder of the duties, or 0",
        lambda: float(keeper.token or 0),
    )
    return keeper
