"""Tests of responses that come while the event loop is held, in virtual time."""

import asyncio
import unittest

from carobladder.clients.http import HttpClient
from carobladder.exceptions import AnswerOverdueError
from tests.gateway.scripted_servers import ScriptedServer, read_head
from tests.support.looptime import LoopClock, in_virtual_time

DEADLINE_SECONDS = 0.3
ANSWER_SECONDS = 0.25
HOLD_SECONDS = 0.2
SHORT_HOLD_SECONDS = 0.001
# Above the deadline by the iterations that a response may go on.
MAX_SECONDS = 0.5
# A few reads of a socket.
BODY = b"x" * 60_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)


def answer_while_held(before: bytes, after: bytes):
    """Return a script that sends the rest of a response just before a hold."""

    async def answer(reader, writer, number) -> None:
        await read_head(reader)
        writer.write(before)
        await asyncio.sleep(ANSWER_SECONDS)
        writer.write(after)
        asyncio.get_running_loop().hold(HOLD_SECONDS)
        await reader.read()

    return answer


async def trickle(reader, writer, number) -> None:
    """Send a response one byte at a time."""
    await read_head(reader)
    for number in range(len(HEAD)):
        writer.write(HEAD[number : number + 1])
        await asyncio.sleep(0.01)


async def send_in_each_iteration(reader, writer, number) -> None:
    """Send a byte of a response in each iteration of the loop, and hold it."""
    await read_head(reader)
    writer.write(HEAD)
    while not writer.is_closing():
        writer.write(b"x")
        asyncio.get_running_loop().hold(SHORT_HOLD_SECONDS)
        await asyncio.sleep(0)


async def fetch(script) -> bytes:
    """Return the body of a response that must be whole by a deadline."""
    client = HttpClient(LoopClock(asyncio.get_running_loop()))
    async with ScriptedServer(script) as server:
        try:
            answer = await client.fetch(
                "GET", server.address, "/", timeout_seconds=DEADLINE_SECONDS
            )
        finally:
            client.close()
    return answer.body


class HeldLoopTest(unittest.TestCase):
    """Guard against giving up a response that has come in time."""

    # Guards against a timer that ends a request in the iteration that reads its answer.
    @in_virtual_time
    async def test_response_that_waits_in_the_socket_is_in_time(self):
        whole = HEAD + BODY
        for size in (0, 10, len(HEAD), len(HEAD) + 100):
            with self.subTest(size):
                script = answer_while_held(whole[:size], whole[size:])
                self.assertEqual(await fetch(script), BODY)

    # Guards against bytes that keep a response open beyond its deadline.
    @in_virtual_time
    async def test_response_that_goes_on_beyond_its_deadline_is_given_up(self):
        began = asyncio.get_running_loop().time()
        with self.assertRaises(AnswerOverdueError):
            await fetch(trickle)
        seconds = asyncio.get_running_loop().time() - began
        self.assertAlmostEqual(seconds, DEADLINE_SECONDS, delta=0.02)

    # Guards against bytes in each iteration that keep a response open.
    @in_virtual_time
    async def test_response_whose_bytes_never_pause_is_given_up(self):
        began = asyncio.get_running_loop().time()
        with self.assertRaises(AnswerOverdueError):
            await fetch(send_in_each_iteration)
        self.assertLess(asyncio.get_running_loop().time() - began, MAX_SECONDS)


if __name__ == "__main__":
    unittest.main()
