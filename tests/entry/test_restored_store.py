"""Tests of instances whose store comes back from a copy some seconds old.

The store's offsets go back and are given out again. What the operator and the servers
wrote since the copy is written again some time later. Until then no instance may take
what is missing for removed; afterwards all must agree with the store.
"""

import dataclasses
import random
import unittest

from tests.entry.restored_drill import Drill, play

# Each age of the copy with each time away and each time to the second writing.
PLAIN = (
    Drill(9.0, 0.5, 0.1, seed=1),
    Drill(9.0, 2.0, 1.0, seed=2, more_lost=8, is_silent=False),
    Drill(9.0, 4.0, 2.0, seed=3),
    Drill(3.0, 0.5, 1.0, seed=4, is_silent=False),
    Drill(3.0, 2.0, 2.0, seed=5, more_lost=3),
    Drill(3.0, 4.0, 0.1, seed=6, more_lost=8, is_silent=False),
    Drill(0.5, 0.5, 2.0, seed=7, more_lost=5),
    Drill(0.5, 2.0, 0.1, seed=8, is_silent=False),
    Drill(0.5, 4.0, 1.0, seed=9, more_lost=5),
)
# Offsets of the old era that the new one passes before an instance reads there: no
# read is answered with 410.
PASSED = (
    Drill(3.0, 0.5, 1.0, seed=11, gap_writes=4),
    Drill(9.0, 2.0, 2.0, seed=12, gap_writes=12),
    Drill(0.5, 4.0, 2.0, seed=13, gap_writes=12, is_silent=False),
)
# A configuration before the second writing, which brings older ones again.
EARLY_VERSION = (
    Drill(3.0, 2.0, 1.0, seed=16, gap_version=True),
    Drill(9.0, 0.5, 2.0, seed=17, more_lost=6, gap_version=True, is_silent=False),
)
# An instance without contact to the store and the others through the drill: one that
# does not read for the fleet and one that does, back before and after the second
# writing.
CUT_OFF = (
    Drill(3.0, 2.0, 1.0, seed=21, cut_off="n3"),
    Drill(9.0, 0.5, 2.0, seed=22, more_lost=6, cut_off="n0"),
    Drill(3.0, 0.5, 0.1, seed=23, cut_off="n3", reconnect_after=3.0, gap_writes=8),
    Drill(9.0, 2.0, 1.0, seed=24, cut_off="n0", reconnect_after=3.0),
)
LATE_START = (
    Drill(3.0, 0.5, 2.0, seed=31, starts_late=True),
    Drill(9.0, 2.0, 1.0, seed=32, starts_late=True, gap_writes=8),
    Drill(0.5, 4.0, 2.0, seed=33, more_lost=8, starts_late=True, is_silent=False),
)
# Answers of the old era that arrive in the new one.
LATE_ANSWERS = (
    Drill(3.0, 0.5, 1.0, seed=41, more_lost=4, late_seconds=0.3),
    Drill(9.0, 2.0, 2.0, seed=42, late_seconds=0.6, gap_writes=12),
)
SECOND_DRILL = (
    Drill(3.0, 0.5, 1.0, seed=51, second="before rewriting"),
    Drill(9.0, 0.5, 2.0, seed=52, second="after rewriting", gap_writes=4),
    Drill(0.5, 2.0, 0.1, seed=53, second="after rewriting", more_lost=6),
)
DRILLS = (
    *PLAIN,
    *PASSED,
    *EARLY_VERSION,
    *CUT_OFF,
    *LATE_START,
    *LATE_ANSWERS,
    *SECOND_DRILL,
)
# The store is away but loses nothing.
OUTAGES = (
    Drill(None, 0.5, 1.0, seed=61, more_lost=4),
    Drill(None, 2.0, 1.0, seed=62, is_silent=False, gap_version=True),
    Drill(None, 4.0, 2.0, seed=63),
    Drill(None, 2.0, 2.0, seed=64, cut_off="n0", reconnect_after=3.0),
    Drill(None, 4.0, 1.0, seed=65, starts_late=True, gap_writes=12),
    Drill(None, 2.0, 1.0, seed=66, late_seconds=0.6, is_silent=False),
)
# All instances start anew in the drill, so that none knows what the copy lacks.
ALL_ANEW = (
    Drill(9.0, 0.5, 1.0, seed=81, restarts_all=True),
    Drill(9.0, 2.0, 2.0, seed=82, restarts_all=True, more_lost=3),
    Drill(3.0, 4.0, 2.0, seed=83, restarts_all=True, is_silent=False),
    Drill(5.0, 1.0, 0.1, seed=84, restarts_all=True, gap_writes=8),
)
# Violations that a failure shows.
SHOWN = 4
DRAWN_SEED = 48
DRAWN_DRILLS = 24


def draw_drills(count: int, seed: int) -> list[Drill]:
    """Return drills whose moments and disruptions are drawn."""
    generator = random.Random(seed)
    return [_draw_drill(generator, number) for number in range(count)]


