"""Exchange of configuration snapshots between instances."""

import asyncio
import random
from collections.abc import Callable, Sequence

from carobladder.clock import Clock, run_with_timeout
from carobladder.peers import PeerMessage, SnapshotAnswer, SnapshotRequest

__all__ = ["SnapshotExchange"]

_PART_SECONDS = 2.0
_MAX_PEERS_ASKED = 3
# All parts of one transfer must come from one snapshot.
_ENCODED_SECONDS = 30.0


class SnapshotExchange:
    """Serve this instance's configuration and ask peers for theirs.

    ``send`` takes a peer and a message; ``encode`` returns the encoded parts of the
    present configuration, or none.
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
        self._encoded_until = 0.0
        self._waiting: dict[tuple[str, int], asyncio.Future[SnapshotAnswer]] = {}

    def answer(self, request: SnapshotRequest, offset: int) -> SnapshotAnswer:
        """Return the requested part; no parts means no configuration."""
        parts = self._current_parts(request.part)
        data = parts[request.part] if request.part < len(parts) else b""
        return SnapshotAnswer(self._own_id, offset, request.part, len(parts), data)

    def take_answer(self, answer: SnapshotAnswer) -> None:
        """Hand an answer to the transfer that waits for it."""
        future = self._waiting.pop((answer.sender, answer.part), None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def fetch(
        self, peers: Sequence[str], send: Callable[[str, PeerMessage], object]
    ) -> list[bytes]:
        """Return the parts of the first peer that has a configuration."""
        chosen = self._generator.sample(peers, min(len(peers), _MAX_PEERS_ASKED))
        for peer in chosen:
            try:
                records = await self._fetch_all(peer, send)
            except TimeoutError:
                continue
            if records:
                return records
        return []

    async def _fetch_all(
        self, peer: str, send: Callable[[str, PeerMessage], object]
    ) -> list[bytes]:
        records: list[bytes] = []
        while True:
            answer = await run_with_timeout(
                self._clock, self._fetch_part(peer, len(records), send), _PART_SECONDS
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
        if part == 0 and now >= self._encoded_until:
            self._encoded = self._encode()
            self._encoded_until = now + _ENCODED_SECONDS
        return self._encoded
