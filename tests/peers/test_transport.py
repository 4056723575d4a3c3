"""Tests of the encrypted transport between instances over loopback sockets."""

import asyncio
import unittest
from unittest import mock

import zmq

from carobladder.peers import PeerKeys, PeerTransport, SnapshotRequest

WAIT_SECONDS = 10.0
SILENCE_SECONDS = 0.5


def make_keys() -> PeerKeys:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return PeerKeys(public.decode(), secret.decode())


class PeerTransportTest(unittest.IsolatedAsyncioTestCase):
    """Guard against messages of unauthorised senders and invalid messages."""

    def start(self, keys: PeerKeys) -> PeerTransport:
        transport = PeerTransport("127.0.0.1:0", keys)
        transport.start()
        self.addCleanup(transport.close)
        return transport

    async def test_sender_with_the_shared_key_is_accepted(self):
        keys = make_keys()
        sender, receiver = self.start(keys), self.start(keys)
        sender.set_peers({"b": receiver.address})
        await sender.send("b", SnapshotRequest("a", 3))
        message = await asyncio.wait_for(receiver.receive(), WAIT_SECONDS)
        self.assertEqual(message, SnapshotRequest("a", 3))

    async def test_sender_with_another_key_is_rejected(self):
        keys = make_keys()
        receiver = self.start(keys)
        outsider = self.start(make_keys())
        # The outsider knows the public key of the server but not the secret key.
        with mock.patch.object(outsider, "_connect", self.connect_to(outsider, keys)):
            outsider.set_peers({"b": receiver.address})
        await outsider.send("b", SnapshotRequest("a", 3))
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(receiver.receive(), SILENCE_SECONDS)
        self.assertGreater(receiver.dropped["bad_key"], 0)

    def connect_to(self, outsider: PeerTransport, keys: PeerKeys):
        def connect(address: str):
            socket = outsider._context.socket(zmq.DEALER)
            socket.curve_serverkey = keys.public.encode()
            socket.curve_publickey = outsider._keys.public.encode()
            socket.curve_secretkey = outsider._keys.secret.encode()
            socket.linger = 0
            socket.connect(f"tcp://{address}")
            return socket

        return connect

    async def test_public_key_without_its_secret_key_is_rejected(self):
        keys = make_keys()
        receiver = self.start(keys)
        outsider = self.start(PeerKeys(keys.public, make_keys().secret))
        outsider.set_peers({"b": receiver.address})
        await outsider.send("b", SnapshotRequest("a", 3))
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(receiver.receive(), SILENCE_SECONDS)

    async def test_unknown_protocol_version_is_dropped_and_counted(self):
        keys = make_keys()
        sender, receiver = self.start(keys), self.start(keys)
        sender.set_peers({"b": receiver.address})
        await sender._dealers["b"][1].send(b"\x09rest")
        await sender.send("b", SnapshotRequest("a", 4))
        message = await asyncio.wait_for(receiver.receive(), WAIT_SECONDS)
        self.assertEqual(message, SnapshotRequest("a", 4))
        self.assertEqual(receiver.dropped["unusable"], 1)
