"""Tests of data centre moves."""

import unittest
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from hypothesis import given, seed
from hypothesis import strategies as st

from carobladder.moves.datacentres import (
    ChatRule,
    DataCentreMoveSpec,
    DataCentreMoveState,
    DataCentrePhase,
    DataCentreSituation,
    MaintenanceWindow,
    PoolCapacity,
    apply_data_centre_record,
    decide_data_centre_step,
    next_data_centre_record,
    plan_leave,
    rule_for_chat,
)
from carobladder.moves.evidence import Verdict
from carobladder.moves.records import MoveError, MoveRecord

OPEN = datetime(2026, 1, 1, 8, tzinfo=UTC)
WINDOW = MaintenanceWindow(OPEN, OPEN + timedelta(hours=2))
SPEC = DataCentreMoveSpec("move", "dc-1", WINDOW)
READY = DataCentreSituation(ready_share=1.0, bearable_share=1.0)
PHASES = list(DataCentrePhase)


def state_in(phase: DataCentrePhase, step: int = 0) -> DataCentreMoveState:
    """Return a state in the given phase since the window's end."""
    return replace(DataCentreMoveState(SPEC), phase=phase, step=step, since=WINDOW.end)


def rule_without_phase(state, prefix_key, context_here):
    """Return a rule by the context alone: the broken variant."""
    return ChatRule.USUAL if context_here else ChatRule.OVERFLOW


def takes_work_while_out(rule) -> bool:
    """Return whether a data centre that is out gets work for any kind of chat."""
    out = (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY)
    return any(
        rule(state_in(phase), key, here) is not ChatRule.REFUSED
        for phase in out
        for key in range(50)
        for here in (False, True)
    )


class ChatRuleTest(unittest.TestCase):
    """Guard against work for a data centre that is out, and needless moves back."""

    def test_data_centre_that_is_out_gets_no_work(self):
        self.assertFalse(takes_work_while_out(rule_for_chat))

    def test_check_of_work_catches_a_rule_that_ignores_the_phase(self):
        self.assertTrue(takes_work_while_out(rule_without_phase))

    @seed(1)
    @given(st.integers(0, 2**64 - 1))
    def test_growing_refill_takes_each_prefix_once(self, key: int):
        rules = [
            rule_for_chat(state_in(DataCentrePhase.RETURNING, step), key, False)
            for step in range(len(SPEC.refill_steps))
        ]
        first = rules.index(ChatRule.USUAL)
        self.assertNotIn(ChatRule.USUAL, rules[:first])
        self.assertEqual(set(rules[first:]), {ChatRule.USUAL})

    def test_chat_with_its_context_here_is_served_here(self):
        state = state_in(DataCentrePhase.RETURNING)
        self.assertIs(rule_for_chat(state, 1, True), ChatRule.USUAL)

    def test_hold_keeps_a_returning_data_centre_at_its_step(self):
        state = state_in(DataCentrePhase.RETURNING, 1)
        record = MoveRecord("move", "hold", 0, "held", WINDOW.end, 1)
        held = apply_data_centre_record(state, record, 5).unwrap()
        self.assertEqual(held.usual_share, SPEC.refill_steps[1])


