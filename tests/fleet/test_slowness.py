"""Tests of the estimate of how slowly a target works."""

import random
import unittest

from carobladder.fleet import SlownessTrend, TargetSlowness


def play(redraw_seconds, *, seconds=60.0, slow_share=0.5, seed=1):
    """Return the slowness of a target that is redrawn, heard of each 0.15 s or so."""
    generator = random.Random(seed)
    slowness = TargetSlowness(SlownessTrend())
    now, redraw_at, value = 0.0, 0.0, 1.0
    while now < seconds:
        now += generator.expovariate(1.0 / 0.15)
        while redraw_at <= now:
            redraw_at += redraw_seconds
            value = 2.5 if generator.random() < slow_share else 1.0
        slowness.note_stated(value, now)
        slowness.note_response(0.07 * value, 0.07, now)
    return slowness, now


class TargetSlownessTest(unittest.TestCase):
    """Guard against figures that are believed for longer than they hold."""

    def test_fast_changing_figure_is_worth_little_after_a_second(self):
        slowness, now = play(0.6)
        slowness.note_stated(2.5, now + 0.001)
        fresh = slowness.estimate(now + 0.02)
        self.assertGreater(fresh.value, 2.2)
        self.assertTrue(fresh.is_certain)
        stale = slowness.estimate(now + 1.0)
        self.assertFalse(stale.is_certain)
        self.assertAlmostEqual(stale.value, 1.75, delta=0.3)

    def test_permanently_slow_target_stays_slow(self):
        slowness, now = play(0.6, slow_share=1.0)
        self.assertGreater(slowness.estimate(now + 1.0).value, 2.2)

    def test_later_report_of_an_earlier_figure_is_ignored(self):
        slowness = TargetSlowness(SlownessTrend())
        slowness.note_stated(2.5, 10.0)
        slowness.note_stated(1.0, 9.9)
        slowness.note_stated(1.0, 10.0)
        self.assertEqual(slowness.stated, 2.5)
        self.assertEqual(slowness.read_age(10.5), 0.5)

    def test_load_without_a_figure_does_not_clear_it(self):
        """An instance of an earlier version passes loads on without the figure."""
        slowness = TargetSlowness(SlownessTrend())
        slowness.note_stated(2.5, 10.0)
        slowness.note_stated(None, 10.1)
        self.assertEqual(slowness.stated, 2.5)

    def test_response_times_outweigh_false_figures(self):
        for stated, true in ((9.0, 1.0), (1.0, 2.5)):
            with self.subTest(stated=stated):
                generator = random.Random(3)
                slowness = TargetSlowness(SlownessTrend())
                for step in range(40):
                    now = step * 0.5
                    slowness.note_stated(stated, now)
                    seconds = 0.07 * true * generator.lognormvariate(-0.1, 0.45)
                    slowness.note_response(seconds, 0.07, now)
                self.assertAlmostEqual(
                    slowness.estimate(now + 0.01).value, true, delta=0.5
                )

    def test_false_figure_of_one_target_leaves_the_others_their_trend(self):
        trend = SlownessTrend()
        target, honest = TargetSlowness(trend), TargetSlowness(trend)
        generator = random.Random(2)
        for step in range(400):
            target.note_stated(9.0, step * 0.3)
            honest.note_stated(generator.choice((1.0, 2.5)), step * 0.3)
        self.assertLess(trend.correlate(0.3), 0.35)

    def test_slow_target_without_responses_is_tried_again(self):
        slowness = TargetSlowness(SlownessTrend())
        for step in range(100):
            slowness.note_stated(9.0, step * 0.3)
        self.assertLess(slowness.estimate(30.0).value, 1.5)

    def test_target_that_states_nothing_is_uncertain(self):
        slowness = TargetSlowness(SlownessTrend())
        estimate = slowness.estimate(1.0)
        self.assertEqual((estimate.value, estimate.is_certain), (1.0, False))
