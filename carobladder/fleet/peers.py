"""Directory of the fleet's instances: addresses, message keys and readers."""

import bisect
import secrets
from dataclasses import dataclass

import xxhash

from carobladder.clock import Clock
from carobladder.decoding import parse_port
from carobladder.fleet.records import KeyedRecord

__all__ = ["Peer", "PeerDirectory"]

_KEY_BYTES = 32
_MIN_KEY_BYTES = 16
# An instance counts as a reader for this long after its last message that said so.
_READER_TIMEOUT_SECONDS = 1.5
# Points of each instance on the consistent hash ring; more of them make the key ranges
# more even.
_RING_POINTS_PER_INSTANCE = 16


@dataclass(frozen=True, slots=True)
class Peer:
    """Address of another instance and the key that authenticates its messages."""

    name: str
    address: tuple[str, int]
    key: bytes


class PeerDirectory:
    """Directory of instances, built from their announcements.

    An announcement is valid until its instance writes another one, so an instance that
    restarts at the same address finds its own and need not write. Only instances can
    read the topic, so a key proves that a message comes from one of them.
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
        """Name of this instance."""
        return self._instance

    @property
    def own_key(self) -> bytes | None:
        """Key of this instance's messages, or None until it is announced."""
        return self._own_key

    def count_peers(self) -> int:
        """Return the number of other instances."""
        return len(self._peers)

    def list_peers(self) -> list[Peer]:
        """Return the other instances."""
        return list(self._peers.values())

    def list_readers(self) -> list[Peer]:
        """Return the other instances that recently reported to be readers."""
        oldest = self._clock.monotonic() - _READER_TIMEOUT_SECONDS
        readers = self._readers.items()
        self._readers = {
            name: heard_at for name, heard_at in readers if heard_at >= oldest
        }
        return [self._peers[name] for name in self._readers if name in self._peers]

    def set_reader(self, name: str, is_reader: bool) -> None:
        """Record whether another instance reads the store for the fleet."""
        if is_reader:
            self._readers[name] = self._clock.monotonic()
        else:
            self._readers.pop(name, None)

    def find_key(self, name: str) -> bytes | None:
        """Return the key of another instance's messages, or None."""
        peer = self._peers.get(name)
        return peer.key if peer else None

    def find(self, name: str) -> Peer | None:
        """Return another instance by its name, or None."""
        return self._peers.get(name)

    def find_owners(self, key: int, count: int) -> list[str]:
        """Return the ``count`` instances that own a 64-bit key by consistent hashing.

        This instance may be among them. All instances with the same directory agree on
        the owners. An instance that joins or leaves changes the owners of few keys.
        """
        if not self._ring:
            names = [self._instance, *self._peers]
            self._ring = sorted(
                (xxhash.xxh3_64_intdigest(name.encode(), seed=point), name)
                for name in names
                for point in range(_RING_POINTS_PER_INSTANCE)
            )
        owners: list[str] = []
        first = bisect.bisect(self._ring, (key, ""))
        for index in range(first, first + len(self._ring)):
            name = self._ring[index % len(self._ring)][1]
            if name not in owners:
                owners.append(name)
            if len(owners) == count:
                break
        return owners

    def build_announcement(self) -> bytes:
        """Return an announcement of this instance with a new key."""
        return self._format_announcement(secrets.token_bytes(_KEY_BYTES))

    def rebuild_announcement(self) -> bytes:
        """Return the announcement of this instance with the key that it has."""
        assert self._own_key is not None
        return self._format_announcement(self._own_key)

    def _format_announcement(self, key: bytes) -> bytes:
        return f"{self._address} {key.hex()}".encode()

    def apply_own_announcement(self, value: bytes) -> None:
        """Apply this instance's own announcement unless it has another address."""
        peer = _parse_announcement(self._instance, value)
        if peer is not None and _format_address(peer.address) == self._address:
            self._own_key = peer.key

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply the announcement of an instance or its removal."""
        value = record.value or b""
        peer = _parse_announcement(record.key, value)
        self._ring = []
        if record.key == self._instance:
            self.apply_own_announcement(value)
        elif peer is not None:
            self._peers[record.key] = peer
        else:
            self._peers.pop(record.key, None)


def _parse_announcement(name: str, value: bytes) -> Peer | None:
    address, _, key_text = value.decode("utf-8", "replace").partition(" ")
    host, _, port_text = address.rpartition(":")
    port = parse_port(port_text)
    try:
        key = bytes.fromhex(key_text)
    except ValueError:
        return None
    if not host or port is None or len(key) < _MIN_KEY_BYTES:
        return None
    return Peer(name, (host, port), key)


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
