"""Tests of version moves."""

import itertools
import unittest
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from hypothesis import given, seed
from hypothesis import strategies as st
from returns.pipeline import is_successful

from carobladder.moves.evidence import Verdict
from carobladder.moves.records import (
    MoveError,
    MoveRecord,
    RecordRejection,
    build_step_record,
)
from carobladder.moves.versions import (
    VersionConditions,
    VersionMoveSpec,
    VersionMoveState,
    VersionPhase,
    apply_version_record,
    decide_version_step,
    effective_share,
    keeps_old_version,
    version_shares,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
SPEC = VersionMoveSpec("move", "m", "v1", "v2", START, START + timedelta(hours=3))
READY = VersionConditions(
    loaded_share=1.0, warm_share=1.0, step_requests=100, new_in_flight=0
)
PHASES = st.sampled_from([phase.value for phase in VersionPhase])
CHANGES = st.lists(st.tuples(PHASES, st.integers(0, 5), st.booleans()), max_size=30)


def apply_unchecked(state: VersionMoveState, record: MoveRecord, offset: int):
    """Faulty variant that applies a record without checks."""
    phase = VersionPhase(record.phase)
    return replace(state, phase=phase, step=record.step, revision=offset)


def apply_checked(state: VersionMoveState, record: MoveRecord, offset: int):
    """Apply a record by the rules; a rejected one has no effect."""
    return apply_version_record(state, record, offset).value_or(state)


def apply_changes(apply, changes) -> list[VersionMoveState]:
    """Return the state after each record; some records expect a stale revision."""
    states = [VersionMoveState(SPEC)]
    for offset, (phase, step, stale) in enumerate(changes, start=1):
        expected = states[-1].revision - int(stale)
        record = MoveRecord("move", f"c{offset}", expected, phase, START, step)
        states.append(apply(states[-1], record, offset))
    return states


def has_revert(states: list[VersionMoveState]) -> bool:
    """Return whether an ended move changes or a share skips a step."""
    ended = {VersionPhase.FINISHED, VersionPhase.ROLLED_BACK}
    for before, after in itertools.pairwise(states):
        if before.phase in ended and after != before:
            return True
        if after.phase is VersionPhase.STEPPING and after.step > before.step + 1:
            return True
    return False


def run_to(phase: VersionPhase, conditions: VersionConditions = READY):
    """Return the state and the time at which a move first reaches a phase."""
    state, now, offset = VersionMoveState(SPEC), START, 0
    while state.phase is not phase and now < SPEC.finish_by + timedelta(hours=1):
        now += timedelta(seconds=10)
        step = decide_version_step(state, conditions, now)
        if step is not None:
            offset += 1
            record = build_step_record(state, step, f"c{offset}", now)
            state = apply_version_record(state, record, offset).unwrap()
    return state, now


class VersionRecordTest(unittest.TestCase):
    """Guard against racing writers that revert or repeat a change."""

    @seed(1)
    @given(CHANGES)
    def test_no_sequence_of_records_reverts_a_move(self, changes):
        self.assertFalse(has_revert(apply_changes(apply_checked, changes)))

    def test_check_detects_records_applied_unchecked(self):
        changes = [("finished", 5, False), ("stepping", 0, True)]
        self.assertTrue(has_revert(apply_changes(apply_unchecked, changes)))

    def test_second_of_two_racing_records_loses(self):
        state = VersionMoveState(SPEC)
        first = MoveRecord("move", "a", 0, "loading", START)
        second = MoveRecord("move", "b", 0, "taking-back", START)
        state = apply_version_record(state, first, 1).unwrap()
        fault = apply_version_record(state, second, 2).failure()
        self.assertIs(fault, RecordRejection.REVISION_CONFLICT)

    def test_repeated_append_after_a_lost_answer_is_detected(self):
        record = MoveRecord("move", "a", 0, "loading", START)
        state = apply_version_record(VersionMoveState(SPEC), record, 1).unwrap()
        fault = apply_version_record(state, record, 2).failure()
        self.assertIs(fault, RecordRejection.ALREADY_APPLIED)

    def test_unknown_phase_has_no_effect(self):
        record = MoveRecord("move", "a", 0, "melting", START)
        result = apply_version_record(VersionMoveState(SPEC), record, 1)
        self.assertFalse(is_successful(result))


class VersionDecisionTest(unittest.TestCase):
    """Guard against moves that miss their deadline, ignore faults or get stuck."""

    def test_good_version_finishes_in_time(self):
        state, now = run_to(VersionPhase.FINISHED)
        self.assertIs(state.phase, VersionPhase.FINISHED)
        self.assertLessEqual(now, SPEC.finish_by)
        self.assertEqual(version_shares(state), {"v2": 1.0, "v1": 0.0})

    def test_fault_rolls_the_move_back_from_every_active_phase(self):
        faulty = replace(READY, verdict=Verdict.FAULT)
        for phase in ("loading", "warming", "stepping", "baking"):
            state, now = run_to(VersionPhase(phase))
            step = decide_version_step(state, faulty, now)
            self.assertIs(step and step.phase, VersionPhase.ROLLING_BACK)

    def test_fault_rolls_a_held_move_back(self):
        state, now = run_to(VersionPhase.STEPPING)
        record = MoveRecord("move", "hold", state.revision, "held", now, state.step)
        state = apply_version_record(state, record, 99).unwrap()
        self.assertEqual(version_shares(state)["v2"], SPEC.steps[0])
        step = decide_version_step(state, replace(READY, verdict=Verdict.FAULT), now)
        self.assertIs(step and step.phase, VersionPhase.ROLLING_BACK)

    def test_version_without_requests_is_rolled_back_by_the_deadline(self):
        state, now = run_to(VersionPhase.ROLLED_BACK, replace(READY, step_requests=0))
        self.assertIs(state.phase, VersionPhase.ROLLED_BACK)
        self.assertLessEqual(now, SPEC.finish_by)

    def test_doubt_stops_the_share_from_increasing(self):
        state, now = run_to(VersionPhase.STEPPING)
        doubtful = replace(READY, verdict=Verdict.DOUBT)
        later = now + timedelta(hours=1)
        self.assertIsNone(decide_version_step(state, doubtful, later))

    def test_share_increases_no_faster_than_targets_warm_up(self):
        state, now = run_to(VersionPhase.STEPPING)
        cold = replace(READY, warm_share=SPEC.steps[1] * 0.99)
        later = now + timedelta(hours=1)
        self.assertIsNone(decide_version_step(state, cold, later))

    def test_old_version_stays_warm_until_the_bake_time_has_ended(self):
        for phase in VersionPhase:
            state = replace(VersionMoveState(SPEC), phase=phase)
            self.assertEqual(
                keeps_old_version(state), phase is not VersionPhase.FINISHED
            )

    def test_instance_that_detects_a_fault_stops_without_the_log(self):
        state, _ = run_to(VersionPhase.BAKING)
        self.assertEqual(effective_share(state, Verdict.CLEAR), SPEC.steps[-1])
        self.assertEqual(effective_share(state, Verdict.FAULT), 0.0)

    def test_contradictory_declarations_are_rejected(self):
        for change in (
            {"steps": (0.5, 0.1)},
            {"steps": (0.05, 0.5)},
            {"steps": (0.005, 1.0)},
            {"finish_by": START + timedelta(minutes=31)},
        ):
            with self.assertRaises(MoveError):
                replace(SPEC, **change)
