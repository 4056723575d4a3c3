"""Tests of the traffic split between versions and of the steps of a move."""

import unittest
from collections import Counter

from carobladder.fleet import (
    ExposureLimit,
    MoveObservation,
    MoveState,
    MoveStep,
    RolloutOrder,
    VersionMoves,
    decide_step,
    decode_step,
    encode_step,
    plan_share,
)
from tests.fleet.builders import fill_table

EXPOSURE = 0.1
LIMIT = ExposureLimit(EXPOSURE, 0.0)
ORDER = RolloutOrder("engine", "v2", 30.0, 5)
STEP = MoveStep("engine", "v2", 5, MoveState.RUNNING, plan_share(0.2, EXPOSURE), 6.0)


def build_observation(elapsed: float, **changes) -> MoveObservation:
    """Return the observation of a move without a fault."""
    values = {
        "fault": "",
        "new_targets": 3,
        "old_requests": 4,
        "old_answers": 1000,
        "new_answers": 50,
        **changes,
    }
    return MoveObservation(elapsed_seconds=elapsed, **values)


def decide(elapsed: float, step=STEP, order=ORDER, **changes) -> MoveStep | None:
    """Return the next step, or None."""
    return decide_step(order, step, build_observation(elapsed, **changes), LIMIT)


class SharePlanTest(unittest.TestCase):
    """Guard against a plan that exposes too many requests to an unverified version."""

    def test_total_before_the_switch_is_at_most_half_of_the_exposure(self):
        parts = [part / 1000 for part in range(1000)]
        before = [plan_share(part, EXPOSURE) for part in parts if part < 0.7]
        self.assertLessEqual(sum(before) / 1000, EXPOSURE / 2)
        self.assertEqual(before, sorted(before))
        self.assertGreater(before[0], 0.0)
        self.assertEqual(plan_share(0.7, EXPOSURE), 1.0)


class ExposureLimitTest(unittest.TestCase):
    """Guard against shares that are too small to judge a version before the switch."""

    def setUp(self):
        self.limit = ExposureLimit(EXPOSURE, 50.0)

    def test_slack_counts_for_much_of_little_traffic(self):
        """At 350 requests in a move the slack is more than the fraction."""
        self.assertAlmostEqual(self.limit.estimate_share(70, 0.2), 0.2)
        self.assertAlmostEqual(self.limit.estimate_share(200, 0.2), 0.15)
        self.assertAlmostEqual(self.limit.estimate_share(2000, 0.2), 0.1)

    def test_slack_does_not_count_until_the_traffic_is_known(self):
        self.assertAlmostEqual(self.limit.estimate_share(0, 0.0), EXPOSURE)
        self.assertAlmostEqual(self.limit.estimate_share(19, 0.5), EXPOSURE)

    def test_total_before_the_switch_is_at_most_half_of_the_exposure(self):
        for requests in (100, 350, 1000, 10_000):
            with self.subTest(requests=requests):
                parts = [part / 1000 for part in range(700)]
                sent = sum(
                    plan_share(
                        part, self.limit.estimate_share(int(requests * part), part)
                    )
                    for part in parts
                )
                allowed = EXPOSURE * requests + 50
                self.assertLessEqual(sent * requests / 1000, allowed / 2)


class StepTest(unittest.TestCase):
    """Guard against moves that end late, end twice or resume after their end."""

    def test_first_step_is_written_at_once(self):
        step = decide(0.0, step=None)
        self.assertIs(step.state, MoveState.RUNNING)
        self.assertAlmostEqual(step.share, 0.04)

    def test_unchanged_step_is_renewed_only_after_a_tenth_of_the_duration(self):
        self.assertIsNone(decide(8.9))
        self.assertEqual(decide(9.0).elapsed_seconds, 9.0)

    def test_move_ends_when_old_targets_are_idle_or_at_the_latest_time(self):
        switched = decide(21.1)
        self.assertEqual((switched.state, switched.share), (MoveState.RUNNING, 1.0))
        self.assertIsNone(decide(23.9, step=switched, old_requests=1))
        idle = decide(23.9, step=switched, old_requests=0)
        self.assertIs(idle.state, MoveState.COMPLETED)
        self.assertIs(decide(27.0, step=switched).state, MoveState.COMPLETED)

    def test_fault_withdrawal_and_missing_targets_roll_the_version_back(self):
        withdrawn = RolloutOrder("engine", "v2", 30.0, 5, withdrawn=True)
        for step in (
            decide(8.0, fault="worse"),
            decide(27.5, fault="worse"),
            decide(8.0, order=withdrawn),
            decide(27.0, new_targets=0),
        ):
            self.assertIs(step.state, MoveState.ROLLED_BACK)
            self.assertEqual(step.share, 0.0)
            self.assertTrue(step.reason)

    def test_small_changes_of_the_share_are_not_written(self):
        """Estimates of the traffic vary, and each step is a call to the store."""
        slack = ExposureLimit(EXPOSURE, 50.0)
        step = MoveStep("engine", "v2", 5, MoveState.RUNNING, 0.09, 6.0)
        for answers in (70, 130, 400, 130, 70):
            observation = build_observation(6.5, old_answers=answers, new_answers=8)
            self.assertIsNone(decide_step(ORDER, step, observation, slack))

    def test_switch_is_written_whatever_the_share_before(self):
        step = MoveStep("engine", "v2", 5, MoveState.RUNNING, 0.9, 20.0)
        self.assertEqual(decide(21.1, step=step).share, 1.0)

    def test_switch_waits_until_answers_of_the_new_version_are_known(self):
        """A version that never answers would get all requests."""
        waiting = decide(21.1, new_answers=11)
        self.assertAlmostEqual(waiting.share, 0.2)
        self.assertIsNone(decide(23.9, step=waiting, new_answers=11, old_requests=0))
        self.assertEqual(decide(24.0, step=waiting, new_answers=12).share, 1.0)
        ended = decide(27.0, step=waiting, new_answers=11)
        self.assertIs(ended.state, MoveState.ROLLED_BACK)
        self.assertIn("too few answers", ended.reason)

    def test_move_of_a_service_with_few_requests_does_not_wait(self):
        for old, new in ((0, 0), (50, 2), (400, 9)):
            with self.subTest(old=old, new=new):
                step = decide(21.1, old_answers=old, new_answers=new)
                self.assertEqual(step.share, 1.0)

    def test_missing_targets_do_not_end_the_move_early(self):
        self.assertIs(decide(9.0, new_targets=0).state, MoveState.RUNNING)

    def test_ended_move_stays_ended(self):
        ended = decide(8.0, fault="worse")
        self.assertIsNone(decide(40.0, step=ended))
        self.assertIsNone(decide(40.0, step=ended, fault="worse"))

    def test_step_round_trips_and_malformed_records_are_rejected(self):
        self.assertEqual(decode_step(encode_step(STEP)), STEP)
        for data in (b"", b"\x01", encode_step(STEP)[:-2], b"{}"):
            with self.assertRaises(ValueError):
                decode_step(data)


