"""Tests of the quarantine that instances share."""

import random
import unittest
from collections.abc import Sequence

import msgspec

from carobladder.quarantine import (
    HoldReport,
    PartQuarantine,
    QuarantineNews,
    SoundReport,
)

GUILTY, SHARED, OTHER = 1, 2, 3
LARGE_FLEET = 195
FANOUT = 4
# Instances in touch must know of a crash within this time.
CONTACT_SECONDS = 3.0
PERIODIC_SECONDS = 0.3
PERIODIC_FANOUT = 2


class QuarantineFleet:
    """Instances that pass on news to some others, with some news lost."""

    def __init__(self, count: int, *, loss_rate: float = 0.0, seed: int = 1) -> None:
        self.now = 100.0
        self.messages = 0
        self.largest_message = 0
        self.cut_off: set[int] = set()
        self.members = [PartQuarantine(self._build_turn(n)) for n in range(count)]
        self._loss_rate = loss_rate
        self._generator = random.Random(seed)

    def settle(self) -> None:
        """Deliver news until there are none."""
        encoder = msgspec.msgpack.Encoder()
        is_busy = True
        while is_busy:
            is_busy = False
            self.now += 0.01
            for number, member in enumerate(self.members):
                news = member.collect_news(self.now)
                if news is None:
                    continue
                is_busy = True
                self.largest_message = max(
                    self.largest_message, len(encoder.encode(news))
                )
                for receiver in self._choose_receivers(number):
                    self.messages += 1
                    if self._generator.random() >= self._loss_rate:
                        self.members[receiver].take(news, self.now + 0.002)

    def send_periodic_messages(self, seconds: float) -> None:
        """Let each instance tell the quarantines to some others for a time."""
        for _ in range(int(seconds / PERIODIC_SECONDS)):
            self.now += PERIODIC_SECONDS
            self._send_periodic_messages()

    def wait_for_trial(self, part: int, seconds: float) -> int | None:
        """Ask all instances for a time; return the number of one that may try."""
        end = self.now + seconds
        while self.now < end:
            self.now += PERIODIC_SECONDS
            self._send_periodic_messages()
            for number, member in enumerate(self.members):
                if member.decide([part], self.now).is_trial:
                    self.settle()
                    return number
        return None

    def _send_periodic_messages(self) -> None:
        for member in self.members:
            holds = member.collect_holds(self.now)
            for other in self._generator.sample(self.members, PERIODIC_FANOUT):
                if self._generator.random() >= self._loss_rate:
                    other.take_holds(holds, self.now)

    def crash(self, crash_id: int, views: dict[int, Sequence[int]]) -> None:
        """Let instances see the crash of a target with the parts of their requests."""
        self.now += 1.0
        for number, begun in views.items():
            self.members[number].note_crash(crash_id, begun, (), self.now, self.now)
        self.settle()

    def count_holding(self, part: int) -> int:
        """Return how many instances refuse requests with a part."""
        return sum(
            member.decide([part], self.now).held_index is not None
            for member in self.members
        )

    def _build_turn(self, number: int):
        return lambda key: key % len(self.members) == number

    def _choose_receivers(self, sender: int) -> list[int]:
        others = [n for n in range(len(self.members)) if n != sender]
        if len(others) > FANOUT:
            others = self._generator.sample(others, FANOUT)
        return [n for n in others if {n, sender}.isdisjoint(self.cut_off)]


