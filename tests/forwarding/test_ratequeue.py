"""Tests of the order in which requests wait for limited targets."""

import unittest

from carobladder.forwarding.ratequeue import RateQueue


class RateQueueTest(unittest.TestCase):
    """Guard against urgent requests that wait behind others."""

    def test_urgent_requests_go_first_then_the_oldest(self):
        queue = RateQueue()
        with (
            queue.join("stock", 3) as low,
            queue.join("stock", 1) as urgent,
            queue.join("stock", 3) as late,
            queue.join("other", 0),
        ):
            self.assertEqual(queue.count_before("stock", urgent), 0)
            self.assertEqual(queue.count_before("stock", low), 1)
            self.assertEqual(queue.count_before("stock", late), 2)

    def test_requests_that_left_hold_no_place(self):
        queue = RateQueue()
        with queue.join("stock", 3) as low:
            with queue.join("stock", 1):
                self.assertTrue(queue.has_waiting("stock"))
            self.assertEqual(queue.count_before("stock", low), 0)
        self.assertFalse(queue.has_waiting("stock"))


if __name__ == "__main__":
    unittest.main()
