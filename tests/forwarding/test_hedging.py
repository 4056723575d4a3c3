"""Tests of the decision on copies of late requests."""

import dataclasses
import unittest

from carobladder.forwarding import FirstByteTimes, WithholdReason
from carobladder.routing import RouteKind
from tests.forwarding.fixtures import build_route
from tests.forwarding.hedges import USUAL_SECONDS, PolicyCase, build_call


class FirstByteTimesTest(unittest.TestCase):
    """Guard against delays from outdated or too few answers, and unbounded memory."""

    def test_quantile_of_the_newest_samples_is_found(self):
        times = FirstByteTimes()
        for number in range(1000):
            times.note("safe", float(number), 1.0)
        recent = times.find("safe", 0.95, 1.0)
        self.assertEqual(recent.median, 872 + 64)
        self.assertEqual(recent.quantile, 872 + 121)

    def test_few_or_old_samples_give_no_quantile(self):
        times = FirstByteTimes()
        for _ in range(19):
            times.note("safe", 0.1, 1.0)
        self.assertIsNone(times.find("safe", 0.95, 1.0))
        times.note("safe", 0.1, 30.0)
        self.assertIsNotNone(times.find("safe", 0.95, 30.0))
        self.assertIsNone(times.find("safe", 0.95, 62.0))
        self.assertIsNone(times.find("other", 0.95, 1.0))

    def test_routes_beyond_the_limit_evict_the_least_recently_used(self):
        times = FirstByteTimes()
        for number in range(5000):
            times.note("kept", 0.1, 1.0)
            times.note(f"route-{number}", 0.1, 1.0)
        self.assertEqual(len(times), 2000)
        self.assertIsNotNone(times.find("kept", 0.95, 1.0))


class EligibilityTest(unittest.TestCase):
    """Guard against copies of requests that may run only once."""

    def test_only_routes_that_may_repeat_with_two_attempts_are_eligible(self):
        case = PolicyCase()
        cases = (
            (RouteKind.SAFE, {"attempts": 2}, True),
            (RouteKind.SAFE, {"attempts": 1}, False),
            (RouteKind.UNSAFE, {"attempts": 3}, False),
            (RouteKind.STREAMING, {"attempts": 2}, False),
            (RouteKind.STREAMING, {"attempts": 2, "resumable": True}, True),
        )
        for kind, changes, expected in cases:
            with self.subTest(kind=kind, **changes):
                route = build_route("x", kind, **changes)
                call = build_call(case.clock, route)
                self.assertEqual(case.policy.is_eligible(call), expected)
                case.policy.share = 0.0
                self.assertFalse(case.policy.is_eligible(call))
                case.policy.share = 0.05


class DelayTest(unittest.TestCase):
    """Guard against copies of requests that are not late."""

    def test_delay_is_the_quantile_that_the_share_leaves(self):
        case = PolicyCase()
        self.assertIsNone(case.policy.find_delay(case.call))
        for number in range(100):
            case.policy.note_first_byte(case.call, 0.01 * (number + 1))
        self.assertAlmostEqual(case.policy.find_delay(case.call), 0.96)
        case.policy.share = 0.5
        self.assertAlmostEqual(case.policy.find_delay(case.call), 0.91)
        case.policy.share = 0.001
        self.assertAlmostEqual(case.policy.find_delay(case.call), 1.0)

    def test_answers_that_take_equal_times_are_not_late(self):
        case = PolicyCase()
        case.learn()
        self.assertGreaterEqual(case.policy.find_delay(case.call), 1.5 * USUAL_SECONDS)

    def test_blocked_event_loop_makes_no_request_late(self):
        case = PolicyCase()
        self.assertFalse(case.policy.is_blocked(0.01))
        self.assertTrue(case.policy.is_blocked(0.2))
        case.clock.advance(0.05)
        self.assertTrue(case.policy.is_blocked(0.0))
        case.clock.advance(0.1)
        self.assertFalse(case.policy.is_blocked(0.0))


