"""I4 over a whole version move in virtual time."""

import math
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

from returns.pipeline import is_successful

from benchmarks import move_versions
from benchmarks.move_versions import KINDS, Harm, VersionRun
from carobladder.moves.evidence import Verdict
from carobladder.moves.records import MoveRecord
from carobladder.moves.versions import (
    VersionPhase,
    apply_version_record,
    effective_share,
)
from tests.faults.cells import Injection, Row, Run
from tests.faults.columns import VERSION_FAULTS

RATE = 20.0
# A bad version may serve this share of the requests until its faults show.
SHARE_BOUND = 0.05
EXPOSED_MIN = 60
# Instances learn of a verdict within a report and its delay.
KNOWN_SECONDS = 5.0
_ENDED = (VersionPhase.FINISHED, VersionPhase.ROLLED_BACK)


class _Finding(Exception):  # noqa: N818 - ends a run early
    """End a run that broke the invariant."""


class FaultRun(VersionRun):
    """Inject faults of fleet and log around the time when the version is bad."""

    def __init__(self, placed: Sequence[Injection], seed: int, run: Run) -> None:
        bad = [VERSION_FAULTS[i.fault] for i in placed if i.fault in VERSION_FAULTS]
        base = ("fails at once", "slow at once")[seed % 2]
        self.kind = bad[0] if bad else base
        super().__init__(self.kind, seed, RATE)
        self.fault_run = run
        run.injected += len(bad)
        self.planned = [item for item in placed if item.fault not in VERSION_FAULTS]
        self.outage = (math.inf, math.inf)
        self.extra_lag = 0.0
        self.report_lag = 0.0
        self.lose_until = 0.0
        self.race_until = 0.0

    def _plan_outage(self) -> tuple[float, float]:
        return (math.inf, math.inf)

    def _log_is_down(self) -> bool:
        return self.outage[0] <= self._now < self.outage[1]

    def _combine(self, arm: str, route: str, share: float, noise: Harm) -> Harm:
        harm = super()._combine(arm, route, share, noise)
        result = self._result
        if result.harm_from is not None and self.planned:
            delay = self._random.uniform(0.0, 8.0)
            for item in self.planned:
                self._after(delay, lambda i=item: self._inject(i.fault))
                delay += self._random.uniform(0.0, 8.0)
            self.planned = []
        exposed = result.exposed
        if arm == "v2" and exposed > max(EXPOSED_MIN, SHARE_BOUND * result.requests):
            raise _Finding(f"{exposed} of {result.requests} requests met the fault")
        known = result.detected_at
        if arm == "v2" and known is not None and self._now > known + KNOWN_SECONDS:
            seconds = self._now - known
            raise _Finding(f"a request {seconds:.1f} s after the fault was shown")
        return harm

    def _inject(self, fault: str) -> None:
        self.fault_run.injected += 1
        _ACTIONS[fault](self)

    def _send_reports(self) -> None:
        book = self._book
        if self.report_lag:
            lag = self.report_lag
            merge = book.merge
            with mock.patch.object(
                book, "merge", lambda r: self._after(lag, lambda: merge(r))
            ):
                super()._send_reports()
        else:
            super()._send_reports()

    def _append(self, record: MoveRecord) -> None:
        """Append a record; repeat it or race with it while a fault lasts."""
        expected = self._state.revision
        self._apply_everywhere(record)
        if self._now < self.lose_until:
            self._apply_everywhere(record)
        if self._now < self.race_until:
            rival = replace(
                record,
                change_id=f"rival-{self._offset}",
                expected_revision=expected,
                phase=VersionPhase.HELD.value,
            )
            self._apply_everywhere(rival)

    def _apply_everywhere(self, record: MoveRecord) -> None:
        self._offset += 1
        offset = self._offset
        self._state = apply_version_record(self._state, record, offset).value_or(
            self._state
        )
        for instance in self._instances:
            delay = self._random.uniform(0.05, 1.5) + self.extra_lag
            self._after(delay, lambda i=instance: _apply(i, record, offset))


