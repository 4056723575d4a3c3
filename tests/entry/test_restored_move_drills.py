"""Tests of version moves beside drills of the store with drawn moments."""

import unittest

from tests.entry.restored_move_drill import draw_move_drill, play_move_drill

# Each of these broke once.
WITHDRAWN_BEFORE_A_SECOND_DRILL = (6, 493, 533)
LATE_LEADER = (142,)
LEADER_WITHOUT_THE_ORDER = (396, 635)
DRAWN = range(1000, 1024)


class RestoredMoveDrillTest(unittest.TestCase):
    """Guard against moves that a drill begins anew, stops or leaves undecided."""

    def check(self, seeds: tuple[int, ...] | range) -> None:
        """Check that the drills of these seeds have no faults."""
        for seed in seeds:
            with self.subTest(seed=seed):
                drill = draw_move_drill(seed)
                self.assertEqual(play_move_drill(drill), [], drill)

    # Guards against an order whose withdrawal was read soon after a first drill, and
    # that the copy of a second one puts into effect again.
    def test_withdrawn_order_stays_withdrawn_in_a_second_drill(self):
        self.check(WITHDRAWN_BEFORE_A_SECOND_DRILL)

    # Guards against a leader that has started in the drill, and writes the first step
    # of a move before the others can write again what the copy lacks.
    def test_leader_that_starts_in_the_drill_does_not_begin_a_move_anew(self):
        self.check(LATE_LEADER)

    # Guards against a withdrawn move that stays undecided, as its leader has started in
    # the drill and knows of no order.
    def test_withdrawn_move_ends_though_its_leader_does_not_know_it(self):
        self.check(LEADER_WITHOUT_THE_ORDER)

    def test_no_drawn_drill_leaves_a_move_wrong(self):
        self.check(DRAWN)


if __name__ == "__main__":
    unittest.main()
