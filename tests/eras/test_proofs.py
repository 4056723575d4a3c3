"""Tests of what reads of a restored store prove."""

import unittest

from carobladder.eras import EraMonitor, TopicProofs


class TopicProofsTest(unittest.TestCase):
    """Guard against a copy that is taken for the newest state of the store."""

    def setUp(self):
        self.eras = EraMonitor()
        self.eras.note(2)
        self.proofs = TopicProofs(self.eras, needs_settled_era=True)

    def test_read_of_an_unsettled_era_is_progress_and_no_proof(self):
        self.proofs.note_read(10.0, era=2, settled_era=1)
        self.assertEqual(self.proofs.progress.synced_at, 10.0)
        self.assertFalse(self.proofs.freshness.synced)
        self.assertFalse(self.proofs.is_due(2))

    # Guards against a read that was sent before its era was settled.
    def test_mark_that_comes_after_the_read_makes_another_read_due(self):
        self.proofs.note_read(10.0, era=2, settled_era=None)
        self.eras.note_settled(2)
        self.assertFalse(self.proofs.freshness.synced)
        self.assertTrue(self.proofs.is_due(2))
        self.proofs.note_read(10.1, era=2, settled_era=2)
        self.assertEqual(self.proofs.freshness.synced_at, 10.1)
        self.assertFalse(self.proofs.is_due(2))

    def test_settled_keys_make_the_reads_proofs(self):
        self.proofs.note_read(10.0, era=2, settled_era=None)
        self.proofs.settle(2)
        self.assertEqual(self.proofs.freshness.synced_at, 10.0)
        self.assertTrue(self.eras.is_settled(2))

    def test_store_without_eras_and_other_topics_need_no_settled_era(self):
        self.proofs.note_read(10.0, era=None, settled_era=None)
        self.assertEqual(self.proofs.freshness.synced_at, 10.0)
        targets = TopicProofs(self.eras, needs_settled_era=False)
        targets.note_read(10.0, era=2, settled_era=None)
        targets.settle(2)
        self.assertEqual(targets.freshness.synced_at, 10.0)
        self.assertFalse(self.eras.is_settled(2))
