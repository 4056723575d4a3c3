"""Tests of the choice of a target by predicted completion."""

import random
import timeit
import unittest
from collections import Counter

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ColdPacer,
    LoadBounds,
    RatePacer,
    SelectionCriteria,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    VersionMoves,
)
from tests.fleet.builders import ENGINES, fill_table
from tests.fleet.test_completion import ROUTE

NOW = 100.0


def build_selector(table, seed=5):
    """Return a selector whose random choices follow from a seed."""
    ledger = ShareLedger(96)
    return TargetSelector(
        table,
        ColdPacer(ledger),
        RatePacer(ledger, VirtualClock(), random.Random(seed)),
        VersionMoves(0.1),
        LoadBounds(table, 2.0),
        random.Random(seed),
    )


def choose(selector, route, affinity=None):
    """Return the id of the chosen target."""
    criteria = SelectionCriteria(ENGINES, affinity, True, route=route)
    return selector.choose(criteria, NOW).target_id


class CompletionChoiceTest(unittest.TestCase):
    """Guard against slow targets that are chosen and fast ones that are missed."""

    def setUp(self):
        self.table, self.targets = fill_table(4, slots=6)
        self.selector = build_selector(self.table)

    def count(self, seeds=200):
        return Counter(
            choose(build_selector(self.table, seed), ROUTE) for seed in range(seeds)
        )

    def test_nothing_changes_for_targets_that_state_no_slowness(self):
        """Each choice is the one of a request for which nothing is predicted."""
        generator = random.Random(1)
        for affinity_share in (0.0, 0.5):
            before, after = build_selector(self.table), build_selector(self.table)
            for _ in range(300):
                target = generator.choice(self.targets)
                load = TargetLoad(generator.randrange(9), generator.randrange(4), 6)
                target.note_load(load, NOW - generator.random())
                target.health.note_first_byte(generator.random(), NOW)
                target.health.in_flight = generator.randrange(4)
                has_prompt = generator.random() < affinity_share
                key = generator.randrange(50) if has_prompt else None
                self.assertEqual(choose(before, None, key), choose(after, ROUTE, key))

    def test_slow_target_is_avoided(self):
        for target in self.targets:
            is_slow = target is self.targets[0]
            target.note_load(TargetLoad(1, 0, 6, 2.5 if is_slow else 1.0), NOW)
        self.assertEqual(self.count()["i-1"], 0)

    def test_target_above_the_load_bound_is_left_out(self):
        """The mean is 5, so the bound is 13; the fast target holds 14."""
        for target in self.targets:
            is_fast = target is self.targets[0]
            load, slowness = (14, 0.25) if is_fast else (2, 1.0)
            target.note_load(TargetLoad(load, 0, 6, slowness), NOW)
        self.assertEqual(self.count()["i-1"], 0)

    def test_slow_target_is_used_once_the_others_have_long_queues(self):
        for target in self.targets:
            is_slow = target is self.targets[0]
            waiting, slowness = (0, 2.5) if is_slow else (24, 1.0)
            target.note_load(TargetLoad(6, waiting, 6, slowness), NOW)
        self.assertEqual(self.count()["i-1"], 200)

    def test_instances_with_equal_figures_choose_differently(self):
        for target in self.targets:
            target.note_load(TargetLoad(3, 0, 6, 1.0), NOW)
        self.assertLess(max(self.count().values()), 80)

    def test_failing_target_is_avoided(self):
        for target in self.targets:
            target.note_load(TargetLoad(1, 0, 6, 1.0), NOW)
        for _ in range(10):
            self.targets[0].health.note_answer(failed=True)
        self.assertEqual(self.count()["i-1"], 0)

    def test_few_targets_are_compared_however_many_there_are(self):
        """The cost is counted in calls, as real time depends on the machine."""
        table, targets = fill_table(60, slots=6)
        for target in targets:
            target.note_load(TargetLoad(1, 0, 6, 1.0), NOW)
        selector = build_selector(table)
        predictor = selector._completion._predictor
        calls = Counter()
        predict = predictor.predict_seconds

        def count_calls(*arguments):
            calls["predicted"] += 1
            return predict(*arguments)

        predictor.predict_seconds = count_calls
        choose(selector, ROUTE)
        self.assertLessEqual(calls["predicted"], 8)


def measure_choice() -> float:
    """Return the microseconds of a choice among 60 targets."""
    table, targets = fill_table(60, slots=6)
    for target in targets:
        target.note_load(TargetLoad(1, 0, 6, 1.0), NOW)
    selector = build_selector(table)
    return timeit.timeit(lambda: choose(selector, ROUTE), number=2000) / 2000 * 1e6


if __name__ == "__main__":
    print(f"{measure_choice():.1f} us")
