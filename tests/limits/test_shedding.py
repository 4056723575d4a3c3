"""Tests of the decision to send or refuse a request."""

import unittest

from carobladder.limits.shedding import (
    AdmissionRequest,
    RefusalReason,
    ServiceAdmission,
    TargetPlaces,
)
from carobladder.limits.usage import AdmissionRecord

SLOTS = 6
LIMIT = 30


def build_places(*loads: float) -> list[TargetPlaces]:
    """Return targets with these loads."""
    return [TargetPlaces(f"i-{index}", load, SLOTS) for index, load in enumerate(loads)]


def build_request(priority: int = 0, team: str = "a", remaining: float = 1.5):
    """Return a request."""
    return AdmissionRequest(priority, team, remaining)


class SheddingTest(unittest.TestCase):
    """Guard against refusals of requests that could be served."""

    def setUp(self):
        self.admission = ServiceAdmission(AdmissionRecord())

    def overload(self, now: float = 0.0) -> None:
        """Let the targets refuse many requests of two priorities and teams."""
        for index in range(2):
            self.admission.note_shed(f"i-{index}", LIMIT, now)
        for _ in range(20):
            for priority in (0, 1):
                self.admission.decide(build_request(priority), [], now)
                self.admission.note_refused(priority, now)

    def test_service_without_pressure_refuses_nothing(self):
        for _ in range(100):
            reason = self.admission.decide(
                build_request(1, remaining=0.001), build_places(5.9, 5.9), 0.0
            )
            self.assertIsNone(reason)

    def test_pressure_ends_after_the_last_refusal_of_a_target(self):
        self.admission.note_shed("i-0", LIMIT, 0.0)
        self.assertTrue(self.admission.is_pressed(build_places(1), 1.9))
        self.assertFalse(self.admission.is_pressed(build_places(1), 2.1))

    def test_stated_load_at_the_slots_is_pressure(self):
        self.assertTrue(self.admission.is_pressed(build_places(1, SLOTS), 0.0))
        self.assertFalse(self.admission.is_pressed(build_places(1, 5), 0.0))

    def test_less_urgent_requests_are_refused_before_the_queues_are_full(self):
        self.overload()
        places = build_places(26, 26)
        self.assertIsNone(self.admission.decide(build_request(0), places, 0.1))
        self.assertEqual(
            self.admission.decide(build_request(1, team="b"), places, 0.1),
            RefusalReason.PRIORITY,
        )

    def test_all_are_admitted_while_half_of_the_slots_are_free(self):
        self.overload()
        places = build_places(LIMIT, 0, 0)
        self.assertIsNone(self.admission.decide(build_request(1), places, 0.1))

    def test_team_above_its_share_is_refused_first(self):
        self.overload()
        for _ in range(40):
            self.admission.decide(build_request(0, team="surge"), [], 0.1)
        for team in ("b", "c", "d"):
            self.admission.decide(build_request(0, team=team), [], 0.1)
        places = build_places(28, 28)
        self.assertEqual(
            self.admission.decide(build_request(0, team="surge"), places, 0.1),
            RefusalReason.SHARE,
        )
        self.assertIsNone(
            self.admission.decide(build_request(0, team="b"), places, 0.1)
        )

    def test_request_that_cannot_be_answered_in_time_is_refused(self):
        for _ in range(100):
            self.admission.note_answer(SLOTS, SLOTS, 0.05)
        places = build_places(LIMIT, LIMIT)
        self.assertEqual(
            self.admission.decide(build_request(remaining=0.2), places, 0.0),
            RefusalReason.DEADLINE,
        )
        self.assertIsNone(
            self.admission.decide(build_request(remaining=0.4), places, 0.0)
        )

    def test_unknown_time_of_an_answer_refuses_nothing(self):
        places = build_places(LIMIT, LIMIT)
        self.assertIsNone(
            self.admission.decide(build_request(remaining=0.001), places, 0.0)
        )

    def test_unknown_loads_refuse_nothing(self):
        self.overload()
        self.assertIsNone(self.admission.decide(build_request(1), [], 0.1))

    def test_target_is_full_only_at_the_load_of_its_refusals(self):
        (place,) = build_places(LIMIT)
        self.assertFalse(self.admission.is_full(place, 0.0))
        self.admission.note_shed("i-0", LIMIT, 0.0)
        self.assertTrue(self.admission.is_full(place, 0.0))
        self.assertFalse(self.admission.is_full(build_places(20)[0], 0.0))
        self.assertFalse(self.admission.is_full(place, 11.0))

    def test_target_without_a_queue_is_full_at_its_slots(self):
        self.admission.note_shed("i-0", SLOTS, 0.0)
        self.assertTrue(self.admission.is_full(build_places(SLOTS)[0], 0.0))
        self.assertFalse(self.admission.is_full(build_places(SLOTS - 1)[0], 0.0))

    def test_long_answers_leave_room_for_a_queue(self):
        """Streams may last nearly as long as callers allow, and still wait shortly."""
        for _ in range(100):
            self.admission.note_answer(SLOTS, SLOTS, 10.0)
        for priority in (0, 1):
            self.admission.decide(build_request(priority, remaining=12.0), [], 0.0)
        for load, reason in ((SLOTS + 1, None), (20, RefusalReason.PRIORITY)):
            request = build_request(1, team="b", remaining=30.0)
            self.assertEqual(
                self.admission.decide(request, build_places(load), 0.0), reason
            )

    def test_refusal_below_the_slots_sets_no_lower_limit(self):
        """A target that refuses for another reason must not count as full when idle."""
        self.admission.note_shed("i-0", 0, 0.0)
        self.assertFalse(self.admission.is_full(build_places(3)[0], 0.0))

    def test_priority_that_changes_counts_from_the_next_request_on(self):
        """A configuration may change priorities while requests are under way."""
        self.overload()
        places = build_places(26, 26)
        self.assertIsNotNone(
            self.admission.decide(build_request(1, team="b"), places, 0.1)
        )
        self.assertIsNone(
            self.admission.decide(build_request(0, team="b"), places, 0.1)
        )


if __name__ == "__main__":
    unittest.main()
