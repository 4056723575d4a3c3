"""Test of a data centre that leaves under load, in virtual time."""

import unittest
from dataclasses import replace

from benchmarks.move_datacentres import DataCentreResult, MovingFleet
from benchmarks.placement_fleet import Arrival
from benchmarks.placement_workload import DEPLOYMENTS, generate_chats
from carobladder.moves.datacentres import ChatRule

# Long enough for the leave and the start of the window.
HOURS = 1.6
QUIET = replace(DEPLOYMENTS[0], chats_per_second=0.4)


class HeedlessFleet(MovingFleet):
    """Broken variant: sends work to the data centre whatever its phase."""

    def _rule(self, arrival: Arrival, engine_id: str) -> ChatRule:
        return ChatRule.USUAL


def run_leave(fleet_class: type[MovingFleet]) -> DataCentreResult:
    """Return the measures of a leave."""
    fleet = fleet_class(QUIET, True, seed=1, controlled=True, hours=HOURS)
    fleet.run(generate_chats(QUIET, seed=1, hours=HOURS))
    return fleet.result


class LeaveUnderLoadTest(unittest.TestCase):
    """Guard against work for a leaving data centre and requests that are cut."""

    def test_no_request_is_cut_and_no_new_work_comes_late(self):
        result = run_leave(MovingFleet)
        self.assertTrue(result.emptied_in_time)
        self.assertEqual((result.cut, result.late_new_work), (0, 0))

    def test_check_catches_a_fleet_that_ignores_the_move(self):
        result = run_leave(HeedlessFleet)
        self.assertGreater(result.cut, 0)
        self.assertGreater(result.late_new_work, 0)
