"""Tests of target selection under load and of the known prompt locations."""

import dataclasses
import random
import unittest
from collections import Counter

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ColdPacer,
    LoadBounds,
    MoveState,
    MoveStep,
    PromptLocations,
    RatePacer,
    RolloutOrder,
    SelectionCriteria,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    VersionMoves,
)
from tests.fleet.builders import ENGINES, build_entry, fill_table

LOAD_MULTIPLE = 2.0


def build_selector(table, held=frozenset(range(96)), moves=None):
    """Return the selector of an instance that holds these partitions."""
    ledger = ShareLedger(96)
    ledger.assign(held)
    return TargetSelector(
        table,
        ColdPacer(ledger),
        RatePacer(ledger, VirtualClock(), random.Random(5)),
        moves or VersionMoves(0.1),
        LoadBounds(table, LOAD_MULTIPLE),
        random.Random(5),
    )


def choose(selector, affinity=None, *, may_repeat=False, excluded=(), now=100.0):
    """Return the id of the chosen target, or None."""
    criteria = SelectionCriteria(ENGINES, affinity, may_repeat, excluded)
    target = selector.choose(criteria, now)
    return target.target_id if target else None


class TargetSelectorTest(unittest.TestCase):
    """Guard against prompts that move between targets and against overloaded ones."""

    def setUp(self):
        self.table, self.targets = fill_table(9)
        self.selector = build_selector(self.table)

    def test_a_prompt_keeps_its_target(self):
        rounds = [[choose(self.selector, key) for key in range(20)] for _ in range(5)]
        for chosen in rounds[1:]:
            self.assertEqual(chosen, rounds[0])

    def test_hot_prompt_is_spread_without_load_reports(self):
        """A fifth of all requests has the same prompt; no target reports its load."""
        generator = random.Random(2)
        chosen = Counter()
        for step in range(400):
            hot = generator.random() < 0.2
            key = 7 if hot else generator.randrange(100, 200)
            target = choose(self.selector, key, now=100.0 + step * 0.05)
            if hot and step > 200:
                chosen[target] += 1
        self.assertGreaterEqual(len(chosen), 2)
        self.assertLessEqual(len(chosen), 4)

    def test_prompts_spread_over_the_targets(self):
        chosen = Counter(choose(self.selector, key) for key in range(900))
        self.assertEqual(len(chosen), 9)
        self.assertLess(max(chosen.values()), 160)

    def test_all_instances_choose_the_same_target(self):
        other_table, _ = fill_table(9)
        other = build_selector(other_table)
        for affinity in range(50):
            self.assertEqual(choose(self.selector, affinity), choose(other, affinity))

    def test_hot_prompt_overflows_before_the_load_multiple(self):
        """Sixty requests with one prompt keep running, besides six on each target."""
        for target in self.targets:
            target.health.note_load(TargetLoad(6, 0, 128), 100.0)
        hot = choose(self.selector, 7)
        for _ in range(60):
            chosen = self.table.find(choose(self.selector, 7))
            chosen.health.in_flight += 1
        loads = {t.target_id: t.health.estimate_load(100.0) for t in self.targets}
        mean = sum(loads.values()) / len(loads)
        self.assertGreater(loads[hot], mean)
        self.assertLessEqual(max(loads.values()), LOAD_MULTIPLE * mean + 3)

    def test_emptied_data_centre_counts_towards_the_mean(self):
        """A third of the targets is idle; sixty prompts rank the same target first."""
        for target in self.targets[:3]:
            self.table.apply(build_entry(target.target_id, data_centre="dc-2"), 100.0)
        self.table.set_emptied("dc-2", True)
        for target in self.targets[3:]:
            target.health.note_load(TargetLoad(6, 0, 128), 100.0)
        first = choose(self.selector, 0)
        keys = [k for k in range(2000) if choose(self.selector, k) == first]
        for key in keys[:60]:
            self.table.find(choose(self.selector, key)).health.in_flight += 1
        loads = [t.health.estimate_load(100.0) or 0.0 for t in self.targets]
        mean = sum(loads) / len(loads)
        self.assertLessEqual(max(loads), LOAD_MULTIPLE * mean + 3)

    def test_instances_with_equal_loads_do_not_all_choose_the_same_target(self):
        """All usable targets exceed the limit, since a third of the targets is idle."""
        for target in self.targets[:3]:
            self.table.apply(build_entry(target.target_id, data_centre="dc-2"), 100.0)
        self.table.set_emptied("dc-2", True)
        for index, target in enumerate(self.targets[3:]):
            target.health.note_load(TargetLoad(40 + index, 0, 128), 100.0)
        chosen = Counter()
        for seed in range(60):
            ledger = ShareLedger(96)
            selector = TargetSelector(
                self.table,
                ColdPacer(ledger),
                RatePacer(ledger, VirtualClock(), random.Random(seed)),
                VersionMoves(0.1),
                LoadBounds(self.table, 1.2),
                random.Random(seed),
            )
            chosen[choose(selector, seed)] += 1
        self.assertLess(max(chosen.values()), 30)

    def test_target_without_a_load_report_does_not_count_as_idle(self):
        affinity = next(k for k in range(100) if choose(self.selector, k) == "i-1")
        self.table.find("i-1").health.note_load(TargetLoad(7, 0, 128), 100.0)
        self.assertEqual(choose(self.selector, affinity), "i-1")

    def test_suspect_target_is_avoided_and_tried_only_with_repeatable_requests(self):
        affinity = next(k for k in range(100) if choose(self.selector, k) == "i-1")
        health = self.table.find("i-1").health
        health.note_failure(100.0)
        self.assertNotEqual(choose(self.selector, affinity), "i-1")
        health.note_probe(True, 100.6)
        later = 101.0
        self.assertNotEqual(choose(self.selector, affinity, now=later), "i-1")
        self.assertEqual(
            choose(self.selector, affinity, may_repeat=True, now=later), "i-1"
        )

    def test_suspect_target_is_chosen_if_there_is_no_other(self):
        for target in self.targets:
            target.health.note_failure(100.0)
        self.assertIsNotNone(choose(self.selector, 7))

    def test_excluded_and_removed_targets_are_not_chosen(self):
        everything = [target.target_id for target in self.targets]
        self.assertIsNone(choose(self.selector, 7, excluded=everything))
        for target_id in everything:
            self.table.discard(target_id)
        self.assertIsNone(choose(self.selector))

    def test_cold_rate_of_zero_is_not_an_unknown_one(self):
        """A cold target that tolerates no request got as many as a warm one."""
        for target in self.table.list_all():
            entry = build_entry(target.target_id, cold_seconds=5.0, started_ms=9)
            self.table.apply(entry, 100.0)
        for rate, is_chosen in ((0.0, False), (None, True)):
            with self.subTest(rate=rate):
                service = dataclasses.replace(ENGINES, cold_per_second=rate)
                criteria = SelectionCriteria(service, None, may_repeat=False)
                chosen = self.selector.choose(criteria, 100.0)
                self.assertEqual(chosen is not None, is_chosen)

    def test_returning_cold_data_centre_gets_no_more_than_its_rate(self):
        """A third of the engines returns cold while all others are warm."""
        for index in (1, 2, 3):
            entry = build_entry(f"i-{index}", cold_seconds=5.0, started_ms=9)
            self.table.apply(entry, 100.0)
        selector = build_selector(self.table, frozenset(range(0, 96, 9)))
        chosen = Counter(choose(selector, key, now=100.0) for key in range(400))
        cold = sum(chosen[f"i-{index}"] for index in (1, 2, 3))
        self.assertGreater(cold, 0)
        self.assertLess(cold, 18)
        self.assertEqual(sum(chosen.values()), 400)

    def test_failing_target_gets_fewer_requests_without_a_prompt(self):
        """One of three targets is reachable but fails half of its requests."""
        table, targets = fill_table(3)
        for _ in range(30):
            targets[0].health.note_answer(failed=True)
            targets[0].health.note_answer(failed=False)
        selector = build_selector(table)
        chosen = Counter(choose(selector) for _ in range(300))
        self.assertLess(chosen["i-1"], 30)

    def test_slow_target_gets_fewer_requests_without_a_prompt(self):
        table, targets = fill_table(3)
        for _ in range(40):
            targets[0].health.note_first_byte(0.4, 0.0)
            targets[1].health.note_first_byte(0.1, 0.0)
            targets[2].health.note_first_byte(0.1, 0.0)
        selector = build_selector(table)
        chosen = Counter(choose(selector) for _ in range(300))
        self.assertLess(chosen["i-1"], 30)
        self.assertGreater(min(chosen["i-2"], chosen["i-3"]), 100)


