"""Exchange of what instances know by datagrams."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import cast

import msgspec

from carobladder.clock import Clock
from carobladder.entry.followers import TopicFollower
from carobladder.entry.peers import Peer, PeerDirectory
from carobladder.entry.prompts import PromptDirectory
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    FailureGossip,
    FleetTarget,
    HolderQuery,
    HolderReply,
    LoadGossip,
    LoadReport,
    PeerMessage,
    PeerReply,
    PeerStatus,
    TopicWriter,
    decode_datagram,
    encode_datagram,
    pack_run,
    unpack_run,
)
from carobladder.telemetry import InstanceNotAnnounced, emit

__all__ = ["PeerExchange", "SharedKnowledge"]

# An instance of a small fleet sends much to each target, so that loads change within
# fractions of a second; in a large one a longer interval bounds the bytes.
_SHORTEST_INTERVAL_SECONDS = 0.1
_LONGEST_INTERVAL_SECONDS = 0.3
_INTERVAL_SECONDS_FOR_PEER = 0.01
# Instances told in each interval; what is told reaches all others within a few.
_FAN_OUT = 2
# Instances that are warned of a silent target at once; each of them warns as many.
_WARNED_PEERS = 4
# Time between two questions about records that another instance knows.
_FASTEST_QUESTION_SECONDS = 0.03
# Questions that wait for an answer; a later answer to an older one is dropped.
_MAX_QUESTIONS = 64
_QUESTION_BITS = 30
_MAX_DATAGRAM_BYTES = 16_384
# In a fleet of up to so many others each instance has bytes to spare.
_FEW_PEERS = 20
_ANNOUNCE_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class SharedKnowledge:
    """Hold what instances tell each other of targets."""

    loads: LoadGossip
    prompts: PromptDirectory
    failures: FailureGossip


class PeerExchange(asyncio.DatagramProtocol):
    """Tell a few other instances what is known, and ask them how far they have read.

    A lost datagram only delays what the next ones carry, and the number of
    datagrams of an instance does not depend on the size of the fleet.
    """

    def __init__(
        self,
        address: str,
        directory: PeerDirectory,
        shared: SharedKnowledge,
        topic: TopicWriter,
        is_reader: Callable[[], bool],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.dropped = 0
        self._address = address
        self._directory = directory
        self._shared = shared
        shared.prompts.use_sender(self._send_to)
        self._topic = topic
        self._is_reader = is_reader
        self._clock = clock
        self._generator = generator
        self._transport: asyncio.DatagramTransport | None = None
        self._followers: Sequence[TopicFollower] = ()
        self._announcements: TopicFollower | None = None
        self._questions: dict[int, float] = {}
        # An answer to a question before a restart must not fit one after it.
        self._last_question = generator.getrandbits(_QUESTION_BITS)
        self._asked_at = float("-inf")

    def follow(
        self, announcements: TopicFollower, followers: Sequence[TopicFollower]
    ) -> None:
        """Tell and ask how far these were read; all instances name them in one order.

        ``announcements`` brings the records of the directory.
        """
        self._announcements = announcements
        self._followers = followers

    async def run(self) -> None:
        """Announce this instance and exchange until cancelled."""
        transport = await self._listen()
        try:
            await self._announce()
            while True:
                await self._clock.sleep(self._choose_interval())
                self._tell()
        finally:
            transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The loop's own class does not derive from DatagramTransport in Python 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Take what another instance tells, asks or answers."""
        try:
            name, message = decode_datagram(data, self._directory.find_key)
        except ValueError:
            self.dropped += 1
            return
        peer = self._directory.find(name)
        assert peer is not None
        self._take(message, peer)

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer is away; its record stays until it is replaced."""

    @singledispatchmethod
    def _take(self, message: PeerMessage, peer: Peer) -> None:
        raise TypeError(f"no rule for {type(message).__name__}")

    @_take.register
    def _(self, message: PeerStatus, peer: Peer) -> None:
        self._directory.note_reader(peer.name, message.is_reader)
        self._shared.loads.take(message.reports, self._clock.monotonic())
        if self._shared.failures.take(message.failures, self._clock.monotonic()):
            self._warn()
        if message.question:
            self._answer(message, peer)
        known = list(zip(self._followers, message.ends, strict=False))
        if any(follower.lacks(end) for follower, end in known):
            self._ask_at_once(peer)
        for follower, end in known:
            follower.note_peer_end(end)

    @_take.register
    def _(self, message: PeerReply, peer: Peer) -> None:
        self._directory.note_reader(peer.name, message.is_reader)
        asked_at = self._questions.pop(message.question, None)
        if asked_at is None:
            return
        for follower, run in zip(self._followers, message.runs, strict=False):
            if run is not None:
                follower.take_peer_run(unpack_run(run))
        for follower, state in zip(self._followers, message.states, strict=False):
            if state is not None:
                follower.take_peer_state(state, asked_at)

    @_take.register
    def _(self, message: HolderQuery | HolderReply, peer: Peer) -> None:
        self._shared.prompts.take(message, peer.name)

    def _choose_interval(self) -> float:
        wanted_seconds = self._directory.count_peers() * _INTERVAL_SECONDS_FOR_PEER
        return min(
            _LONGEST_INTERVAL_SECONDS, max(_SHORTEST_INTERVAL_SECONDS, wanted_seconds)
        )

    def _tell(self) -> None:
        """Tell a reader, if one is known, and others drawn at random."""
        peers = self._directory.list_peers()
        if not peers:
            return
        readers = self._directory.list_readers()
        chosen = self._generator.sample(readers, min(1, len(readers)))
        others = [peer for peer in peers if peer not in chosen]
        count = min(_FAN_OUT - len(chosen), len(others))
        chosen += self._generator.sample(others, count)
        wanted = max(
            (follower.count_wanted_answers() for follower in self._followers), default=0
        )
        # A reader answers many questions, which takes the bytes that loads would.
        tells_loads = len(peers) < _FEW_PEERS
        reports: list[LoadReport] = []
        if tells_loads or not self._is_reader():
            reports = self._shared.loads.collect(self._clock.monotonic())
        for index, peer in enumerate(chosen):
            question = self._draw_question() if index < wanted else 0
            news = self._build_news(question, reports)
            failures = self._shared.failures.collect(self._clock.monotonic())
            self._send(msgspec.structs.replace(news, failures=failures), peer)

    def note_silence(self, target: FleetTarget, sent_at: float) -> None:
        """Warn others of a target that sent no byte since a request of this time."""
        now = self._clock.monotonic()
        if self._shared.failures.note_silence(target, sent_at, now):
            self._warn()

    def _warn(self) -> None:
        """Tell some instances at once of silent targets."""
        peers = self._directory.list_peers()
        failures = self._shared.failures.collect(self._clock.monotonic())
        for peer in self._generator.sample(peers, min(_WARNED_PEERS, len(peers))):
            news = self._build_news()
            self._send(msgspec.structs.replace(news, failures=failures), peer)

    def _ask_at_once(self, peer: Peer) -> None:
        """Ask an instance that knows of records which are missing here."""
        if self._clock.boottime() - self._asked_at < _FASTEST_QUESTION_SECONDS:
            return
        self._send(self._build_news(self._draw_question()), peer)

    def _draw_question(self) -> int:
        """Return the number of a question that is asked now."""
        now = self._clock.boottime()
        self._asked_at = now
        self._last_question += 1
        self._questions[self._last_question] = now
        while len(self._questions) > _MAX_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        return self._last_question

    def _build_news(
        self, question: int = 0, reports: Sequence[LoadReport] = ()
    ) -> PeerStatus:
        ends = [follower.next_offset or 0 for follower in self._followers]
        return PeerStatus(question, self._is_reader(), list(reports), ends)

    def _answer(self, news: PeerStatus, peer: Peer) -> None:
        known = list(zip(self._followers, news.ends, strict=False))
        runs = [pack_run(follower.collect_run(end)) for follower, end in known]
        states = [follower.describe() for follower, _ in known]
        answer = PeerReply(news.question, self._is_reader(), states, runs)
        self._send(answer, peer)

    def _send_to(self, message: PeerMessage, name: str) -> None:
        peer = self._directory.find(name)
        if peer is not None:
            self._send(message, peer)

    def _send(self, message: PeerMessage, peer: Peer) -> None:
        key = self._directory.own_key
        if self._transport is None or key is None:
            return
        data = encode_datagram(message, self._directory.instance, key)
        if len(data) > _MAX_DATAGRAM_BYTES and isinstance(message, PeerReply):
            # What does not fit is read from the store by those who lack it.
            bare = msgspec.structs.replace(message, runs=[])
            data = encode_datagram(bare, self._directory.instance, key)
        self._transport.sendto(data, peer.address)

    async def _listen(self) -> asyncio.BaseTransport:
        """Return the transport; an address in use does not end the instance."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        while True:
            try:
                transport, _ = await loop.create_datagram_endpoint(
                    lambda: self, local_addr=(host, int(port))
                )
                return transport
            except OSError as error:
                emit(InstanceNotAnnounced(f"cannot listen at {self._address}: {error}"))
            await self._clock.sleep(_ANNOUNCE_RETRY_SECONDS)

    async def _announce(self) -> None:
        """Announce this instance unless an announcement of its address stands."""
        if self._announcements is not None:
            await self._announcements.wait_until_read()
        while self._directory.own_key is None:
            value = self._directory.describe_self()
            try:
                await self._topic.write(self._directory.instance, value)
                self._directory.take_announcement(value)
            except LogUnavailableError as error:
                emit(InstanceNotAnnounced(str(error)))
                await self._clock.sleep(_ANNOUNCE_RETRY_SECONDS)