class TrafficSplitTest(unittest.TestCase):
    """Guard against a version that gets more requests than its share."""

    def setUp(self):
        _, self.old = fill_table(6)
        _, self.new = fill_table(3, version="v2")
        self.registered = self.old + self.new
        self.moves = VersionMoves(EXPOSURE)

    def send(self, count: int, targets=None) -> Counter:
        """Send requests; return the number by version, under None those refused."""
        usable = self.old + self.new if targets is None else targets
        sent = Counter()
        for _ in range(count):
            chosen = self.moves.filter_by_version("engine", usable, self.registered)
            if not chosen:
                sent[None] += 1
                continue
            self.assertEqual(len({t.entry.version for t in chosen}), 1)
            self.moves.note_sent(chosen[0])
            sent[chosen[0].entry.version] += 1
        return sent

    def apply_step_of_peer(
        self, share: float, state=MoveState.RUNNING, order_id=5
    ) -> None:
        """Apply a step that another instance has written."""
        step = MoveStep("engine", "v2", order_id, state, share, 1.0)
        self.moves.apply_step(step, 1.0)

    def test_without_an_order_all_versions_are_used(self):
        usable = self.old + self.new
        chosen = self.moves.filter_by_version("engine", usable, usable)
        self.assertEqual(chosen, usable)

    def test_new_version_gets_nothing_before_the_first_step(self):
        self.moves.take_order(ORDER, 0.0)
        self.assertEqual(self.send(200), {"v1": 200})

    def test_share_is_kept_exactly(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(0.04)
        self.assertEqual(self.send(500), {"v1": 480, "v2": 20})
        self.apply_step_of_peer(1.0)
        self.assertEqual(self.send(100), {"v2": 100})

    def test_missed_share_is_not_caught_up_after_a_time_without_new_targets(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(0.04)
        self.send(1000, self.old)
        self.assertLessEqual(self.send(100)["v2"], 5)

    def test_loss_of_all_old_targets_keeps_the_exposure_limit(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(0.04)
        self.send(400)
        sent = self.send(200, self.new)
        self.assertGreater(sent["v2"], 0)
        total = 600
        self.assertLessEqual(sent["v2"] + 16, total * EXPOSURE)

    def test_order_for_the_only_version_refuses_nothing(self):
        """A newly started instance may not know yet that the move has ended."""
        self.registered = self.new
        self.moves.take_order(ORDER, 0.0)
        self.assertEqual(self.send(100, self.new), {"v2": 100})

    def test_faulty_version_gets_nothing_even_without_others(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(0.2)
        self.moves.services["engine"].fault = "worse"
        self.assertEqual(self.send(50), {"v1": 50})
        self.assertEqual(self.send(5, self.new), {None: 5})
        self.apply_step_of_peer(0.0, MoveState.ROLLED_BACK)
        self.assertEqual(self.send(50), {"v1": 50})

    def test_after_the_end_the_new_version_is_preferred(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(1.0, MoveState.COMPLETED)
        self.assertEqual(self.send(20), {"v2": 20})
        self.assertEqual(self.send(5, self.old), {"v1": 5})

    def test_steps_of_another_order_or_after_the_end_are_ignored(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(1.0, MoveState.COMPLETED, order_id=4)
        self.assertEqual(self.send(20), {"v1": 20})
        self.apply_step_of_peer(0.0, MoveState.ROLLED_BACK)
        self.apply_step_of_peer(1.0)
        self.assertEqual(self.send(20), {"v1": 20})

    def test_repeated_order_starts_a_new_move(self):
        self.moves.take_order(ORDER, 0.0)
        self.apply_step_of_peer(0.0, MoveState.ROLLED_BACK)
        self.assertEqual(self.moves.active, [])
        self.moves.take_order(RolloutOrder("engine", "v2", 30.0, 9), 50.0)
        (move,) = self.moves.active
        self.assertEqual(move.elapsed_seconds(52.0), 2.0)
        self.apply_step_of_peer(0.04)
        self.assertEqual(move.share, 0.0)
