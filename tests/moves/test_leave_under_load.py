"""Test of a data centre leaving service under load, in virtual time."""

import unittest
from dataclasses import replace

from benchmarks.move_datacentres import DataCentreResult, MovingFleet
from benchmarks.placement_fleet import Arrival
from benchmarks.placement_workload import DEPLOYMENTS, generate_chats
from carobladder.moves.datacentres import RoutingPreference

# Long enough for the leave and the start of the window.
HOURS = 1.6
LIGHT_LOAD = replace(DEPLOYMENTS[0], chats_per_second=0.4)


class PhaseIgnoringFleet(MovingFleet):
    """Faulty variant that sends requests to the data centre in every phase."""

    def _rule(self, arrival: Arrival, engine_id: str) -> RoutingPreference:
        return RoutingPreference.PREFERRED


def run_leave(fleet_class: type[MovingFleet]) -> DataCentreResult:
    """Simulate a leave and return its measurements."""
    fleet = fleet_class(LIGHT_LOAD, True, seed=1, controlled=True, hours=HOURS)
    fleet.run(generate_chats(LIGHT_LOAD, seed=1, hours=HOURS))
    return fleet.result


class LeaveUnderLoadTest(unittest.TestCase):
    """Guard against new requests to a leaving data centre and aborted requests."""

    def test_no_request_is_aborted_and_none_starts_after_the_leave(self):
        result = run_leave(MovingFleet)
        self.assertTrue(result.emptied_in_time)
        self.assertEqual((result.cut, result.late_new_work), (0, 0))

    def test_check_detects_a_fleet_that_ignores_the_move(self):
        result = run_leave(PhaseIgnoringFleet)
        self.assertGreater(result.cut, 0)
        self.assertGreater(result.late_new_work, 0)
