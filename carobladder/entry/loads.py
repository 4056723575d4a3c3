"""Exchange of what instances know by datagrams."""

import asyncio
import random
from collections.abc import Sequence
from typing import cast

from carobladder.clock import Clock
from carobladder.entry.followers import TopicFollower
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    KeyedRecord,
    LoadSharing,
    TopicWriter,
    decode_message,
    encode_message,
)
from carobladder.telemetry import InstanceNotAnnounced, emit

__all__ = ["LoadExchange"]

# An instance of a small fleet sends much to each target, so that loads change within
# fractions of a second; in a large one a longer interval bounds the bytes.
_SHORTEST_INTERVAL_SECONDS = 0.1
_LONGEST_INTERVAL_SECONDS = 0.3
_INTERVAL_SECONDS_FOR_PEER = 0.01
# Instances told in each interval; what is told reaches all others within a few.
_FAN_OUT = 2
_ANNOUNCE_RETRY_SECONDS = 1.0


class LoadExchange(asyncio.DatagramProtocol):
    """Tell a few other instances the newest loads and how far topics were read.

    A lost datagram only delays what the next ones carry, and the number of
    datagrams of an instance does not depend on the size of the fleet.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        sharing: LoadSharing,
        topic: TopicWriter,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.malformed = 0
        self._instance = instance
        self._address = address
        self._sharing = sharing
        self._topic = topic
        self._clock = clock
        self._generator = generator
        self._peers: dict[str, tuple[str, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._followers: Sequence[TopicFollower] = ()

    def tell_progress_of(self, followers: Sequence[TopicFollower]) -> None:
        """Tell and take how far these are; all instances name them in one order."""
        self._followers = followers

    def count_peers(self) -> int:
        """Return the number of other instances."""
        return len(self._peers)

    async def run(self) -> None:
        """Announce this instance and exchange loads until cancelled."""
        transport = await self._listen()
        try:
            await self._announce()
            while True:
                await self._clock.sleep(self._choose_interval())
                self._tell()
        finally:
            transport.close()

    def take_record(self, record: KeyedRecord) -> None:
        """Take the address of an instance, or its end."""
        if record.key == self._instance:
            return
        address = (record.value or b"").decode("utf-8", "replace")
        host, separator, port = address.rpartition(":")
        if separator and port.isdigit():
            self._peers[record.key] = (host, int(port))
        else:
            self._peers.pop(record.key, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The loop's own class does not derive from DatagramTransport in Python 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Take the loads that another instance tells."""
        try:
            message = decode_message(data)
        except ValueError:
            self.malformed += 1
            return
        self._sharing.take(message.reports, self._clock.monotonic())
        for follower, end in zip(self._followers, message.ends, strict=False):
            follower.note_peer_end(end)

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer is away; its record stays until it is replaced."""

    def _choose_interval(self) -> float:
        wanted_seconds = len(self._peers) * _INTERVAL_SECONDS_FOR_PEER
        return min(
            _LONGEST_INTERVAL_SECONDS, max(_SHORTEST_INTERVAL_SECONDS, wanted_seconds)
        )

    def _tell(self) -> None:
        if not (self._peers and self._transport):
            return
        reports = self._sharing.collect(self._clock.monotonic())
        ends = [follower.next_offset or 0 for follower in self._followers]
        data = encode_message(reports, ends)
        peers = list(self._peers.values())
        for peer in self._generator.sample(peers, min(_FAN_OUT, len(peers))):
            self._transport.sendto(data, peer)

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
        while True:
            try:
                await self._topic.write(self._instance, self._address.encode())
                return
            except LogUnavailableError as error:
                emit(InstanceNotAnnounced(str(error)))
            await self._clock.sleep(_ANNOUNCE_RETRY_SECONDS)
