"""Tests of the operators' bound on the load of a target."""

import unittest

from carobladder.fleet import LoadBounds, TargetLoad
from tests.fleet.builders import build_entry, fill_table

NOW = 100.0


class LoadBoundsTest(unittest.TestCase):
    """Guard against a bound that leaves out some targets of the service."""

    def setUp(self):
        self.table, self.targets = fill_table(4)
        self.bounds = LoadBounds(self.table, 2.0)
        for target in self.targets[:2]:
            target.health.note_load(TargetLoad(8, 2, 128), NOW)

    def test_idle_targets_count_towards_the_mean(self):
        self.assertAlmostEqual(self.bounds.compute("engine", NOW), 2.0 * 5.0 + 3.0)

    def test_draining_target_counts_towards_the_mean(self):
        self.table.apply(build_entry("i-1", draining=True), NOW)
        self.assertAlmostEqual(self.bounds.compute("engine", NOW), 13.0)

    def test_load_multiple_can_change(self):
        self.bounds.load_multiple = 3.0
        self.assertAlmostEqual(self.bounds.compute("engine", NOW), 18.0)

    def test_service_without_targets_has_only_the_tolerated_requests(self):
        self.assertEqual(self.bounds.compute("nobody", NOW), 3.0)
