"""Tests of the instance list client and poller."""

import unittest

from returns.result import Failure

from carobladder.clients.instances import InstanceListClient, InstanceListPoller
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import VirtualClock
from carobladder.exceptions import ConnectionBrokenError

LISTED = b"""{"instances": [
    {"id": "entry-1", "kind": "entry", "address": "127.0.0.1:1",
     "peer_address": "127.0.0.1:2", "data_centre": "dc-1", "state": "live"},
    {"id": "t1", "kind": "target", "address": "127.0.0.1:3",
     "data_centre": "dc-2", "state": "leaving"}]}"""


class _Fetcher:
    def __init__(self, *answers: HttpAnswer | None) -> None:
        self.answers = list(answers)

    async def fetch(self, method, address, path, **options):
        answer = self.answers.pop(0)
        if answer is None:
            raise ConnectionBrokenError("refused", request_written=False)
        return answer


class InstanceListTest(unittest.IsolatedAsyncioTestCase):
    """A failing list service must not replace the last list that was read."""

    async def test_instances_and_targets_are_separated(self):
        client = InstanceListClient(_Fetcher(HttpAnswer(200, (), LISTED)), "a")
        listed = (await client.read()).unwrap()
        self.assertEqual([i.peer_address for i in listed.instances], ["127.0.0.1:2"])
        self.assertEqual([t.leaving for t in listed.targets], [True])

    async def test_errors_are_returned_as_failures(self):
        answers = [None, HttpAnswer(503, (), b""), HttpAnswer(200, (), b"{}")]
        client = InstanceListClient(_Fetcher(*answers), "a")
        for _ in range(3):
            self.assertIsInstance(await client.read(), Failure)

    async def test_poller_passes_on_successful_reads_only(self):
        fetcher = _Fetcher(HttpAnswer(200, (), LISTED), None)
        received = []
        poller = InstanceListPoller(
            InstanceListClient(fetcher, "a"), VirtualClock(), received.append
        )
        await poller.poll()
        await poller.poll()
        self.assertEqual(len(received), 1)
