"""Exchange of configuration snapshots between instances."""

import asyncio
import random
from collections.abc import Callable, Sequence

from carobladder.clock import Clock, run_with_timeout
from carobladder.peers import PeerMessage, SnapshotAnswer, SnapshotRequest

__all__ = ["SnapshotExchange"]

_PART_TIMEOUT_SECONDS = 2.0
_MAX_PEERS = 3
# The encoded snapshot is reused for this long, so that all parts of one transfer come
# from the same snapshot.
_ENCODED_LIFETIME_SECONDS = 30.0


class SnapshotExchange:
    """Server and client for the transfer of configuration snapshots between peers.

    ``encode`` returns the encoded parts of the current configuration, or no parts if
    there is none.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        generator: random.Random,
        encode: Callable[[], Sequence[bytes]],
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._generator = generator
        self._encode = encode
        self._encoded: Sequence[bytes] = ()
        self._encoded_expires_at = 0.0
        self._waiting: dict[tuple[str, int], asyncio.Future[SnapshotAnswer]] = {}

    def answer(self, request: SnapshotRequest, offset: int) -> SnapshotAnswer:
        """Return the requested part; ``parts`` is 0 if there is no configuration."""
        parts = self._current_parts(request.part)
        data = parts[request.part] if request.part < len(parts) else b""
        return SnapshotAnswer(self._own_id, offset, request.part, len(parts), data)

    def receive_answer(self, answer: SnapshotAnswer) -> None:
        """Pass a response to the transfer that waits for it."""
        future = self._waiting.pop((answer.sender, answer.part), None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def fetch(
        self, peers: Sequence[str], send: Callable[[str, PeerMessage], object]
    ) -> list[bytes]:
        """Return the parts of the first peer that has a configuration, or no parts.

        ``send`` sends a message to a peer.
        """
        chosen = self._generator.sample(peers, min(len(peers), _MAX_PEERS))
        for peer in chosen:
            try:
                records = await self._fetch_parts(peer, send)
            except TimeoutError:
                continue
            if records:
                return records
        return []

    async def _fetch_parts(
        self, peer: str, send: Callable[[str, PeerMessage], object]
    ) -> list[bytes]:
        records: list[bytes] = []
        while True:
            answer = await run_with_timeout(
                self._clock,
                self._fetch_part(peer, len(records), send),
                _PART_TIMEOUT_SECONDS,
            )
            if not answer.data:
                return []
            records.append(answer.data)
            if len(records) >= answer.parts:
                return records

    async def _fetch_part(
        self, peer: str, part: int, send: Callable[[str, PeerMessage], object]
    ) -> SnapshotAnswer:
        future: asyncio.Future[SnapshotAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[(peer, part)] = future
        send(peer, SnapshotRequest(self._own_id, part))
        return await future

    def _current_parts(self, part: int) -> Sequence[bytes]:
        now = self._clock.monotonic()
        if part == 0 and now >= self._encoded_expires_at:
            self._encoded = self._encode()
            self._encoded_expires_at = now + _ENCODED_LIFETIME_SECONDS
        return self._encoded
