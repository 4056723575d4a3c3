"""Tests of the time that connections may take, in virtual time."""

import asyncio
import socket
import unittest

from carobladder.clients.http import HttpClient
from tests.gateway.scripted_servers import ScriptedServer
from tests.support.looptime import LoopClock, in_virtual_time

CONNECT_SECONDS = 0.3
HOLD_SECONDS = 0.5
# More iterations of the loop than a connection takes.
ITERATIONS = 12


async def wait_for_end(reader, writer, number) -> None:
    """Accept a connection and send nothing."""
    await reader.read()


def create_client() -> HttpClient:
    """Return a client that follows the loop's time."""
    clock = LoopClock(asyncio.get_running_loop())
    return HttpClient(clock, connect_timeout_seconds=CONNECT_SECONDS)


class ConnectTimeoutTest(unittest.TestCase):
    """Guard against a wrong statement on whether a server accepts connections."""

    # Guards against giving up a connection that was made while the loop was held.
    @in_virtual_time
    async def test_held_loop_is_no_fault_of_the_server(self):
        loop = asyncio.get_running_loop()
        async with ScriptedServer(wait_for_end) as server:
            for iterations in range(ITERATIONS):
                with self.subTest(iterations):
                    client = create_client()
                    loop.hold_after(iterations, HOLD_SECONDS)
                    self.assertTrue(await client.probe(server.address))
                    client.close()
                    await asyncio.sleep(2 * HOLD_SECONDS)

    # Guards against waiting on for a server that does not accept.
    @in_virtual_time
    async def test_connection_that_is_not_accepted_is_given_up(self):
        loop = asyncio.get_running_loop()
        with socket.socket() as listener, socket.socket() as first:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            first.connect(address)
            began = loop.time()
            client = create_client()
            self.assertFalse(await client.probe(f"127.0.0.1:{address[1]}"))
            client.close()
            self.assertAlmostEqual(loop.time() - began, CONNECT_SECONDS, delta=0.01)


if __name__ == "__main__":
    unittest.main()