class WithholdTest(unittest.TestCase):
    """Guard against copies that harm others or come too late."""

    def setUp(self):
        self.case = PolicyCase()
        self.case.learn()

    def check(self, reason):
        """Check the reason to send no copy."""
        self.assertEqual(self.case.policy.find_reason(self.case.call), reason)

    def test_late_request_gets_a_copy(self):
        self.check(None)

    def test_changed_configuration_withholds_the_copy(self):
        self.case.is_current = False
        self.check(WithholdReason.CONFIGURATION)

    def test_share_set_to_zero_withholds_the_copy(self):
        self.case.policy.share = 0.0
        self.check(WithholdReason.CONFIGURATION)

    def test_copy_that_would_miss_the_deadline_is_withheld(self):
        self.case.clock.advance(1.95)
        self.check(WithholdReason.DEADLINE)

    def test_slow_targets_get_no_copies_until_they_have_recovered(self):
        for _ in range(8):
            self.case.policy.note_lateness(self.case.call, is_late=True)
        self.check(WithholdReason.SLOW_SERVICE)
        for _ in range(16):
            self.case.policy.note_lateness(self.case.call, is_late=False)
        self.check(None)

    def test_service_that_sheds_load_gets_no_copies(self):
        self.case.policy.note_refusal(self.case.call)
        self.check(WithholdReason.CAPACITY)
        self.case.clock.advance(1.1)
        self.check(None)

    def test_service_without_free_slots_gets_no_copies(self):
        for index, load in enumerate((6, 5, 3)):
            self.case.state_load(index, load)
        self.check(WithholdReason.CAPACITY)

    def test_spent_budget_withholds_the_copy(self):
        while self.case.policy.withdraw(self.case.call):
            pass
        self.check(WithholdReason.BUDGET)


class TargetTest(unittest.TestCase):
    """Guard against copies to targets that would not answer sooner."""

    def setUp(self):
        self.case = PolicyCase()
        self.first = self.case.targets[0]
        self.sent_at = self.case.clock.monotonic()
        self.first.health.note_sent(self.sent_at)
        self.case.clock.advance(0.2)

    def list_fit(self) -> list[str]:
        """Return the ids of the targets that may get the copy."""
        case = self.case
        unfit = case.policy.list_unfit(case.call, self.first, self.sent_at)
        return sorted({target.target_id for target in case.targets} - unfit)

    def test_less_loaded_targets_are_fit(self):
        self.assertEqual(self.list_fit(), ["i-1", "i-2"])
        self.case.state_load(0, 2)
        self.case.state_load(1, 2)
        self.case.state_load(2, 1)
        self.assertEqual(self.list_fit(), ["i-2"])

    def test_unsound_targets_are_not_fit(self):
        now = self.case.clock.monotonic()
        faults = {
            "leaving": lambda target: target.note_leaving(),
            "paused": lambda target: target.note_pause(1.0, now),
            "cold": lambda target: target.note_cold(3.0, now),
            "limited": lambda target: target.note_rate_limit(5.0, now),
            "suspect": lambda target: target.health.note_failure(now),
            "trial": lambda target: target.health.note_failure(now - 2.0),
            "reported": lambda target: target.health.note_failure_report(now, now),
            "silent": lambda target: target.health.note_sent(now),
        }
        for name, spoil in faults.items():
            with self.subTest(fault=name):
                self.setUp()
                spoil(self.case.targets[1])
                if name == "silent":
                    self.case.state_load(0, 5)
                self.assertEqual(self.list_fit(), ["i-2"])

    def test_target_without_the_shared_prompt_is_not_fit(self):
        """The copy would make it read the prompt again."""
        self.case.call = dataclasses.replace(self.case.call, prefix_keys=(7, 3))
        self.assertEqual(self.list_fit(), [])
        self.case.prompt_holders = {7: {"i-2"}, 3: {"i-1"}}
        self.assertEqual(self.list_fit(), ["i-2"])

    def test_target_without_a_free_slot_is_not_fit(self):
        self.case.state_load(0, 9)
        self.case.state_load(1, 6)
        self.case.state_load(2, 5)
        self.assertEqual(self.list_fit(), ["i-2"])
