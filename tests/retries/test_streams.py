"""Tests of tracking and resuming event streams that are cut repeatedly."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carobladder.memory import MemoryBudget
from carobladder.retries import EventIdTracker, StreamFault, StreamTracker

DONE = b"data: [DONE]\n\n"
# Offsets in bytes at which an attempt is cut.
CUTS = st.lists(st.integers(0, 500), max_size=8)
SEEDS = st.integers(0, 2**32 - 1)


def encode_events(start: int, count: int, line_end: bytes = b"\n") -> bytes:
    """Return the events of an engine that resumes the stream at an index."""
    events = [b"id: %d\ndata: {}\n\n" % index for index in range(start, count)]
    return b"".join([*events, DONE]).replace(b"\n", line_end)


def split_randomly(data: bytes, generator: random.Random) -> list[bytes]:
    """Return the bytes in pieces of random size, as a connection may deliver them."""
    pieces = []
    while data:
        size = generator.randint(1, 40)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


class StreamTrackerTest(unittest.TestCase):
    """Guard against lost, repeated or reordered events."""

    def feed(self, tracker, data, generator):
        tracker.start_attempt()
        return b"".join(
            tracker.feed(piece) for piece in split_randomly(data, generator)
        )

    @settings(derandomize=True)
    @given(st.integers(0, 20), CUTS, SEEDS, st.sampled_from([b"\n", b"\r\n"]))
    def test_stream_is_complete_after_any_sequence_of_cuts(
        self, count, cuts, seed, line_end
    ):
        generator = random.Random(seed)
        tracker = StreamTracker()
        relayed = b""
        for cut in [*cuts, None]:
            if tracker.finished:
                break
            last = tracker.last_index
            start = 0 if last is None else last + 1
            data = encode_events(start, count, line_end)[:cut]
            relayed += self.feed(tracker, data, generator)
            self.assertTrue(tracker.finished or tracker.resumable)
        self.assertTrue(tracker.finished)
        self.assertEqual(relayed, encode_events(0, count))

    @settings(derandomize=True)
    @given(st.integers(1, 12), CUTS, SEEDS)
    def test_faulty_engines_never_add_or_skip_an_event(self, count, cuts, seed):
        generator = random.Random(seed)
        tracker = StreamTracker()
        relayed = b""
        for cut in cuts:
            start = generator.randint(0, count)
            events = encode_events(start, count).split(b"\n\n")
            if generator.random() < 0.5:
                events.pop(generator.randrange(len(events)))
            data = b"\n\n".join(events)[:cut]
            relayed += self.feed(tracker, data, generator)
        whole = encode_events(0, count)
        relayed_events = relayed.removesuffix(DONE)
        self.assertTrue(whole.startswith(relayed_events))

    def test_unexpected_index_ends_the_attempt(self):
        for index in (b"0", b"1", b"3", b"-1"):
            with self.subTest(index=index):
                tracker = StreamTracker()
                tracker.feed(encode_events(0, 2).removesuffix(DONE))
                data = b"id: %s\ndata: {}\n\nid: 2\ndata: {}\n\n" % index
                self.assertEqual(tracker.feed(data), b"")
                self.assertIs(tracker.fault, StreamFault.WRONG_INDEX)
                self.assertTrue(tracker.resumable)

    def test_index_that_is_not_a_number_ends_the_attempt(self):
        tracker = StreamTracker()
        self.assertEqual(tracker.feed(b"id: a\ndata: {}\n\n"), b"")
        self.assertIs(tracker.fault, StreamFault.BAD_INDEX)

    def test_stream_with_an_unindexed_event_is_not_resumable(self):
        tracker = StreamTracker()
        tracker.feed(b"id: 0\ndata: {}\n\ndata: {}\n\n")
        self.assertFalse(tracker.resumable)

    def test_comments_do_not_prevent_resumption(self):
        tracker = StreamTracker()
        data = b"id: 0\ndata: {}\n\n: waiting\n\n"
        self.assertEqual(tracker.feed(data), data)
        self.assertTrue(tracker.resumable)

    def test_id_after_the_data_line_is_read(self):
        tracker = StreamTracker()
        tracker.feed(b"data: {}\nid: 0\n\n")
        self.assertEqual(tracker.last_index, 0)

    def test_payload_is_not_parsed_as_an_index_or_the_end(self):
        data = b'id: 0\ndata: {"t":"\\nid: 9 data: [DONE]"}\n\n'
        tracker = StreamTracker()
        self.assertEqual(tracker.feed(data), data)
        self.assertEqual(tracker.last_index, 0)
        self.assertFalse(tracker.finished)

    def test_bytes_after_the_final_event_are_discarded(self):
        tracker = StreamTracker()
        self.assertEqual(tracker.feed(DONE + b"id: 0\ndata: {}\n\n"), DONE)
        self.assertEqual(tracker.feed(b"id: 0\ndata: {}\n\n"), b"")

    def test_event_above_the_size_limit_is_a_fault(self):
        tracker = StreamTracker()
        tracker.feed(b"data: " + b"x" * 2_000_000)
        self.assertIs(tracker.fault, StreamFault.EVENT_TOO_LARGE)


class CountingTracker(EventIdTracker):
    """Tracker that counts the bytes that it searches for the end of an event."""

    searched = 0

    def _normalise_line_ends(self, data: bytes) -> bytes:
        self.searched += len(data)
        return super()._normalise_line_ends(data)


class LargeEventTest(unittest.TestCase):
    """Guard against a large event whose parts each cost as much as all before them.

    Bytes without the end of an event, in parts of 100 bytes, kept the event loop busy
    for 9 s up to the largest size of an event.
    """

    PART = b"z" * 100

    # Guards against searching and copying an event again with each of its parts.
    def test_each_byte_is_searched_about_once(self):
        tracker = CountingTracker()
        fed = 0
        while not tracker.fault:
            self.assertEqual(tracker.feed(self.PART), b"")
            fed += len(self.PART)
        self.assertIs(tracker.fault, StreamFault.EVENT_TOO_LARGE)
        self.assertGreater(fed, 1_000_000)
        self.assertLess(tracker.searched, 2 * fed)

    # Guards against missing the end of an event that is split between two parts.
    def test_end_of_an_event_is_found_wherever_it_is_split(self):
        for line_end in (b"\n", b"\r\n"):
            event = b"id: 0" + line_end + b"data: " + self.PART + 2 * line_end
            for split in range(1, len(event)):
                for parts in (
                    (event[:split], event[split:]),
                    tuple(event[i : i + 1] for i in range(len(event))),
                ):
                    tracker = StreamTracker()
                    relayed = b"".join(tracker.feed(part) for part in parts)
                    self.assertEqual(relayed, event.replace(b"\r\n", b"\n"))
                    self.assertEqual(tracker.last_index, 0)


class StreamMemoryTest(unittest.TestCase):
    """Guard against incomplete events that together take all memory."""

    def setUp(self):
        self.budget = MemoryBudget(1_000_000)

    def feed_endless(self, count: int) -> list[StreamTracker]:
        """Feed as many streams in turn until each is given up; return them."""
        trackers = [EventIdTracker(self.budget) for _ in range(count)]
        while not all(tracker.fault for tracker in trackers):
            for tracker in trackers:
                tracker.feed(b"z" * 1000)
                self.assertLessEqual(self.budget.used_bytes, self.budget.limit_bytes)
        return trackers

    # Guards against a bound on each stream but none on their sum.
    def test_sum_of_incomplete_events_is_bounded(self):
        for count in (1, 10, 900):
            with self.subTest(count=count):
                for tracker in self.feed_endless(count):
                    self.assertIs(tracker.fault, StreamFault.MEMORY_EXCEEDED)
                self.assertEqual(self.budget.used_bytes, 0)

    # Guards against ending a sound stream instead of those that take the memory.
    def test_small_event_beside_large_ones_is_relayed(self):
        trackers = [EventIdTracker(self.budget) for _ in range(100)]
        for _ in range(9):
            for tracker in trackers:
                tracker.feed(b"z" * 1000)
        sound = EventIdTracker(self.budget)
        self.assertEqual(sound.feed(b"id: 1\ndata: " + b"y" * 5000), b"")
        while not any(tracker.fault for tracker in trackers):
            for tracker in trackers:
                tracker.feed(b"z" * 1000)
        self.assertEqual(sound.feed(b"y" * 1000), b"")
        self.assertEqual(sound.feed(b"\n\n")[-2:], b"\n\n")
        self.assertIs(sound.fault, StreamFault.NONE)

    # Guards against memory that stays reserved after an event, an attempt or a stream.
    def test_memory_is_returned(self):
        tracker = StreamTracker(self.budget)
        tracker.feed(b"id: 0\ndata: ")
        self.assertEqual(self.budget.used_bytes, 12)
        tracker.feed(b"x\n\nid: 1")
        self.assertEqual(self.budget.used_bytes, 5)
        tracker.start_attempt()
        self.assertEqual(self.budget.used_bytes, 0)
        tracker.feed(b"id: 1")
        tracker.discard_incomplete()
        self.assertEqual(self.budget.used_bytes, 0)
