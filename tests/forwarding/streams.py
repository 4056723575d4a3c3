"""Streams of scripted targets, and an instance before them in virtual time."""

import asyncio
from contextlib import AsyncExitStack

from tests.forwarding.fixtures import (
    Instance,
    ScriptedTarget,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.support.looptime import LoopClock


def build_script(events, cut: bool = False, partial: bytes = b""):
    """Return a script that sends the events after the request's Last-Event-ID."""

    async def run(request: bytes, writer) -> None:
        last = int(read_header(request, "last-event-id") or 0)
        writer.write(build_stream_head(request))
        for number in events:
            if number > last:
                writer.write(encode_chunk(encode_event(number)))
                await writer.drain()
                await asyncio.sleep(0.002)
        if partial:
            writer.write(encode_chunk(partial))
        if cut:
            await writer.drain()
            writer.transport.abort()
        else:
            writer.write(b"0\r\n\r\n")

    return run


def decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the data of a chunked body and whether the body is complete."""
    data = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return data, True
        data += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    return data, False


class VirtualInstance:
    """Instance before scripted targets, in the virtual time of its loop."""

    def __init__(self, *scripts, hedge_share: float = 0.0) -> None:
        self._hedge_share = hedge_share
        self.targets = [ScriptedTarget(script) for script in scripts]
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Instance:
        """Start the targets and the instance."""
        enter = self._stack.enter_async_context
        servers = [await enter(target.server) for target in self.targets]
        addresses = [server.address for server in servers]
        clock = LoopClock(asyncio.get_running_loop())
        instance = Instance(*addresses, clock=clock, hedge_share=self._hedge_share)
        return await enter(instance)

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the instance and the targets."""
        await self._stack.aclose()

    def count_requests(self) -> int:
        """Return the number of requests that reached any target."""
        return sum(len(target.requests) for target in self.targets)
