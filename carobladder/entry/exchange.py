"""Gossip between instances by datagrams."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import cast

import msgspec

from carobladder.clock import Clock
from carobladder.entry.dutysharing import DutySharing
from carobladder.entry.prompts import PromptDirectory
from carobladder.entry.quarantine import QuarantineSharing
from carobladder.entry.runpacking import RunPacker
from carobladder.eras import EraMonitor
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    FailureGossip,
    FleetTarget,
    HolderQuery,
    HolderReply,
    InFlightGossip,
    InFlightReport,
    LoadGossip,
    LoadReport,
    Peer,
    PeerDirectory,
    PeerMessage,
    PeerReply,
    PeerStatus,
    RateGossip,
    TopicWriter,
    UsageReceipt,
    UsageReport,
    decode_datagram,
    encode_datagram,
)
from carobladder.quarantine import QuarantineNews
from carobladder.retries import RetryBudget
from carobladder.telemetry import InstanceNotAnnounced, emit
from carobladder.topics import RecentValues, TopicFollower

__all__ = ["PeerExchange", "SharedState"]

# In a small fleet each instance sends many requests to each target, so loads change
# within fractions of a second. In a large fleet a longer interval limits the traffic.
_MIN_INTERVAL_SECONDS = 0.1
_MAX_INTERVAL_SECONDS = 0.3
_INTERVAL_SECONDS_PER_PEER = 0.01
# Receivers in each interval; updates reach all instances within a few intervals.
_GOSSIP_FANOUT = 2
# Receivers of an immediate report of a silent target or of a rate limit; each forwards
# what it did not know to as many.
_REPORT_FANOUT = 4
# Receivers of news about the quarantine in a large fleet.
_NEWS_FANOUT = 4
# Limits the immediate queries for records that another instance has.
_MIN_QUERY_INTERVAL_SECONDS = 0.03
# The oldest queries are dropped beyond this; answers to them are ignored.
_MAX_PENDING_QUERIES = 64
_QUERY_NUMBER_BITS = 30
# Largest answer, in a datagram of IP with room for its headers.
_MAX_DATAGRAM_BYTES = 61_440
# Below this number of peers, readers also have the bandwidth to send loads, and each
# instance reports the requests that it sends to all others.
_SMALL_FLEET_PEERS = 20
# Requests that arrive together are reported together.
_REPORT_DELAY_SECONDS = 0.005
# Limits the reports to all others. Beyond it, the periodic messages contain them.
_MAX_REPORTS_PER_SECOND = 20.0
_ANNOUNCE_RETRY_SECONDS = 1.0
# All instances announce themselves again after the store was restored.
_ANNOUNCE_SPREAD_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class SharedState:
    """Information about targets and duties that instances exchange."""

    loads: LoadGossip
    prompts: PromptDirectory
    failures: FailureGossip
    in_flight: InFlightGossip
    quarantine: QuarantineSharing
    rates: RateGossip
    duties: DutySharing = field(default_factory=DutySharing)


class PeerExchange(asyncio.DatagramProtocol):
    """Gossip about loads, target failures and topics, and queries for missing records.

    Each round goes to a few instances, so the number of datagrams that an instance
    sends does not depend on the size of the fleet. A lost datagram only causes a delay,
    since later ones carry the same information.
    """

    def __init__(
        self,
        address: str,
        directory: PeerDirectory,
        shared: SharedState,
        topic: TopicWriter,
        is_reader: Callable[[], bool],
        clock: Clock,
        generator: random.Random,
        eras: EraMonitor | None = None,
        values: RecentValues | None = None,
    ) -> None:
        self.dropped = 0
        self.packer = RunPacker(values or RecentValues(), clock)
        # Reads the version of the configuration in force.
        self.find_version: Callable[[], int] = lambda: 0
        self._eras = eras or EraMonitor()
        self._eras.add_listener(self._handle_restored_store)
        self._renewal: asyncio.Task[None] | None = None
        self._address = address
        self._directory = directory
        self._shared = shared
        shared.prompts.set_sender(self._send_to)
        shared.quarantine.set_sender(self._spread_news)
        shared.duties.set_sender(self._send_to)
        self._topic = topic
        self._is_reader = is_reader
        self._clock = clock
        self._generator = generator
        self._transport: asyncio.DatagramTransport | None = None
        self._followers: Sequence[TopicFollower] = ()
        self._instances_follower: TopicFollower | None = None
        self._pending_queries: dict[int, float] = {}
        # Random start, so that an answer to a query from before a restart matches none
        # that was sent after it.
        self._last_query_number = generator.getrandbits(_QUERY_NUMBER_BITS)
        self._last_query_at = float("-inf")
        self._report_timer: asyncio.TimerHandle | None = None
        self._rate_timer: asyncio.TimerHandle | None = None
        self._report_budget = RetryBudget(
            0.0,
            clock.monotonic(),
            burst=_MAX_REPORTS_PER_SECOND,
            minimum_per_second=_MAX_REPORTS_PER_SECOND,
        )

    def set_followers(
        self, instances_follower: TopicFollower, followers: Sequence[TopicFollower]
    ) -> None:
        """Set the topics whose read offsets are exchanged.

        All instances must pass ``followers`` in the same order.
        ``instances_follower`` provides the records of the directory.
        """
        self._instances_follower = instances_follower
        self._followers = followers

    async def run(self) -> None:
        """Announce this instance and gossip until cancelled."""
        transport = await self._listen()
        try:
            await self._announce()
            while True:
                await self._clock.sleep(self._choose_interval())
                self._gossip()
        finally:
            for timer in (self._report_timer, self._rate_timer, self._renewal):
                if timer is not None:
                    timer.cancel()
            self._shared.quarantine.stop()
            self._transport = None
            transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # In Python 3.11 the event loop's class isn't derived from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Handle a message of another instance; count and drop any other datagram."""
        try:
            name, message = decode_datagram(data, self._directory.find_key)
        except ValueError:
            self.dropped += 1
            return
        peer = self._directory.find(name)
        assert peer is not None
        self._handle(message, peer)

    def error_received(self, error: Exception) -> None:
        """Ignore unreachable peers; their records stay until they are replaced."""

    @singledispatchmethod
    def _handle(self, message: PeerMessage, peer: Peer) -> None:
        raise TypeError(f"unsupported type of message: {type(message).__name__}")

    @_handle.register
    def _(self, message: PeerStatus, peer: Peer) -> None:
        self._directory.set_reader(peer.name, message.is_reader)
        self._shared.loads.take(message.reports, self._clock.monotonic())
        if self._shared.failures.take(message.failures, self._clock.monotonic()):
            self._send_failure_reports()
        self._shared.quarantine.take_holds(message.holds)
        if self._shared.rates.take(message.rates):
            self.report_rate_change()
        if message.in_flight is not None:
            self._handle(message.in_flight, peer)
        self._shared.duties.take_notice(message.duty)
        self._eras.note(message.era)
        if message.question:
            self._send_answer(message, peer)
        if message.era != self._eras.era:
            return
        peer_ends = list(zip(self._followers, message.ends, strict=False))
        if any(follower.is_behind(end) for follower, end in peer_ends):
            self._query_missing_records(peer)
        for follower, end in peer_ends:
            follower.handle_peer_end(end)

    @_handle.register
    def _(self, message: PeerReply, peer: Peer) -> None:
        self._directory.set_reader(peer.name, message.is_reader)
        self._eras.note(message.era)
        self.packer.note_answer(message.question)
        asked_at = self._pending_queries.pop(message.question, None)
        if asked_at is None or message.era != self._eras.era:
            return
        for follower, packed in zip(self._followers, message.runs, strict=False):
            run = None if packed is None else self.packer.unpack(packed)
            if run is not None:
                follower.apply_peer_run(run)
        is_proof = message.version <= self.find_version()
        for follower, state in zip(self._followers, message.states, strict=False):
            if state is not None:
                follower.handle_peer_state(state, asked_at, is_proof=is_proof)

    @_handle.register
    def _(self, message: HolderQuery | HolderReply, peer: Peer) -> None:
        self._shared.prompts.handle_message(message, peer.name)

    @_handle.register
    def _(self, message: InFlightReport, peer: Peer) -> None:
        self._shared.in_flight.take(peer.name, message, self._clock.monotonic())

    @_handle.register
    def _(self, message: QuarantineNews, peer: Peer) -> None:
        self._shared.quarantine.take(message)

    @_handle.register
    def _(self, message: UsageReport | UsageReceipt, peer: Peer) -> None:
        self._shared.duties.handle_message(message, peer.name)

    def _choose_interval(self) -> float:
        interval_seconds = self._directory.count_peers() * _INTERVAL_SECONDS_PER_PEER
        return min(_MAX_INTERVAL_SECONDS, max(_MIN_INTERVAL_SECONDS, interval_seconds))

    def _gossip(self) -> None:
        """Send an update to a random reader, if one is known, and to random others."""
        self._shared.in_flight.expire(self._clock.monotonic())
        peers = self._directory.list_peers()
        if not peers:
            return
        readers = self._directory.list_readers()
        receivers = self._generator.sample(readers, min(1, len(readers)))
        others = [peer for peer in peers if peer not in receivers]
        count = min(_GOSSIP_FANOUT - len(receivers), len(others))
        receivers += self._generator.sample(others, count)
        asked_peers = max(
            (follower.count_peers_to_ask() for follower in self._followers), default=0
        )
        # In a large fleet a reader answers many queries and has no bandwidth for loads.
        is_small = self._is_small_fleet()
        in_flight = self._shared.in_flight.collect() if is_small else None
        reports: list[LoadReport] = []
        if is_small or not self._is_reader():
            reports = self._shared.loads.collect(self._clock.monotonic())
        for index, peer in enumerate(receivers):
            query_number = self._register_query() if index < asked_peers else 0
            message = msgspec.structs.replace(
                self._build_gossip(query_number, reports),
                failures=self._shared.failures.collect(self._clock.monotonic()),
                in_flight=in_flight,
                holds=self._shared.quarantine.collect_holds(),
                rates=self._shared.rates.collect(),
            )
            self._send(message, peer)

    def report_sent_request(self) -> None:
        """Report shortly to all others what this instance has in flight."""
        if self._report_timer is None and self._is_small_fleet():
            self._report_timer = asyncio.get_running_loop().call_later(
                _REPORT_DELAY_SECONDS, self._report_in_flight
            )

    def _report_in_flight(self) -> None:
        self._report_timer = None
        report = self._shared.in_flight.collect()
        if report is None or not self._report_budget.withdraw(self._clock.monotonic()):
            return
        for peer in self._directory.list_peers():
            self._send(report, peer)

    def _is_small_fleet(self) -> bool:
        return self._directory.count_peers() < _SMALL_FLEET_PEERS

    def report_silent_target(self, target: FleetTarget, sent_at: float) -> None:
        """Report a target that has sent no byte since a request at ``sent_at``."""
        now = self._clock.monotonic()
        if self._shared.failures.note_silence(target, sent_at, now):
            self._send_failure_reports()

    def report_rate_change(self) -> None:
        """Report shortly that targets have begun or ended to limit their rate."""
        if self._rate_timer is None:
            self._rate_timer = asyncio.get_running_loop().call_later(
                _REPORT_DELAY_SECONDS, self._send_rate_reports
            )

    def _send_rate_reports(self) -> None:
        """Send the rate limits to some instances, which pass changes on."""
        self._rate_timer = None
        rates = self._shared.rates.collect()
        for peer in self._choose_report_receivers():
            message = msgspec.structs.replace(self._build_gossip(), rates=rates)
            self._send(message, peer)

    def _send_failure_reports(self) -> None:
        """Send the reports of silent targets to some instances at once."""
        failures = self._shared.failures.collect(self._clock.monotonic())
        for peer in self._choose_report_receivers():
            message = self._build_gossip()
            self._send(msgspec.structs.replace(message, failures=failures), peer)

    def _choose_report_receivers(self) -> list[Peer]:
        peers = self._directory.list_peers()
        return self._generator.sample(peers, min(_REPORT_FANOUT, len(peers)))

    def _spread_news(self, news: QuarantineNews) -> None:
        """Send news to all others of a small fleet, else to some, who pass them on."""
        peers = self._directory.list_peers()
        if not self._is_small_fleet():
            peers = self._generator.sample(peers, _NEWS_FANOUT)
        for peer in peers:
            self._send(news, peer)

    def _query_missing_records(self, peer: Peer) -> None:
        """Ask an instance for records that are missing here."""
        if self._clock.boottime() - self._last_query_at < _MIN_QUERY_INTERVAL_SECONDS:
            return
        self._send(self._build_gossip(self._register_query()), peer)

    def _register_query(self) -> int:
        """Record a query that is sent now and return its number."""
        now = self._clock.boottime()
        self._last_query_at = now
        self._last_query_number += 1
        self._pending_queries[self._last_query_number] = now
        while len(self._pending_queries) > _MAX_PENDING_QUERIES:
            del self._pending_queries[next(iter(self._pending_queries))]
        return self._last_query_number

    def _build_gossip(
        self, query_number: int = 0, reports: Sequence[LoadReport] = ()
    ) -> PeerStatus:
        ends = [follower.next_offset or 0 for follower in self._followers]
        accepted_bytes, bases = (
            self.packer.describe_question(query_number) if query_number else (0, [])
        )
        return PeerStatus(
            query_number,
            self._is_reader(),
            list(reports),
            ends,
            era=self._eras.era,
            duty=self._shared.duties.notice,
            accepted_bytes=accepted_bytes,
            bases=bases,
        )

    def _send_answer(self, message: PeerStatus, peer: Peer) -> None:
        peer_ends = list(zip(self._followers, message.ends, strict=False))
        runs = []
        # Otherwise the sender's offsets are those of another era.
        if message.era == self._eras.era:
            runs = [
                self.packer.pack(
                    follower.collect_run(end), message.accepted_bytes, message.bases
                )
                for follower, end in peer_ends
            ]
        states = [follower.build_topic_state() for follower, _ in peer_ends]
        answer = PeerReply(
            message.question,
            self._is_reader(),
            states,
            runs,
            self._eras.era,
            self.find_version(),
        )
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
            # Without the records, which the receiver then reads from the store.
            without_runs = msgspec.structs.replace(message, runs=[])
            data = encode_datagram(without_runs, self._directory.instance, key)
        self._transport.sendto(data, peer.address)

    async def _listen(self) -> asyncio.BaseTransport:
        """Open the socket; retry while its address is in use or can't be bound."""
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

    def _handle_restored_store(self) -> None:
        """Announce this instance again, as the store may have lost its announcement."""
        if self._directory.own_key is None:
            return
        if self._renewal is not None:
            self._renewal.cancel()
        self._renewal = asyncio.create_task(self._announce_again())

    async def _announce_again(self) -> None:
        await self._clock.sleep(self._generator.uniform(0.0, _ANNOUNCE_SPREAD_SECONDS))
        await self._write_announcement(self._directory.rebuild_announcement())

    async def _announce(self) -> None:
        """Announce this instance unless its address is already announced."""
        if self._instances_follower is not None:
            await self._instances_follower.wait_until_read()
        if self._directory.own_key is None:
            await self._write_announcement(self._directory.build_announcement())

    async def _write_announcement(self, value: bytes) -> None:
        """Write an announcement until it is stored, and apply it."""
        while True:
            era = self._eras.era
            try:
                await self._topic.write(self._directory.instance, value)
                self._directory.apply_own_announcement(value)
                if era is None or era == self._eras.era:
                    return
            except LogUnavailableError as error:
                emit(InstanceNotAnnounced(str(error)))
                await self._clock.sleep(_ANNOUNCE_RETRY_SECONDS)
