"""Tests of the order in which targets switch versions."""

import unittest
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from unittest import mock

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from carobladder.moves import switches
from carobladder.moves.switches import SwitchAction, TargetView, plan_switches
from carobladder.moves.versions import VersionMoveSpec, VersionMoveState, VersionPhase

START = datetime(2026, 1, 1, tzinfo=UTC)
SPEC = VersionMoveSpec("move", "m", "v1", "v2", START, START + timedelta(hours=3))
PHASES = (
    VersionPhase.LOADING,
    VersionPhase.STEPPING,
    VersionPhase.ROLLING_BACK,
    VersionPhase.BAKING,
    VersionPhase.FINISHED,
)
CHANGES = st.lists(st.tuples(st.sampled_from(PHASES), st.integers(0, 5)), max_size=8)


def apply_actions(
    state: VersionMoveState, views: dict[str, TargetView], now: datetime
) -> None:
    """Apply the planned actions to the targets."""
    for switch in plan_switches(state, list(views.values()), now):
        view = views[switch.target_id]
        if switch.action is SwitchAction.LEAVE:
            view = replace(view, leaving=True, by_driver=True, changed_at=now)
        elif switch.action is SwitchAction.LOAD:
            view = replace(view, reported_version=switch.version)
        else:
            view = replace(view, leaving=False, by_driver=True, version=switch.version)
        views[switch.target_id] = view


def find_violations(changes, count: int) -> set[str]:
    """Return the violations over a sequence of phases, each of several seconds."""
    views = {
        f"t{n}": TargetView(f"t{n}", "v1", reported_version="v1", ready=True)
        for n in range(count)
    }
    violations = set()
    now = START
    for phase, step in [*changes, (VersionPhase.ROLLING_BACK, 0)]:
        state = VersionMoveState(SPEC, phase, step, START)
        for _ in range(12 * count):
            now += timedelta(seconds=1)
            apply_actions(state, views, now)
            out = sum(view.leaving for view in views.values())
            if out > max(1, count // 4):
                violations.add("too many targets are out of service")
            serving = [v for v in views.values() if not v.leaving]
            if any(v.version != v.reported_version for v in serving):
                violations.add("a target serves another version than declared")
            if phase is VersionPhase.FINISHED:
                continue
            if not any("v1" in (v.version, v.reported_version) for v in views.values()):
                violations.add("no target has the old version")
        if phase is VersionPhase.FINISHED:
            break
    else:
        if {view.version for view in views.values()} != {"v1"}:
            violations.add("targets stay on the version that was rolled back")
    return violations


class SwitchTest(unittest.TestCase):
    """Guard against a move that leaves a model without targets in service."""

    @seed(1)
    @settings(max_examples=60, deadline=None)
    @given(CHANGES, st.integers(2, 9))
    def test_few_targets_are_out_of_service_and_each_serves_its_declared_version(
        self, changes, count
    ):
        self.assertEqual(find_violations(changes, count), set())

    def test_check_detects_a_plan_that_takes_all_targets_out_of_service(self):
        with mock.patch.object(switches, "_TARGETS_PER_SWITCH", 1):
            violations = find_violations([(VersionPhase.BAKING, 5)], 8)
        self.assertIn("too many targets are out of service", violations)

    def test_busy_targets_load_no_version(self):
        view = TargetView(
            "t", "v1", leaving=True, by_driver=True, reported_version="v1", ready=True
        )
        state = VersionMoveState(SPEC, VersionPhase.FINISHED)
        propagated = replace(view, changed_at=START, in_flight=1)
        later = START + timedelta(minutes=1)
        self.assertEqual(plan_switches(state, [propagated], later), [])
        idle = replace(propagated, in_flight=0)
        early = START + timedelta(seconds=2)
        self.assertEqual(plan_switches(state, [idle], early), [])
        (switch,) = plan_switches(state, [idle], later)
        self.assertIs(switch.action, SwitchAction.LOAD)
