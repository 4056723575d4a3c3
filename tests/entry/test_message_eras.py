"""Tests of messages between instances whose offsets are those of another era."""

import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.exchange import PeerExchange
from carobladder.eras import EraMonitor
from carobladder.fleet import (
    KeyedRecord,
    PeerDirectory,
    PeerReply,
    PeerStatus,
    RecordRun,
    TargetTable,
    TopicState,
    decode_datagram,
    encode_datagram,
    pack_run,
)
from tests.fleet.builders import build_shared_knowledge

ERA = 4
RECORD = KeyedRecord(7, "a", b"1")


class RecordingFollower:
    """Follower that records what other instances tell it."""

    def __init__(self) -> None:
        self.next_offset = 7
        self.ends: list[int] = []
        self.states: list[TopicState] = []
        self.proofs: list[bool] = []
        self.runs: list[RecordRun] = []

    def is_behind(self, end: int) -> bool:
        """Return whether records before an offset are missing."""
        return end > self.next_offset

    def handle_peer_end(self, end: int) -> None:
        """Record an offset."""
        self.ends.append(end)

    def handle_peer_state(
        self, state: TopicState, asked_at: float, *, is_proof: bool
    ) -> None:
        """Record a state, and whether it is a proof."""
        self.states.append(state)
        self.proofs.append(is_proof)

    def apply_peer_run(self, run: RecordRun) -> None:
        """Record a run of records."""
        self.runs.append(run)

    def collect_run(self, first: int) -> RecordRun:
        """Return a run of records."""
        return RecordRun(first, 8, (RECORD,))

    def build_topic_state(self) -> TopicState:
        """Return a proof."""
        return TopicState(8, 10)

    def count_peers_to_ask(self) -> int:
        """Ask nobody."""
        return 0


class RecordingTransport:
    """Transport that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, address: object) -> None:
        """Keep a datagram."""
        self.sent.append(data)


class MessageEraTest(unittest.IsolatedAsyncioTestCase):
    """Guard against proofs and records that name offsets of another era."""

    def setUp(self):
        self.eras = EraMonitor()
        self.eras.note(ERA)
        clock = VirtualClock()
        self.directory = PeerDirectory("a", "10.0.0.1:1", clock)
        self.directory.apply_own_announcement(self.directory.build_announcement())
        self.peer_announcement = PeerDirectory(
            "b", "10.0.0.2:1", clock
        ).build_announcement()
        self.directory.apply_record(KeyedRecord(0, "b", self.peer_announcement))
        self.exchange = PeerExchange(
            "10.0.0.1:1",
            self.directory,
            build_shared_knowledge(TargetTable()),
            None,
            lambda: False,
            clock,
            random.Random(1),
            self.eras,
        )
        self.follower = RecordingFollower()
        self.exchange._followers = (self.follower,)
        self.transport = RecordingTransport()
        self.exchange.connection_made(self.transport)

    def receive(self, message) -> None:
        """Let a message of the other instance arrive."""
        key = self.directory.find_key("b")
        self.exchange.datagram_received(encode_datagram(message, "b", key), None)

    def receive_answer(self, era: int | None, version: int = 0) -> None:
        """Let an answer of an era to a query of now arrive."""
        number = self.exchange._register_query()
        run = pack_run(RecordRun(7, 8, (RECORD,)))
        self.receive(PeerReply(number, False, [TopicState(7, 10)], [run], era, version))

    # Guards against a proof of the era before that makes a read needless.
    def test_answer_of_an_earlier_era_proves_nothing(self):
        self.receive_answer(ERA - 1)
        self.assertEqual((self.follower.states, self.follower.runs), ([], []))
        self.receive_answer(ERA)
        self.assertEqual(len(self.follower.states), 1)
        self.assertEqual(len(self.follower.runs), 1)

    # Guards against an instance that takes the keys of a copy for proved by one that
    # knows what the copy lacks.
    def test_answer_of_an_instance_with_a_newer_configuration_is_no_proof(self):
        self.exchange.find_version = lambda: 4
        for version in (4, 9):
            self.receive_answer(ERA, version)
        self.assertEqual(self.follower.proofs, [True, False])

    # Guards against an instance that waits for records that may never come.
    def test_offsets_of_an_earlier_era_are_ignored(self):
        self.receive(PeerStatus(0, False, [], [9], era=ERA - 1))
        self.assertEqual(self.follower.ends, [])
        self.receive(PeerStatus(0, False, [], [9], era=ERA))
        self.assertEqual(self.follower.ends, [9])

    # Guards against records that are sent to an instance for offsets of another era.
    def test_question_of_an_earlier_era_gets_no_records(self):
        for era, has_run in ((ERA - 1, False), (ERA, True)):
            with self.subTest(era=era):
                self.transport.sent.clear()
                self.receive(PeerStatus(5, False, [], [7], era=era))
                self.assertEqual(bool(self.read_answer().runs), has_run)

    # Guards against an instance that hears of a new era and goes on in the one before.
    async def test_message_of_a_later_era_ends_the_one_before(self):
        restored = []
        self.eras.add_listener(lambda: restored.append(self.eras.era))
        self.receive(PeerStatus(0, False, [], [9], era=ERA + 1))
        self.assertEqual(restored, [ERA + 1])
        self.exchange._renewal.cancel()

    def read_answer(self) -> PeerReply:
        """Return the answer that this instance has sent."""
        key = self.directory.own_key
        answers = [
            message
            for data in self.transport.sent
            for _, message in [decode_datagram(data, lambda name: key)]
            if isinstance(message, PeerReply)
        ]
        (answer,) = answers
        return answer


if __name__ == "__main__":
    unittest.main()