def _apply(instance: object, record: MoveRecord, offset: int) -> None:
    result = apply_version_record(instance.state, record, offset)
    if is_successful(result):
        instance.state = result.unwrap()


def _log_down(run: FaultRun) -> None:
    run.outage = (run._now, run._now + 1200.0)


def _log_slow(run: FaultRun) -> None:
    run.extra_lag = 20.0
    run._after(900.0, lambda: setattr(run, "extra_lag", 0.0))


def _lose(run: FaultRun) -> None:
    run.lose_until = run._now + 1200.0


def _race(run: FaultRun) -> None:
    run.race_until = run._now + 1200.0


def _die(run: FaultRun) -> None:
    instance = run._random.choice(run._instances)
    instance.incarnation += 1
    instance.sequence = 0
    instance.counts = {}


def _lag_reports(run: FaultRun) -> None:
    run.report_lag = 6.0
    run._after(600.0, lambda: setattr(run, "report_lag", 0.0))


def _surge(run: FaultRun) -> None:
    run._rate = RATE * 4
    run._after(60.0, lambda: setattr(run, "_rate", RATE))


def _disturb(harm: Harm, seconds: float) -> Callable[[FaultRun], None]:
    """Return a fault of targets that hits both versions for a while."""

    def act(run: FaultRun) -> None:
        start = run._now
        run._bursts.insert(0, move_versions.Burst(start, start + seconds, None, harm))

    return act


_ACTIONS: dict[str, Callable[[FaultRun], None]] = {
    "log-down": _log_down,
    "log-slow": _log_slow,
    "append-answer-lost": _lose,
    "operators-race": _race,
    "instance-dies": _die,
    "instance-partitioned": _lag_reports,
    "team-surge": _surge,
    "engine-dies": _disturb(Harm(error=0.1), 30.0),
    "engine-flaps": _disturb(Harm(error=0.05, first_factor=1.3), 60.0),
    "target-cold": _disturb(Harm(first_factor=1.8), 60.0),
    "answer-late": _disturb(Harm(first_factor=1.5, gap_factor=1.5), 60.0),
}


def run(placed: Sequence[Injection], seed: int) -> Run:
    """Run a move of a bad version until it is taken back or does harm."""
    result = Run()
    move = FaultRun(placed, seed, result)
    try:
        outcome = move.run()
    except _Finding as found:
        result.violation = str(found)
        return result
    if outcome.phase is not VersionPhase.ROLLED_BACK:
        result.violation = f"a bad version ended as {outcome.phase.value}"
    return result


@contextmanager
def verdict_ignored() -> Iterator[None]:
    """Go on with the new version whatever the evidence shows."""
    original = move_versions.decide_version_step

    def decide(state, situation, now):
        return original(state, replace(situation, verdict=Verdict.CLEAR), now)

    with (
        mock.patch.object(move_versions, "decide_version_step", decide),
        mock.patch.object(
            move_versions,
            "effective_share",
            lambda state, verdict: effective_share(state, Verdict.CLEAR),
        ),
    ):
        yield


@contextmanager
def first_step_large() -> Iterator[None]:
    """Give the new version a tenth of the traffic at once."""

    def share(state, verdict):
        true = effective_share(state, verdict)
        return max(true, 0.1) if state.phase is VersionPhase.STEPPING else true

    with mock.patch.object(move_versions, "effective_share", share):
        yield


ROW = Row(
    "I4",
    {
        **dict.fromkeys(VERSION_FAULTS, ("move",)),
        **dict.fromkeys(_ACTIONS, ("move",)),
    },
    run,
    {"verdict ignored": verdict_ignored, "first step of 10%": first_step_large},
    variant_seeds=(1, 2),
)
assert set(VERSION_FAULTS.values()) <= set(KINDS)