def _draw_drill(generator: random.Random, number: int) -> Drill:
    starts_late = generator.random() < 0.4
    # Instances that start late and ones that are cut off are the last and the first.
    cut_off = generator.choice((None, "n0", "n3"))
    return Drill(
        copy_age=round(generator.uniform(0.4, 9.0), 2),
        away=round(generator.uniform(0.1, 4.0), 2),
        rewrite_after=round(generator.uniform(0.02, 2.0), 2),
        seed=1000 + number,
        more_lost=generator.choice((0, 0, 3, 8)),
        is_silent=generator.random() < 0.5,
        gap_writes=generator.choice((0, 0, 4, 12)),
        gap_version=generator.random() < 0.2,
        cut_off=cut_off,
        reconnect_after=round(generator.uniform(0.1, 3.0), 2),
        starts_late=starts_late,
        restarts_all=not starts_late and generator.random() < 0.3,
        late_seconds=generator.choice((None, None, 0.3, 0.6)),
        second=generator.choice((None, None, "before rewriting", "after rewriting")),
    )


class RestoredStoreTest(unittest.TestCase):
    """Guard against instances that mix what two eras of the store said."""

    def check(self, rule: str, drills: tuple[Drill, ...] = DRILLS) -> None:
        """Check that no play broke this rule."""
        for drill in drills:
            with self.subTest(drill=drill):
                violations = getattr(play(drill), rule)
                if violations:
                    shown = "; ".join(violations[:SHOWN])
                    self.fail(f"{len(violations)} violations: {shown}")

    # Guards against checks that fail though the store has lost nothing.
    def test_no_rule_is_broken_when_the_store_loses_nothing(self):
        for field in dataclasses.fields(play(OUTAGES[0])):
            self.check(field.name, OUTAGES)

    # Guards against a configuration of the new era that is ignored since its offset is
    # lower than that of the one before.
    def test_configuration_after_the_return_is_in_force_in_time(self):
        self.check("late_configurations")

    # Guards against requests to a target that drains or a data centre that was emptied
    # after the return.
    def test_changes_after_the_return_are_known_in_time(self):
        self.check("late_changes")

    # Guards against the configuration of the copy that replaces a newer one.
    def test_version_in_force_never_goes_down(self):
        self.check("lower_versions")

    # Guards against a check of the version that no fault makes fail.
    def test_instances_that_take_any_version_are_caught(self):
        drill = Drill(None, 2.0, 1.0, seed=71, gap_version=True)
        self.assertEqual(play(drill).lower_versions, [])
        broken = dataclasses.replace(drill, takes_any_version=True)
        self.assertTrue(play(broken).lower_versions)

    # Guards against routes and keys of the lost configuration that are taken away, and
    # against a key that it revoked and that is accepted again.
    def test_routes_and_keys_are_not_undone(self):
        self.check("undone_configurations")

    # Guards against an instance that takes the keys of a copy for the newest state.
    def test_revoked_key_is_refused_by_all_in_time(self):
        self.check("revoked_keys")

    # Guards against a fleet that takes a copy for the newest state as it starts anew.
    def test_instances_that_all_start_anew_refuse_a_revoked_key(self):
        self.check("revoked_keys", ALL_ANEW)
        self.check("disagreements", ALL_ANEW)

    # Guards against a moment at which an instance that starts, or comes back, lets a
    # revoked key in or goes to a target that has left.
    def test_no_drawn_drill_lets_a_revoked_key_in_or_reuses_a_target(self):
        drills = tuple(draw_drills(DRAWN_DRILLS, DRAWN_SEED))
        self.check("revoked_keys", drills)
        self.check("reused_targets", drills)

    # Guards against an order that is taken for withdrawn since the copy lacks it.
    def test_emptied_data_centre_stays_closed(self):
        self.check("reopened_data_centres")

    # Guards against requests to a target since the copy still calls it ready.
    def test_target_that_left_before_the_drill_gets_no_requests(self):
        self.check("reused_targets")

    # Guards against the loss of a target that registered after the copy was made.
    def test_target_that_the_copy_lacks_stays_in_use(self):
        self.check("forgotten_targets")

    # Guards against a removal in the new era that is ignored since its offset is lower
    # than that of the entry.
    def test_removed_targets_are_gone_soon_after_the_second_writing(self):
        self.check("kept_targets")

    # Guards against targets that are kept for ever since what is missing in the new era
    # does not count as removed: the server of this one has ended in the drill.
    def test_target_that_is_not_written_again_is_gone_soon_after_the_others(self):
        self.check("outlived_targets")

    # Guards against instances that go on with what only the old era said.
    def test_all_instances_agree_with_the_store_in_the_end(self):
        self.check("disagreements")

    # Guards against an instance that takes the copy, or what others say of the old era,
    # for all that there is.
    def test_instance_that_starts_in_the_gap_ends_up_right(self):
        self.check("late_starter", LATE_START)

    # Guards against offsets of the old era that prove knowledge of the new one.
    def test_no_instance_claims_to_know_records_that_it_lacks(self):
        self.check("false_proofs")

    # Guards against instances that hand each other old offsets and read all keys again
    # and again.
    def test_calls_to_the_store_are_bounded_after_the_return(self):
        self.check("many_calls")
