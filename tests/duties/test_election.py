"""Tests of the decision when an instance tries to become holder."""

import unittest

from carobladder.duties import Election, HolderState
from carobladder.fleet import ShareLedger

INTERVAL_SECONDS = 0.4


class ElectionTest(unittest.TestCase):
    """Guard against a fleet without a holder, and against needless changes of it."""

    def setUp(self):
        self.ledger = ShareLedger(12)
        self.election = Election(self.ledger, INTERVAL_SECONDS)
        self.now = 100.0

    def count_ticks(self, state, limit=40):
        """Return the ticks until this instance tries to become holder, or None."""
        for count in range(1, limit):
            self.now += INTERVAL_SECONDS
            if self.election.tick(self.now, state):
                return count
        return None

    def hold(self, *partitions):
        self.ledger.assign(frozenset(partitions), self.now)
        self.election.tick(self.now, HolderState.KNOWN)

    def test_candidates_take_over_one_after_the_other(self):
        ticks = []
        for rank in range(3):
            self.setUp()
            self.hold(rank, 7)
            ticks.append(self.count_ticks(HolderState.KNOWN))
        self.assertEqual(ticks, [5, 7, 9])

    def test_released_duties_are_taken_at_once(self):
        for rank in range(3):
            self.setUp()
            self.hold(rank)
            self.assertEqual(self.count_ticks(HolderState.RELEASED), 1)

    def test_other_instances_never_take_over(self):
        self.hold(3, 4, 5)
        self.assertIsNone(self.count_ticks(HolderState.KNOWN))

    def test_share_must_count_while_no_holder_is_known(self):
        """An instance that has just started has not heard of the holder yet."""
        self.hold(0)
        self.assertEqual(self.count_ticks(HolderState.UNKNOWN), 9)

    def test_answers_keep_the_holder(self):
        self.hold(0)
        for _ in range(30):
            self.election.note_answer()
            self.now += INTERVAL_SECONDS
            self.assertFalse(self.election.tick(self.now, HolderState.KNOWN))

    def test_candidate_that_was_paused_itself_probes_anew(self):
        self.hold(0)
        for _ in range(4):
            self.now += INTERVAL_SECONDS
            self.election.tick(self.now, HolderState.KNOWN)
        self.now += 30.0
        self.assertFalse(self.election.tick(self.now, HolderState.KNOWN))
        self.assertEqual(self.count_ticks(HolderState.KNOWN), 5)
