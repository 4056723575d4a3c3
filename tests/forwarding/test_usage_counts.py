"""Tests of which requests count as begun by a target."""

from tests.forwarding.streams import build_script
from tests.forwarding.test_handler import (
    NOT_RUN,
    ForwardingTest,
    echo,
    reset_connection,
    respond_with_status,
)

TEAM = "team-1"


class UsageCountTest(ForwardingTest):
    """Guard against usage that no target ran, and against usage that is left out."""

    async def test_plain_call_counts_once_for_its_team(self):
        instance = await self.start(echo)
        await instance.call("/unsafe/x", b"hello")
        self.assertEqual(instance.begun, [TEAM])

    async def test_refusals_of_targets_do_not_count(self):
        instance = await self.start(
            respond_with_status("503 Service Unavailable", NOT_RUN)
        )
        await instance.call("/unsafe/x")
        self.assertEqual(instance.begun, [])
        self.assertGreater(self.count_requests(), 0)

    async def test_statuses_that_state_not_run_do_not_count(self):
        for status in ("503 Service Unavailable", "429 Too Many Requests"):
            with self.subTest(status):
                instance = await self.start(respond_with_status(status))
                await instance.call("/unsafe/x")
                self.assertEqual(instance.begun, [])

    async def test_each_attempt_that_ran_counts(self):
        failing = respond_with_status("500 Internal Server Error")
        instance = await self.start(failing, failing)
        await instance.call("/safe/x")
        self.assertEqual(instance.begun, [TEAM] * self.count_requests())
        self.assertEqual(self.count_requests(), 2)

    async def test_request_without_an_answer_does_not_count(self):
        instance = await self.start(reset_connection)
        await instance.call("/unsafe/x")
        self.assertEqual(instance.begun, [])

    async def test_request_without_a_key_has_no_team(self):
        instance = await self.start(echo)
        await instance.call("/open/x", X_Api_Key="")
        self.assertEqual(instance.begun, [""])

    async def test_stream_counts_with_its_first_event(self):
        instance = await self.start(build_script([1, 2]))
        await instance.call("/stream/x")
        self.assertEqual(instance.begun, [TEAM])

    async def test_stream_without_an_event_does_not_count(self):
        instance = await self.start(build_script([], cut=True))
        await instance.call("/stream/x")
        self.assertEqual(instance.begun, [])
