"""Readiness and metrics endpoints of an instance."""

from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.entry.assembly import InstanceParts
from carobladder.exceptions import NotReadyError
from carobladder.fleet import find_slowest
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.telemetry import ForwardMetrics

__all__ = ["METRICS_PATH", "StatusHandler", "add_gauges"]

METRICS_PATH = "/metrics"
# Targets whose slowness is shown, the slowest first.
_MAX_SHOWN_TARGETS = 50
_TEXT_HEADERS = (("Content-Type", "text/plain; charset=utf-8"),)


class StatusHandler:
    """Handler that serves the metrics on their path and the readiness on others."""

    def __init__(self, metrics: ForwardMetrics, is_ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._is_ready = is_ready

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer 200, or 503 while the instance is not ready for callers."""
        if request.path == METRICS_PATH:
            headers = (("Content-Type", self._metrics.content_type),)
            await responder.send_answer(Answer(200, headers, self._metrics.render()))
            return
        if not self._is_ready():
            raise NotReadyError(
                "the instance is starting, draining or has outdated records"
            )
        await responder.send_answer(Answer(200, _TEXT_HEADERS, b"ready\n"))


def add_gauges(
    parts: InstanceParts, clock: Clock, is_ready: Callable[[], bool]
) -> None:
    """Add the gauges of an instance: its state and the age of what it relies on."""
    add = parts.metrics.add_gauge

    def read_version() -> int:
        table = parts.control_state.table
        return table.configuration.version if table else 0

    add("configuration_version", "Version in force", read_version)
    add(
        "operator_records_age_seconds",
        "Age of the newest proof that all records of the operator are known",
        lambda: parts.operator_follower.freshness.age(clock.boottime()),
    )
    add(
        "target_entries_age_seconds",
        "Age of the newest proof that all entries of targets are known",
        lambda: parts.targets_follower.freshness.age(clock.boottime()),
    )
    add(
        "target_loads_age_seconds",
        "Age of the oldest load that is used for the choice of targets",
        lambda: _find_oldest_load_age(parts, clock.monotonic()),
    )
    add(
        "retries_left",
        "Repeats left in the service that has the fewest",
        parts.budgets.count_left,
    )
    add(
        "peer_messages_dropped",
        "Datagrams that no known instance has sent in this form",
        lambda: parts.exchange.dropped,
    )
    add(
        "peer_delta_bytes",
        "Bytes of long values that were sent to other instances",
        lambda: parts.exchange.packer.sent_delta_bytes,
    )
    add(
        "peer_runs_rejected",
        "Runs of records of other instances whose long values could not be restored",
        lambda: parts.exchange.packer.rejected_runs,
    )
    add("targets", "Registered targets", lambda: len(parts.targets))
    add(
        "quarantined_parts",
        "Parts of prompts whose requests are refused, since they crash targets",
        parts.quarantine.count_held,
    )
    parts.metrics.add_target_gauge(
        "target_slowness",
        lambda: find_slowest(
            parts.targets.list_all(), _MAX_SHOWN_TARGETS, clock.monotonic()
        ),
    )
    add("fleet_share", "Held part of sums", lambda: parts.ledger.share)
    add("ready", "Whether callers may be sent here", lambda: float(is_ready()))


def _find_oldest_load_age(parts: InstanceParts, now: float) -> float:
    health = [target.health for target in parts.targets.list_all()]
    used = [item for item in health if item.estimate_load(now) is not None]
    reported = [item.read_latest_load(now) for item in used]
    return max((age for _, age in filter(None, reported)), default=0.0)