class OverloadTest(unittest.TestCase):
    """Guard against requests that wait although a target could take them."""

    def setUp(self):
        self.table, self.targets = fill_table(9)
        self.selector = build_selector(self.table)
        for target in self.targets[3:]:
            self.table.apply(build_entry(target.target_id, draining=True), 100.0)
        for target in self.targets[:3]:
            target.health.note_load(TargetLoad(20, 0, 128), 100.0)

    def is_overloaded(self, **criteria) -> bool:
        criteria = SelectionCriteria(ENGINES, 7, may_repeat=False, **criteria)
        return self.selector.is_overloaded(criteria, 100.0)

    def test_few_targets_above_the_bound_are_overloaded(self):
        self.assertTrue(self.is_overloaded())

    def test_one_target_below_the_bound_is_enough(self):
        self.targets[0].health.note_load(TargetLoad(10, 0, 128), 100.1)
        self.assertFalse(self.is_overloaded())

    def test_level_targets_are_not_overloaded_while_half_of_them_are_in_use(self):
        for target in self.targets[3:5]:
            self.table.apply(build_entry(target.target_id), 100.0)
            target.health.note_load(TargetLoad(500, 0, 128), 100.0)
        self.assertFalse(self.is_overloaded())

    def test_nothing_waits_while_a_target_fails(self):
        self.targets[8].health.note_failure(100.0)
        self.assertFalse(self.is_overloaded())

    def test_nothing_waits_without_a_usable_target(self):
        excluded = [target.target_id for target in self.targets]
        self.assertFalse(self.is_overloaded(excluded=excluded))

    def test_check_does_not_use_up_the_share_of_a_new_version(self):
        for target in self.targets[:2]:
            self.table.apply(build_entry(target.target_id, version="v2"), 100.0)
        moves = VersionMoves(0.1)
        moves.take_order(RolloutOrder("engine", "v2", 30.0, 5), 100.0)
        moves.apply_step(
            MoveStep("engine", "v2", 5, MoveState.RUNNING, 0.5, 1.0), 100.0
        )
        self.selector = build_selector(self.table, moves=moves)
        for _ in range(8):
            self.is_overloaded()
        self.assertEqual(moves.services["engine"].credit, 0.0)