class PartQuarantineTest(unittest.TestCase):
    """Guard against evidence that stays with the instances that saw it."""

    def test_crashes_that_different_instances_saw_are_added_up(self):
        fleet = QuarantineFleet(6)
        for number in range(3):
            self.assertEqual(fleet.count_holding(GUILTY), 0)
            fleet.crash(number, {number: [GUILTY, SHARED], 5: [OTHER]})
            fleet.members[4].note_sound([SHARED, OTHER], fleet.now)
            fleet.settle()
        self.assertEqual(fleet.count_holding(GUILTY), 6)
        self.assertEqual(fleet.count_holding(SHARED), 0)
        self.assertEqual(fleet.count_holding(OTHER), 0)

    def test_large_fleet_learns_with_few_messages_although_some_are_lost(self):
        fleet = QuarantineFleet(LARGE_FLEET, loss_rate=0.02)
        for number in range(3):
            # Each instance has some requests at a target that ends.
            views = {n: [100 + n, 500 + n] for n in range(0, LARGE_FLEET, 5)}
            fleet.crash(number, {**views, 40 * number: [GUILTY, SHARED]})
            for n in range(0, LARGE_FLEET, 5):
                fleet.members[n].note_sound([100 + n, 500 + n, SHARED], fleet.now)
            fleet.settle()
        fleet.send_periodic_messages(CONTACT_SECONDS)
        self.assertEqual(fleet.count_holding(GUILTY), LARGE_FLEET)
        self.assertEqual(fleet.count_holding(SHARED), 0)
        self.assertLess(fleet.messages / LARGE_FLEET / 3, 100)
        self.assertLess(fleet.largest_message, 12_000)

    def test_periodic_message_tells_an_instance_that_has_just_started(self):
        fleet = QuarantineFleet(2)
        for number in range(3):
            fleet.crash(number, {0: [GUILTY]})
        started = PartQuarantine(lambda key: True)
        started.take_holds(fleet.members[0].collect_holds(fleet.now), fleet.now)
        self.assertEqual(started.decide([OTHER, GUILTY], fleet.now).held_index, 1)

    def test_record_of_the_store_holds_a_part_after_a_restart_of_all(self):
        started = PartQuarantine(lambda key: True)
        started.restore(GUILTY, 2, 50.0)
        decision = started.decide([GUILTY], 51.0)
        self.assertEqual(decision.held_index, 0)
        self.assertGreater(decision.retry_seconds, 30.0)
        self.assertEqual(started.collect_holds(51.0), [])
        started.forget(GUILTY)
        self.assertIsNone(started.decide([GUILTY], 51.0).held_index)

    def test_one_trial_is_sent_and_its_whole_answer_ends_the_quarantine(self):
        fleet = QuarantineFleet(6)
        for number in range(3):
            fleet.crash(number, {0: [GUILTY]})
        tester = fleet.wait_for_trial(GUILTY, 25.0)
        self.assertIsNotNone(tester)
        self.assertEqual(fleet.count_holding(GUILTY), 6)
        fleet.members[tester].note_sound([GUILTY], fleet.now)
        fleet.settle()
        self.assertEqual(fleet.count_holding(GUILTY), 0)

    def test_periodic_messages_do_not_put_the_trial_off(self):
        """Instances told each other again and again that it was due now."""
        fleet = QuarantineFleet(6)
        for number in range(3):
            fleet.crash(number, {0: [GUILTY]})
        untils = [m._holds.find(GUILTY).until for m in fleet.members]
        fleet.send_periodic_messages(60.0)
        for member, until in zip(fleet.members, untils, strict=True):
            self.assertAlmostEqual(member._holds.find(GUILTY).until, until, delta=0.5)

    def test_failed_trial_lengthens_the_quarantine_everywhere(self):
        fleet = QuarantineFleet(6)
        for number in range(3):
            fleet.crash(number, {0: [GUILTY]})
        tester = fleet.wait_for_trial(GUILTY, 25.0)
        fleet.members[tester].note_failed_trial([GUILTY], fleet.now)
        fleet.members[tester].note_crash(9, [GUILTY], (), fleet.now, fleet.now)
        fleet.settle()
        self.assertEqual({m.find_level(GUILTY) for m in fleet.members}, {2})
        self.assertIsNone(fleet.wait_for_trial(GUILTY, 50.0))
        self.assertIsNotNone(fleet.wait_for_trial(GUILTY, 25.0))

    def test_no_second_trial_is_sent_while_one_is_under_way(self):
        quarantine = PartQuarantine(lambda key: True)
        for number in range(3):
            quarantine.note_crash(number, [GUILTY], (), float(number), float(number))
        self.assertTrue(quarantine.decide([GUILTY], 18.0).is_trial)
        self.assertFalse(quarantine.decide([GUILTY], 18.1).is_trial)

    def test_power_loss_of_all_targets_holds_no_part(self):
        fleet = QuarantineFleet(6)
        fleet.now += 1.0
        for crash_id in range(12):
            for number in range(6):
                begun = [SHARED, 10 + crash_id]
                member = fleet.members[number]
                at = fleet.now + crash_id / 100
                member.note_crash(crash_id, begun, (), at, fleet.now)
        fleet.settle()
        self.assertEqual(fleet.count_holding(SHARED), 0)

    def test_targets_lost_one_after_the_other_hold_no_part_that_is_served(self):
        fleet = QuarantineFleet(6)
        for crash_id in range(8):
            fleet.crash(crash_id, {crash_id % 6: [SHARED, OTHER]})
            fleet.members[(crash_id + 1) % 6].note_sound([SHARED, OTHER], fleet.now)
            fleet.settle()
        self.assertEqual(fleet.count_holding(SHARED), 0)

    def test_two_guilty_parts_are_found(self):
        fleet = QuarantineFleet(6)
        for number in range(6):
            guilty = (GUILTY, OTHER)[number % 2]
            fleet.crash(number, {number % 6: [guilty, SHARED]})
            fleet.members[0].note_sound([SHARED], fleet.now)
            fleet.settle()
        self.assertEqual(fleet.count_holding(GUILTY), 6)
        self.assertEqual(fleet.count_holding(OTHER), 6)

    def test_instance_that_was_cut_off_learns_by_the_periodic_messages(self):
        fleet = QuarantineFleet(6)
        fleet.cut_off = {5}
        for number in range(3):
            fleet.crash(number, {0: [GUILTY]})
        self.assertEqual(fleet.count_holding(GUILTY), 5)
        holds = fleet.members[1].collect_holds(fleet.now)
        fleet.members[5].take_holds(holds, fleet.now)
        self.assertEqual(fleet.count_holding(GUILTY), 6)

    def test_quarantine_that_another_instance_knows_to_be_refuted_ends(self):
        fleet = QuarantineFleet(2)
        fleet.cut_off = {1}
        for number in range(3):
            fleet.crash(number, {0: [SHARED]})
        fleet.members[1].note_sound([SHARED], fleet.now + 1.0)
        fleet.now += 2.0
        fleet.cut_off = set()
        holds = fleet.members[0].collect_holds(fleet.now)
        fleet.members[1].take_holds(holds, fleet.now)
        fleet.settle()
        self.assertEqual(fleet.count_holding(SHARED), 0)

    def test_repeat_is_denied_only_with_a_part_of_another_crash(self):
        quarantine = PartQuarantine(lambda key: True)
        quarantine.note_crash(1, [GUILTY], (), 1.0, 1.0)
        self.assertTrue(quarantine.may_repeat([GUILTY], 1))
        self.assertFalse(quarantine.may_repeat([GUILTY], 2))
        quarantine.note_sound([GUILTY], 1.5)
        self.assertTrue(quarantine.may_repeat([GUILTY], 2))

    def test_all_parts_that_an_instance_can_clear_are_told(self):
        """What is beyond the limit of a message must not be lost."""
        fleet = QuarantineFleet(2)
        parts = range(100, 160)
        for crash_id in range(5):
            fleet.now += 1.0
            fleet.members[1].note_sound(parts, fleet.now + 0.1)
            begun = [part for part in parts if part % 5 != crash_id]
            fleet.members[0].note_crash(crash_id, begun, (), fleet.now, fleet.now)
            fleet.settle()
        self.assertEqual([fleet.count_holding(part) for part in parts], [0] * 60)

    def test_implausible_reports_are_ignored(self):
        quarantine = PartQuarantine(lambda key: True)
        holds = [
            HoldReport(GUILTY, 0, 0, 1000),
            HoldReport(GUILTY, 10**9, 0, 1000),
            HoldReport(GUILTY, 1, -5, 1000),
            HoldReport(GUILTY, 1, 0, 10**12),
        ]
        quarantine.take(QuarantineNews([], [SoundReport(1, -1)], holds), 10.0)
        self.assertEqual(quarantine.count_held(), 0)
