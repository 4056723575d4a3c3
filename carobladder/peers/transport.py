"""Encrypted ZeroMQ transport between instances."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from carobladder.exceptions import PeerMessageError
from carobladder.peers.messages import (
    MAX_MESSAGE_BYTES,
    PeerMessage,
    decode_message,
    encode_message,
)

__all__ = ["PeerKeys", "PeerTransport"]

# Messages queued for a peer that does not read; outdated state is of no use.
SEND_QUEUE_MESSAGES = 64
RECEIVE_QUEUE_MESSAGES = 4096
_ZAP_DOMAIN = "fleet"


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """CURVE key pair that all instances share, encoded as Z85."""

    public: str
    secret: str


class PeerTransport:
    """Transport that receives on a ROUTER socket and sends on a DEALER per peer.

    ``dropped`` counts invalid and undeliverable messages by reason.
    """

    def __init__(self, listen: str, keys: PeerKeys) -> None:
        self._listen = listen
        self._keys = keys
        self._context = zmq.asyncio.Context()
        self._authenticator: AsyncioAuthenticator | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._dealers: dict[str, tuple[str, zmq.asyncio.Socket]] = {}
        self.dropped: Counter[str] = Counter()
        self.sent_bytes = 0
        self.received_bytes = 0

    @property
    def address(self) -> str:
        """Address in use as IP:PORT."""
        assert self._router is not None
        endpoint = self._router.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(endpoint, bytes)
        return endpoint.rstrip(b"\0").decode().removeprefix("tcp://")

    def start(self) -> None:
        """Bind the listening socket; only instances with the shared key may connect."""
        authenticator = AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            domain=_ZAP_DOMAIN,
            credentials_provider=_KeyChecker(self._keys.public, self.dropped),
        )
        self._authenticator = authenticator
        router = self._context.socket(zmq.ROUTER)
        router.curve_server = True
        router.curve_publickey = self._keys.public.encode()
        router.curve_secretkey = self._keys.secret.encode()
        router.zap_domain = _ZAP_DOMAIN.encode()
        router.maxmsgsize = MAX_MESSAGE_BYTES
        router.rcvhwm = RECEIVE_QUEUE_MESSAGES
        router.linger = 0
        router.bind(f"tcp://{self._listen}")
        self._router = router

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Connect to peers with a new address and disconnect from peers not listed."""
        for peer, (address, socket) in list(self._dealers.items()):
            if addresses.get(peer) != address:
                socket.close()
                del self._dealers[peer]
        for peer, address in addresses.items():
            if peer not in self._dealers:
                self._dealers[peer] = (address, self._connect(address))

    async def send(self, peer: str, message: PeerMessage) -> None:
        """Send without waiting; drop the message if the peer's queue is full."""
        entry = self._dealers.get(peer)
        frame = encode_message(message)
        if entry is None or len(frame) > MAX_MESSAGE_BYTES:
            self.dropped["no_peer" if entry is None else "too_large"] += 1
            return
        try:
            await entry[1].send(frame, zmq.DONTWAIT)
        except zmq.Again:
            self.dropped["queue_full"] += 1
            return
        self.sent_bytes += len(frame)

    async def receive(self) -> PeerMessage:
        """Return the next valid message."""
        assert self._router is not None
        while True:
            frames = await self._router.recv_multipart()
            self.received_bytes += sum(len(frame) for frame in frames[1:])
            if len(frames) != 2:
                self.dropped["frames"] += 1
                continue
            try:
                return decode_message(frames[1])
            except PeerMessageError:
                self.dropped["unusable"] += 1
                await asyncio.sleep(0)

    def close(self) -> None:
        """Close all sockets."""
        for _, socket in self._dealers.values():
            socket.close()
        self._dealers.clear()
        if self._router is not None:
            self._router.close()
        if self._authenticator is not None:
            with contextlib.suppress(zmq.ZMQError):
                self._authenticator.stop()
        self._context.destroy(linger=0)

    def _connect(self, address: str) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.curve_serverkey = self._keys.public.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_secretkey = self._keys.secret.encode()
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.linger = 0
        socket.connect(f"tcp://{address}")
        return socket


class _KeyChecker:
    """ZAP credentials provider that accepts only the shared public key."""

    def __init__(self, public: str, dropped: Counter[str]) -> None:
        self._public = public.encode()
        self._dropped = dropped

    def callback(self, domain: str, key: bytes) -> bool:
        if key == self._public:
            return True
        self._dropped["bad_key"] += 1
        return False
