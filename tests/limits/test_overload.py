"""Tests of admission under overload, in a simulation with stale loads."""

import dataclasses
import unittest

from tests.limits.overload_simulation import (
    AdmissionPolicy,
    Caller,
    OverloadRun,
    Scenario,
    TodayPolicy,
)

OVERLOAD = Scenario(load=1.5, seconds=9.0)
# Differences of shares below this are noise between two runs of one policy.
NOISE = 0.02


def is_any(caller: Caller) -> bool:
    """Select all callers."""
    return True


class OverloadTest(unittest.TestCase):
    """Guard against admission that serves callers less, or later, than without it."""

    def compare(self, **changes) -> tuple[OverloadRun, OverloadRun]:
        """Return the runs of a scenario without and with admission."""
        scenario = dataclasses.replace(OVERLOAD, **changes)
        before = OverloadRun(scenario, TodayPolicy()).run()
        return before, OverloadRun(scenario, AdmissionPolicy()).run()

    def assert_serves_more(self, before: OverloadRun, after: OverloadRun) -> None:
        """Check that as many callers are served, and more of them on time."""
        served_before, on_time_before = before.measure(is_any)
        served, on_time = after.measure(is_any)
        self.assertGreater(served, served_before - NOISE)
        self.assertGreater(on_time, on_time_before + 0.05)

    def test_more_callers_are_served_on_time(self):
        for instances in (35, 76):
            before, after = self.compare(instances=instances)
            self.assert_serves_more(before, after)

    def test_slight_overload_is_left_to_the_queues_of_the_targets(self):
        """Refusals in short waves would make callers late that a queue serves."""
        before, after = self.compare(load=1.0)
        served_before, on_time_before = before.measure(is_any)
        served, on_time = after.measure(is_any)
        self.assertGreater(served, served_before - 0.005)
        self.assertGreater(on_time, on_time_before - NOISE)

    def test_load_below_the_slots_is_served_as_before(self):
        before, after = self.compare(load=0.3)
        self.assertEqual(
            [caller.answered_seconds for caller in before.callers],
            [caller.answered_seconds for caller in after.callers],
        )
        self.assertEqual(sum(caller.refusals for caller in after.callers), 0)

    def test_urgent_requests_are_served_first(self):
        _, after = self.compare()
        urgent, _ = after.measure(lambda caller: caller.priority == 0)
        other, _ = after.measure(lambda caller: caller.priority == 1)
        self.assertGreater(urgent, 0.98)
        self.assertLess(other, urgent)

    def test_surge_of_a_team_is_refused_before_other_teams(self):
        _, after = self.compare()
        surging, _ = after.measure(lambda caller: caller.team == 0)
        others, _ = after.measure(lambda caller: caller.team != 0)
        self.assertGreater(others, 0.9)
        self.assertGreater(surging, 0.4)

    def test_surge_without_shares(self):
        """The check above must fail without the rule that it guards."""
        run = OverloadRun(OVERLOAD, AdmissionPolicy())
        for instance in run.instances:
            record = instance.admission._record
            record.is_above_share = lambda priority, team, now: False
        run.run()
        self.assertLess(run.measure(lambda caller: caller.team != 0)[0], 0.9)

    def test_lowest_priority_keeps_a_quarter_of_the_mean(self):
        _, after = self.compare(load=1.8, urgent_share=0.8)
        lowest, _ = after.measure(lambda caller: caller.priority == 1)
        mean, _ = after.measure(is_any)
        self.assertGreater(lowest, mean / 4.0)

    def test_starved_priority_without_ageing(self):
        """The check above must fail without the rule that it guards."""
        scenario = dataclasses.replace(OVERLOAD, load=1.8, urgent_share=0.8)
        run = OverloadRun(scenario, AdmissionPolicy())
        for instance in run.instances:
            instance.admission._record.is_starved = lambda priority, now: False
        run.run()
        lowest, _ = run.measure(lambda caller: caller.priority == 1)
        self.assertLess(lowest, run.measure(is_any)[0] / 4.0)

    def test_service_without_refusals_answers_before_the_deadline(self):
        """Queues without a bound must not make every answer too late."""
        before, after = self.compare(queue=100_000)
        self.assertGreater(after.measure(is_any)[0], before.measure(is_any)[0] + 0.2)

    def test_clumps_and_skewed_callers(self):
        self.assert_serves_more(*self.compare(clump=3))
        self.assert_serves_more(*self.compare(skew=0.33))

    def test_hanging_target(self):
        before, after = self.compare(hanging=1, load=0.9)
        self.assertGreater(after.measure(is_any)[0], before.measure(is_any)[0] - NOISE)

    def test_impatient_callers_gain_less_than_before(self):
        before, after = self.compare()
        gains = []
        for run in (before, after):
            impatient, _ = run.measure(lambda caller: not caller.is_patient)
            patient, _ = run.measure(lambda caller: caller.is_patient)
            gains.append(impatient - patient)
        self.assertLess(gains[1], max(gains[0], NOISE))

    def test_restart_of_all_instances_under_full_load(self):
        """Stated loads must decide while the instances' own counts are 0."""
        before, after = self.compare(restart_at=6.0)
        self.assert_serves_more(before, after)

    def test_fewer_requests_are_sent_in_vain(self):
        before, after = self.compare()
        self.assertLess(after.sends, before.sends / 2)


if __name__ == "__main__":
    unittest.main()
