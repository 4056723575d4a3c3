"""Tests of the bound on answers that callers have not taken yet."""

import asyncio
import unittest
from dataclasses import dataclass

from carobladder.clock import SystemClock
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.gateway.sendmemory import SendMemory
from tests.gateway.fakes import TEST_TIMEOUT_SECONDS
from tests.gateway.test_connections import EMPTY_REQUEST, LARGE_BODY, ConnectionTest

LIMIT_BYTES = 1000
# Room for one of the unread answers.
ANSWERS_LIMIT_BYTES = 25_000_000


class StepClock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now


@dataclass(eq=False)
class FakeAnswer:
    """Answer with a number of unsent bytes."""

    unsent_bytes: int = 0
    is_cut: bool = False

    def cut(self) -> None:
        """Drop the unsent bytes."""
        self.is_cut = True
        self.unsent_bytes = 0


class SendMemoryTest(unittest.TestCase):
    """Guard against unsent answers without a bound, and against cutting others."""

    def setUp(self):
        self.clock = StepClock()
        self.memory = SendMemory(LIMIT_BYTES, self.clock)
        self.answers = [FakeAnswer() for _ in range(4)]

    def write(self, index: int, size: int) -> None:
        """Add unsent bytes to an answer, a second after the last ones."""
        self.clock.now += 1.0
        self.answers[index].unsent_bytes += size
        self.memory.note_write(self.answers[index])

    def list_cut(self) -> list[int]:
        """Return the indices of the answers that were cut."""
        return [index for index, each in enumerate(self.answers) if each.is_cut]

    def test_no_answer_is_cut_within_the_bound(self):
        for index, size in enumerate((400, 300, 200, 100)):
            self.write(index, size)
        self.assertEqual(self.list_cut(), [])

    def test_answer_that_stalled_first_is_cut_and_no_other(self):
        for index in range(3):
            self.write(index, 400)
        self.assertEqual(self.list_cut(), [0])
        self.write(3, 300)
        self.assertEqual(self.list_cut(), [0, 1])

    # Guards against cutting a caller that reads in place of one that does not.
    def test_answer_that_is_being_taken_is_kept(self):
        self.write(0, 400)
        self.write(1, 400)
        self.answers[0].unsent_bytes -= 10
        self.write(2, 400)
        self.assertEqual(self.list_cut(), [1])

    # Guards against cutting many small answers that free little.
    def test_answer_below_the_mean_is_kept(self):
        self.write(0, 50)
        self.write(1, 500)
        self.write(2, 500)
        self.assertEqual(self.list_cut(), [1])

    def test_sum_is_within_the_bound_after_a_large_answer(self):
        for index in range(3):
            self.write(index, 300)
        self.write(3, 900)
        left = sum(each.unsent_bytes for each in self.answers)
        self.assertLessEqual(left, LIMIT_BYTES)

    def test_answer_that_was_taken_does_not_count(self):
        self.write(0, 900)
        self.memory.forget(self.answers[0])
        self.write(1, 900)
        self.assertEqual(self.list_cut(), [])


class UnreadAnswersTest(ConnectionTest):
    """Guard against unread answers that use the memory of all connections."""

    async def start_bounded(self) -> None:
        """Start a server with a bound and large answers."""

        async def answer(request: Request, responder: Responder) -> None:
            await responder.send_answer(Answer(200, (), LARGE_BODY))

        await self.start(answer)
        self.state.send_memory = SendMemory(ANSWERS_LIMIT_BYTES, SystemClock())

    async def open(self, *, reads: bool) -> tuple:
        """Return the streams of a connection that asks for a large answer."""
        host, _, port = self.gateway.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        if not reads:
            reader._transport.pause_reading()
        writer.write(EMPTY_REQUEST)
        await asyncio.sleep(0.1)
        return reader, writer

    async def test_first_unread_answer_is_cut_and_logged(self):
        await self.start_bounded()
        slow, _ = await self.open(reads=False)
        with self.assertLogs("carobladder", "INFO") as logs:
            await self.open(reads=False)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "connection_cut")
        self.assertEqual((record.reason, record.progress), ("caller_slow", "answering"))
        count = self.gateway.count(
            "connection_ends_total", reason="caller_slow", progress="answering"
        )
        self.assertEqual(count, 1)
        slow._transport.resume_reading()
        with self.assertRaises((ConnectionResetError, asyncio.IncompleteReadError)):
            await slow.readexactly(len(LARGE_BODY))

    # Guards against a reason that is lost as the connection was to close anyway.
    async def test_unread_answer_whose_caller_sends_no_more_is_cut_and_logged(self):
        await self.start_bounded()
        _, writer = await self.open(reads=False)
        writer.write_eof()
        await asyncio.sleep(0.05)
        with self.assertLogs("carobladder", "INFO") as logs:
            await self.open(reads=False)
        (record,) = logs.records
        self.assertEqual(record.reason, "caller_slow")

    async def test_answer_that_is_read_is_whole_beside_unread_ones(self):
        await self.start_bounded()
        await self.open(reads=False)
        reader, _ = await self.open(reads=True)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(len(LARGE_BODY))
        self.assertIn(b" 200 ", head)
        self.assertEqual(body, LARGE_BODY)


if __name__ == "__main__":
    unittest.main()
