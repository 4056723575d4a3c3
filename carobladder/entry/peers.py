"""Other instances of the fleet: their addresses, their keys, and which ones read."""

import bisect
import secrets
from dataclasses import dataclass

import xxhash

from carobladder.clock import Clock
from carobladder.fleet import KeyedRecord

__all__ = ["Peer", "PeerDirectory"]

_KEY_BYTES = 32
_MIN_KEY_BYTES = 16
# An instance counts as a reader for this long after it said so.
_READER_SECONDS = 1.5
# Places of an instance on the ring of keys, so that instances have about equal parts.
_RING_POINTS = 16


@dataclass(frozen=True, slots=True)
class Peer:
    """Hold where another instance listens and the key of its messages."""

    name: str
    address: tuple[str, int]
    key: bytes


class PeerDirectory:
    """Keep the announcements of all instances.

    An announcement stands until its instance writes another one, so that a restart at
    the same address finds its own and need not write. Only instances read the topic, so
    a key proves that a message comes from one of them.
    """

    def __init__(self, instance: str, address: str, clock: Clock) -> None:
        self._instance = instance
        self._address = address
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._readers: dict[str, float] = {}
        self._own_key: bytes | None = None
        self._ring: list[tuple[int, str]] = []

    @property
    def instance(self) -> str:
        """Return the name of this instance."""
        return self._instance

    @property
    def own_key(self) -> bytes | None:
        """Return the key of this instance's messages, None until it is announced."""
        return self._own_key

    def count_peers(self) -> int:
        """Return the number of other instances."""
        return len(self._peers)

    def list_peers(self) -> list[Peer]:
        """Return the other instances."""
        return list(self._peers.values())

    def list_readers(self) -> list[Peer]:
        """Return the other instances that lately said that they read the store."""
        limit = self._clock.monotonic() - _READER_SECONDS
        known = self._readers.items()
        self._readers = {name: heard for name, heard in known if heard >= limit}
        return [self._peers[name] for name in self._readers if name in self._peers]

    def note_reader(self, name: str, is_reader: bool) -> None:
        """Take whether another instance reads the store."""
        if is_reader:
            self._readers[name] = self._clock.monotonic()
        else:
            self._readers.pop(name, None)

    def find_key(self, name: str) -> bytes | None:
        """Return the key of another instance's messages, or None."""
        peer = self._peers.get(name)
        return peer.key if peer else None

    def find(self, name: str) -> Peer | None:
        """Return another instance, or None."""
        return self._peers.get(name)

    def find_homes(self, key: int, count: int) -> list[str]:
        """Return the instances, this one included, to which a 64-bit key belongs.

        All instances that know the same others agree on them. One that joins or leaves
        changes the homes of few keys.
        """
        if not self._ring:
            names = [self._instance, *self._peers]
            self._ring = sorted(
                (xxhash.xxh3_64_intdigest(name.encode(), seed=point), name)
                for name in names
                for point in range(_RING_POINTS)
            )
        homes: list[str] = []
        first = bisect.bisect(self._ring, (key, ""))
        for index in range(first, first + len(self._ring)):
            name = self._ring[index % len(self._ring)][1]
            if name not in homes:
                homes.append(name)
            if len(homes) == count:
                break
        return homes

    def describe_self(self) -> bytes:
        """Return the announcement of this instance with a new key."""
        return f"{self._address} {secrets.token_hex(_KEY_BYTES)}".encode()

    def take_announcement(self, value: bytes) -> None:
        """Take this instance's own announcement, unless it is of another address."""
        peer = _parse_announcement(self._instance, value)
        if peer is not None and _format(peer.address) == self._address:
            self._own_key = peer.key

    def take_record(self, record: KeyedRecord) -> None:
        """Take the announcement of an instance, or its end."""
        value = record.value or b""
        peer = _parse_announcement(record.key, value)
        self._ring = []
        if record.key == self._instance:
            self.take_announcement(value)
        elif peer is not None:
            self._peers[record.key] = peer
        else:
            self._peers.pop(record.key, None)


def _parse_announcement(name: str, value: bytes) -> Peer | None:
    address, _, key_text = value.decode("utf-8", "replace").partition(" ")
    host, separator, port = address.rpartition(":")
    try:
        key = bytes.fromhex(key_text)
    except ValueError:
        return None
    if not (separator and port.isdigit() and len(key) >= _MIN_KEY_BYTES):
        return None
    return Peer(name, (host, int(port)), key)


def _format(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