class PromptLocationsTest(unittest.TestCase):
    """Guard against prompts that are computed again although a target has them."""

    def setUp(self):
        self.table, self.targets = fill_table(4)
        self.locations = PromptLocations(self.table)
        self.selector = build_selector(self.table)
        self.first = self.table.find(choose(self.selector, 7))
        self.other = next(t for t in self.targets if t is not self.first)

    def note_sent(self, prefixes, target):
        """Record a request with several shared prefixes."""
        for prefix in prefixes:
            self.locations.note_read(prefix, target)

    def test_first_ranked_target_needs_no_source(self):
        self.assertIsNone(self.locations.find_source((7,), self.first, 100.0))

    def test_overflow_target_copies_from_the_first_ranked(self):
        self.assertIs(self.locations.find_source((7,), self.other, 100.0), self.first)

    def test_target_that_has_the_prompt_needs_no_source(self):
        self.locations.note_read(7, self.other)
        self.assertIsNone(self.locations.find_source((7,), self.other, 100.0))

    def test_new_target_copies_from_the_previously_first_ranked(self):
        """After a scale-out a new target is ranked first for some prompts."""
        added = self.table.apply(build_entry("i-9"), 100.0)
        key = next(k for k in range(200) if choose(self.selector, k) == "i-9")
        source = self.locations.find_source((key,), added, 101.0)
        self.assertIsNotNone(source)
        self.assertIsNot(source, added)

    def test_draining_target_is_a_source_and_a_failed_one_is_not(self):
        self.locations.note_read(7, self.first)
        entry = build_entry(self.first.target_id, draining=True)
        self.table.apply(entry, 100.0)
        self.assertIs(self.locations.find_source((7,), self.other, 101.0), self.first)
        self.first.health.note_failure(101.0)
        self.assertIsNot(
            self.locations.find_source((7,), self.other, 101.1), self.first
        )
        self.table.discard(self.first.target_id)
        self.assertIsNot(
            self.locations.find_source((7,), self.other, 102.0), self.first
        )

    def test_memory_is_bounded(self):
        for key in range(20_500):
            self.locations.note_read(key, self.first)
        self.assertLessEqual(len(self.locations._holders), 20_000)

    def test_shorter_prefix_is_copied_for_a_new_prompt(self):
        """Forty catalogues share a few parts; each engine would compute each part."""
        self.note_sent((1, 50), self.other)
        source = self.locations.find_source((7, 50), self.first, 100.0)
        self.assertIs(source, self.other)
        self.note_sent((7, 50), self.first)
        self.assertIsNone(self.locations.find_source((7, 50), self.first, 100.0))
        self.note_sent((2, 50), self.first)
        self.assertIsNone(self.locations.find_source((7, 50), self.first, 100.0))