class DataCentreDecisionTest(unittest.TestCase):
    """Guard against moves that start late, cut requests or refill too fast."""

    def decide(self, state, situation, now):
        step = decide_data_centre_step(state, situation, now)
        return step and step.phase

    def test_window_starts_the_move_in_time(self):
        state = DataCentreMoveState(SPEC)
        early = SPEC.start - timedelta(seconds=1)
        self.assertIsNone(self.decide(state, READY, early))
        phase = self.decide(state, READY, SPEC.start)
        self.assertIs(phase, DataCentrePhase.LEAVING)
        self.assertLessEqual(SPEC.start + SPEC.drain_time, WINDOW.start)

    def test_load_that_does_not_fit_holds_the_move(self):
        overloaded = replace(READY, remaining_bear_load=False)
        phase = self.decide(DataCentreMoveState(SPEC), overloaded, SPEC.start)
        self.assertIs(phase, DataCentrePhase.HELD)

    def test_data_centre_is_empty_only_without_requests(self):
        state = state_in(DataCentrePhase.LEAVING)
        busy = replace(READY, in_flight=1)
        later = WINDOW.end + SPEC.notice_time
        self.assertIsNone(self.decide(state, busy, later))
        self.assertIs(self.decide(state, READY, later), DataCentrePhase.EMPTY)

    def test_data_centre_is_not_empty_before_all_instances_know(self):
        state = state_in(DataCentrePhase.LEAVING)
        soon = WINDOW.end + SPEC.notice_time - timedelta(seconds=1)
        self.assertIsNone(self.decide(state, READY, soon))

    def test_data_centre_does_not_return_within_the_window(self):
        state = state_in(DataCentrePhase.EMPTY)
        within = WINDOW.end - timedelta(seconds=1)
        self.assertIsNone(self.decide(state, READY, within))

    def test_cold_targets_hold_the_refill(self):
        state = state_in(DataCentrePhase.RETURNING)
        cold = replace(READY, bearable_share=0.1)
        later = WINDOW.end + timedelta(hours=1)
        self.assertIsNone(self.decide(state, cold, later))

    def test_faults_after_the_return_shrink_the_refill(self):
        bad = replace(READY, verdict=Verdict.FAULT)
        step = decide_data_centre_step(
            state_in(DataCentrePhase.RETURNING, 2), bad, WINDOW.end
        )
        self.assertEqual(step and (step.phase, step.step), ("returning", 1))
        first = self.decide(state_in(DataCentrePhase.RETURNING, 0), bad, WINDOW.end)
        self.assertIs(first, DataCentrePhase.LEAVING)

    @seed(3)
    @given(st.lists(st.tuples(st.sampled_from(PHASES), st.integers(0, 4)), max_size=20))
    def test_no_sequence_of_records_skips_a_refill_step(self, changes):
        state = DataCentreMoveState(SPEC)
        for offset, (phase, number) in enumerate(changes, start=1):
            record = MoveRecord(
                "move", f"c{offset}", state.revision, phase.value, OPEN, number
            )
            after = apply_data_centre_record(state, record, offset).value_or(state)
            if after.phase is DataCentrePhase.RETURNING:
                self.assertLessEqual(abs(after.step - state.step), 1)
            state = after

    def test_move_runs_to_its_end(self):
        state, now, offset = DataCentreMoveState(SPEC), SPEC.start, 0
        while now < WINDOW.end + timedelta(hours=1):
            step = decide_data_centre_step(state, READY, now)
            if step is not None:
                offset += 1
                record = next_data_centre_record(state, step, f"c{offset}", now)
                state = apply_data_centre_record(state, record, offset).unwrap()
            now += timedelta(seconds=30)
        self.assertIs(state.phase, DataCentrePhase.REFILLED)


class PlanTest(unittest.TestCase):
    """Guard against a leave that the remaining data centres cannot bear."""

    def capacities(self, load: float) -> list[PoolCapacity]:
        names = ("dc-1", "dc-2", "dc-3")
        return [PoolCapacity("m", name, 100, load) for name in names]

    def test_plan_keeps_the_headroom_free(self):
        leaving = frozenset({"dc-1"})
        self.assertTrue(plan_leave(self.capacities(53.0), leaving).feasible)
        verdict = plan_leave(self.capacities(60.0), leaving)
        self.assertEqual(verdict.shortfalls, {"m": 25})

    def test_contradictory_declarations_are_refused(self):
        with self.assertRaises(MoveError):
            MaintenanceWindow(OPEN, OPEN)
        with self.assertRaises(MoveError):
            replace(SPEC, refill_steps=(0.5, 0.2))
