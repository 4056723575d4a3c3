"""Tests of data centre moves."""

import unittest
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from hypothesis import given, seed
from hypothesis import strategies as st

from carobladder.moves.capacity import PoolCapacity, check_remaining_capacity
from carobladder.moves.datacentres import (
    DataCentreConditions,
    DataCentreMoveSpec,
    DataCentreMoveState,
    DataCentrePhase,
    MaintenanceWindow,
    RoutingPreference,
    apply_data_centre_record,
    decide_data_centre_step,
    find_routing_preference,
)
from carobladder.moves.evidence import Verdict
from carobladder.moves.records import MoveError, MoveRecord, build_step_record

OPEN = datetime(2026, 1, 1, 8, tzinfo=UTC)
WINDOW = MaintenanceWindow(OPEN, OPEN + timedelta(hours=2))
SPEC = DataCentreMoveSpec("move", "dc-1", WINDOW)
READY = DataCentreConditions(ready_share=1.0, admissible_share=1.0)
PHASES = list(DataCentrePhase)


def state_in(phase: DataCentrePhase, step: int = 0) -> DataCentreMoveState:
    """Return a state that entered the given phase at the end of the window."""
    return replace(DataCentreMoveState(SPEC), phase=phase, step=step, since=WINDOW.end)


def prefer_by_context_only(state, prefix_key, context_here):
    """Faulty variant that routes only by the context and ignores the phase."""
    return RoutingPreference.PREFERRED if context_here else RoutingPreference.OVERFLOW


def routes_while_out_of_service(find_preference) -> bool:
    """Return whether an out-of-service data centre gets requests of any chat."""
    out_of_service = (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY)
    return any(
        find_preference(state_in(phase), key, has_context)
        is not RoutingPreference.EXCLUDED
        for phase in out_of_service
        for key in range(50)
        for has_context in (False, True)
    )


class RoutingPreferenceTest(unittest.TestCase):
    """Guard against requests to an out-of-service data centre and lost contexts."""

    def test_out_of_service_data_centre_gets_no_requests(self):
        self.assertFalse(routes_while_out_of_service(find_routing_preference))

    def test_check_detects_routing_that_ignores_the_phase(self):
        self.assertTrue(routes_while_out_of_service(prefer_by_context_only))

    @seed(1)
    @given(st.integers(0, 2**64 - 1))
    def test_each_prefix_moves_only_once_during_the_refill(self, key: int):
        preferences = [
            find_routing_preference(
                state_in(DataCentrePhase.RETURNING, step), key, False
            )
            for step in range(len(SPEC.refill_steps))
        ]
        first = preferences.index(RoutingPreference.PREFERRED)
        self.assertNotIn(RoutingPreference.PREFERRED, preferences[:first])
        self.assertEqual(set(preferences[first:]), {RoutingPreference.PREFERRED})

    def test_chat_with_local_context_stays(self):
        state = state_in(DataCentrePhase.RETURNING)
        self.assertIs(
            find_routing_preference(state, 1, True), RoutingPreference.PREFERRED
        )

    def test_hold_keeps_a_returning_data_centre_at_its_step(self):
        state = state_in(DataCentrePhase.RETURNING, 1)
        record = MoveRecord("move", "hold", 0, "held", WINDOW.end, 1)
        held = apply_data_centre_record(state, record, 5).unwrap()
        self.assertEqual(held.served_share, SPEC.refill_steps[1])


class DataCentreDecisionTest(unittest.TestCase):
    """Guard against moves that start late, abort requests or refill too fast."""

    def decide(self, state, conditions, now):
        step = decide_data_centre_step(state, conditions, now)
        return step and step.phase

    def test_window_starts_the_move_in_time(self):
        state = DataCentreMoveState(SPEC)
        early = SPEC.start - timedelta(seconds=1)
        self.assertIsNone(self.decide(state, READY, early))
        phase = self.decide(state, READY, SPEC.start)
        self.assertIs(phase, DataCentrePhase.LEAVING)
        self.assertLessEqual(SPEC.start + SPEC.drain_time, WINDOW.start)

    def test_insufficient_capacity_holds_the_move(self):
        overloaded = replace(READY, load_fits_elsewhere=False)
        phase = self.decide(DataCentreMoveState(SPEC), overloaded, SPEC.start)
        self.assertIs(phase, DataCentrePhase.HELD)

    def test_data_centre_is_empty_only_without_requests(self):
        state = state_in(DataCentrePhase.LEAVING)
        busy = replace(READY, in_flight=1)
        later = WINDOW.end + SPEC.propagation_time
        self.assertIsNone(self.decide(state, busy, later))
        self.assertIs(self.decide(state, READY, later), DataCentrePhase.EMPTY)

    def test_data_centre_is_not_empty_before_the_leave_has_propagated(self):
        state = state_in(DataCentrePhase.LEAVING)
        soon = WINDOW.end + SPEC.propagation_time - timedelta(seconds=1)
        self.assertIsNone(self.decide(state, READY, soon))

    def test_data_centre_does_not_return_within_the_window(self):
        state = state_in(DataCentrePhase.EMPTY)
        within = WINDOW.end - timedelta(seconds=1)
        self.assertIsNone(self.decide(state, READY, within))

    def test_cold_targets_hold_the_refill(self):
        state = state_in(DataCentrePhase.RETURNING)
        cold = replace(READY, admissible_share=0.1)
        later = WINDOW.end + timedelta(hours=1)
        self.assertIsNone(self.decide(state, cold, later))

    def test_faults_after_the_return_reduce_the_refill(self):
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
                record = build_step_record(state, step, f"c{offset}", now)
                state = apply_data_centre_record(state, record, offset).unwrap()
            now += timedelta(seconds=30)
        self.assertIs(state.phase, DataCentrePhase.REFILLED)


class CapacityCheckTest(unittest.TestCase):
    """Guard against a leave for which the remaining data centres lack capacity."""

    def capacities(self, load: float) -> list[PoolCapacity]:
        names = ("dc-1", "dc-2", "dc-3")
        return [PoolCapacity("m", name, 100, load) for name in names]

    def test_headroom_stays_free(self):
        leaving = frozenset({"dc-1"})
        self.assertTrue(
            check_remaining_capacity(self.capacities(53.0), leaving).feasible
        )
        verdict = check_remaining_capacity(self.capacities(60.0), leaving)
        self.assertEqual(verdict.shortfalls, {"m": 25})

    def test_contradictory_declarations_are_rejected(self):
        with self.assertRaises(MoveError):
            MaintenanceWindow(OPEN, OPEN)
        with self.assertRaises(MoveError):
            replace(SPEC, refill_steps=(0.5, 0.2))
