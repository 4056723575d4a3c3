"""Tests of prompts that one engine keeps and another reads again.

The pattern: engines are replaced, added and taken away, so that prompts move to engines
which do not keep them, while any instance knows only its own few requests.
"""

import unittest

from carobladder.fleet import PromptSharing, PromptWarmth
from tests.fleet.builders import build_entry, fill_table
from tests.fleet.prompt_simulation import PromptFleet

REPORT_BYTES = 13
# Of the 4 KB/s that an instance may send; loads and proofs take the most of it.
PROMPT_BYTES_PER_SECOND = 1024
LONGEST_INTERVAL_SECONDS = 0.3


class ReleaseTest(unittest.TestCase):
    """Guard against prompts that are read again though a live engine keeps them."""

    def play(self, instances: int, seed: int, tells: bool) -> int:
        """Replace half of the engines in turn; return the prompts read again."""
        fleet = PromptFleet(instances, 6, seed, tells)
        prompts = list(range(1, 60))
        fleet.advance(10.0, 40.0, prompts)
        fleet.read_again = 0
        for engine in fleet.list_engines()[:3]:
            fleet.add_engine()
            fleet.drain_engine(engine)
            fleet.advance(2.0, 40.0, prompts)
        fleet.advance(6.0, 40.0, prompts)
        return fleet.read_again

    def test_half_of_the_engines_replaced(self):
        for instances in (8, 40):
            guessed = sum(self.play(instances, seed, False) for seed in range(4))
            told = sum(self.play(instances, seed, True) for seed in range(4))
            self.assertLess(told, guessed / 2, (instances, told, guessed))

    def test_hot_prompt_while_engines_are_added(self):
        counts = {}
        for tells in (False, True):
            fleet = PromptFleet(40, 6, 5, tells)
            fleet.advance(4.0, 40.0, [1, 1, 1, 2, 3])
            fleet.read_again = 0
            for _ in range(4):
                fleet.add_engine()
                fleet.advance(2.0, 40.0, [1, 1, 1, 2, 3])
            counts[tells] = fleet.read_again
        self.assertLessEqual(counts[True], counts[False])


class SpreadTest(unittest.TestCase):
    """Guard against reports that few get, that cost too much, or that never rest."""

    def spread(self, instances: int) -> tuple[float, PromptFleet]:
        """Return after how many rounds 95 of 100 instances know, and the fleet."""
        fleet = PromptFleet(instances, 3, 2, True)
        first = fleet.instances[0]
        first.prompts.note_read(7, 5000, first.table.find("i-1"))
        for rounds in range(1, 40):
            fleet.exchange()
            if fleet.count_knowing(7, "i-1") >= 0.95 * instances:
                return rounds, fleet
        self.fail(f"only {fleet.count_knowing(7, 'i-1')} of {instances} know")

    def test_all_sizes_know_within_seconds(self):
        for instances in (8, 87, 195, 800):
            rounds, _ = self.spread(instances)
            self.assertLess(rounds * LONGEST_INTERVAL_SECONDS, 5.0, instances)

    def test_report_that_all_know_is_not_told_any_more(self):
        _, fleet = self.spread(87)
        for _ in range(20):
            fleet.exchange()
        fleet.sent_bytes = 0
        fleet.exchange()
        self.assertEqual(fleet.sent_bytes, 0)

    def test_prompt_that_many_engines_keep_is_not_told_for_ever(self):
        """Lists of holders are short, so the reports would push each other out."""
        fleet = PromptFleet(20, 30, 3, True)
        for index, instance in enumerate(fleet.instances):
            target = instance.table.find(f"i-{index + 1}")
            instance.prompts.note_read(7, 5000, target)
        for _ in range(60):
            fleet.exchange()
        fleet.sent_bytes = 0
        fleet.exchange()
        self.assertEqual(fleet.sent_bytes, 0)

    def test_bytes_of_an_instance_are_bounded(self):
        table, targets = fill_table(1)
        sharing = PromptSharing(table, PromptWarmth(table))
        for prompt in range(5000):
            sharing.note_read(prompt, 1000, targets[0])
        per_second = len(sharing.collect()) / LONGEST_INTERVAL_SECONDS
        self.assertLessEqual(per_second, PROMPT_BYTES_PER_SECOND)
        self.assertLessEqual(len(sharing._pending), 1024)


class ReportTest(unittest.TestCase):
    """Guard against reports that mislead or stop an instance."""

    def setUp(self):
        self.table, self.targets = fill_table(2)
        self.warmth = PromptWarmth(self.table)
        self.sharing = PromptSharing(self.table, self.warmth)
        other_table, _ = fill_table(2)
        self.other_warmth = PromptWarmth(other_table)
        self.other = PromptSharing(other_table, self.other_warmth)

    def test_report_names_a_source(self):
        self.sharing.note_read(7, 1000, self.targets[0])
        self.other.take(self.sharing.collect())
        chosen = self.other._table.find("i-2")
        source = self.other_warmth.find_source((7,), chosen, 1.0)
        self.assertEqual(source.target_id, "i-1")

    def test_long_parts_go_first_and_short_ones_stay_untold(self):
        for prompt in range(100):
            self.sharing.note_read(prompt, 200, self.targets[0])
        self.sharing.note_read(1000, 30_000, self.targets[0])
        self.sharing.note_read(2000, 10, self.targets[0])
        first = self.sharing.collect()[:REPORT_BYTES]
        self.assertEqual(int.from_bytes(first[:8], "big"), 1000)
        told = b""
        while data := self.sharing.collect():
            told += data
        self.assertNotIn((2000).to_bytes(8, "big"), told)

    def test_what_is_known_is_not_told_again(self):
        for _ in range(5):
            self.sharing.note_read(7, 1000, self.targets[0])
        told = 0
        while data := self.sharing.collect():
            told += len(data)
        self.assertEqual(told, 4 * REPORT_BYTES)
        self.sharing.note_read(7, 1000, self.targets[0])
        self.assertEqual(self.sharing.collect(), b"")

    def test_bytes_that_are_no_reports(self):
        self.sharing.take(b"\xff" * 100)
        self.sharing.take(b"x")
        self.sharing.note_read(7, 1000, self.targets[0])
        data = self.sharing.collect()
        self.other.take(data + data[:5])
        self.assertEqual(len(self.other._pending), 1)

    def test_target_that_is_gone_or_unknown_is_left_out(self):
        self.sharing.note_read(7, 1000, self.targets[0])
        data = self.sharing.collect()
        self.other._table.discard("i-1")
        self.other.take(data)
        self.assertEqual(self.other.collect(), b"")

    def test_report_of_a_run_before_costs_only_a_copy(self):
        self.sharing.note_read(7, 1000, self.targets[0])
        self.other._table.apply(build_entry("i-1", born_ms=2), 5.0)
        self.other.take(self.sharing.collect())
        chosen = self.other._table.find("i-2")
        source = self.other_warmth.find_source((7,), chosen, 6.0)
        self.assertEqual(source.target_id, "i-1")


if __name__ == "__main__":
    unittest.main()
