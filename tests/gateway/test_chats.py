"""Tests of chat completions from the caller to the engine."""

import asyncio
import random
import unittest

import msgspec

from carobladder.exceptions import NoCapacityError
from carobladder.gateway.relay import RelayTimeouts
from tests.gateway.engines import DONE, Engine, token_event, whole_stream
from tests.gateway.fakes import CHAT, TEST_TIMEOUT_SECONDS, Gateway, read_error

UNUSED_ADDRESS = "127.0.0.1:1"
CUT_IN_THIRD_EVENT = 150


class ChatTest(unittest.IsolatedAsyncioTestCase):
    """Guard against lost, mixed up or duplicate responses and wrong outcomes."""

    async def test_complete_response_has_request_id_and_new_token(self):
        engine = Engine()
        async with engine.server() as server, Gateway(server.address) as gateway:
            answer = await gateway.chat(X_Chat_Token="old", X_Chat_Id="c1")
        headers = dict(answer.headers)
        self.assertEqual(answer.status, 200)
        self.assertEqual(headers["x-chat-token"], "t0:40")
        body = msgspec.json.decode(answer.body)
        self.assertEqual(body["for"], headers["x-request-id"])
        self.assertEqual(gateway.placement.chats[0].chat_token, "old")
        self.assertEqual(gateway.placement.chats[0].chat_id, "c1")

    async def test_stream_is_relayed_unchanged_and_its_connection_reused(self):
        engine = Engine()
        async with engine.server() as server, Gateway(server.address) as gateway:
            answers = [await gateway.chat(stream=True) for _ in range(2)]
            self.assertEqual(server.connections, 1)
        for answer in answers:
            self.assertEqual(answer.body, whole_stream(5))
            self.assertIn(("content-type", "text/event-stream"), answer.headers)
        self.assertEqual([p.releases for p in gateway.admission.permits], [[False]] * 2)

    async def test_call_is_retried_after_an_unreachable_target(self):
        engine = Engine()
        async with (
            engine.server() as server,
            Gateway(UNUSED_ADDRESS, server.address) as gateway,
        ):
            answer = await gateway.chat()
        self.assertEqual(answer.status, 200)
        self.assertEqual(gateway.count("retries_total", reason="not_written"), 1)
        self.assertEqual(
            [p.releases for p in gateway.admission.permits], [[True], [False]]
        )

    async def test_call_without_reachable_target_is_reported_as_not_run(self):
        async with Gateway(UNUSED_ADDRESS) as gateway:
            answer = await gateway.chat()
        self.assertEqual(answer.status, 503)
        self.assertEqual(read_error(answer)["outcome"], "not_run")
        self.assertIn("retry-after", dict(answer.headers))

    async def test_call_is_retried_and_its_failed_engine_reported(self):
        bad, good = Engine(status=500), Engine()
        async with (
            bad.server() as first,
            good.server() as second,
            Gateway(first.address, second.address) as gateway,
        ):
            answer = await gateway.chat()
        self.assertEqual(answer.status, 200)
        self.assertEqual(gateway.admission.permits[0].releases, [True])

    async def test_refusal_after_a_written_attempt_is_not_reported_as_not_run(self):
        bad = Engine(status=500)
        async with (
            bad.server() as first,
            bad.server() as second,
            Gateway(first.address, second.address) as gateway,
        ):
            gateway.admission.refusals = [None, NoCapacityError("full", 2.0)]
            answer = await gateway.chat()
        self.assertEqual(answer.status, 502)
        self.assertEqual(read_error(answer)["outcome"], "unknown")

    async def test_response_to_another_request_is_not_relayed(self):
        engine = Engine(wrong_request_id=True)
        async with engine.server() as server, Gateway(server.address) as gateway:
            for stream in (False, True):
                answer = await gateway.chat(stream=stream)
                self.assertEqual(answer.status, 502)

    async def test_client_error_of_the_engine_is_relayed(self):
        engine = Engine(status=422)
        async with engine.server() as server, Gateway(server.address) as gateway:
            answer = await gateway.chat(stream=True)
        self.assertEqual(answer.status, 422)

    async def test_expired_permit_is_released_and_acquired_again(self):
        engine = Engine()
        async with engine.server() as server, Gateway(server.address) as gateway:
            gateway.admission.validity = [False, True]
            answer = await gateway.chat()
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(engine.requests), 1)
        self.assertEqual([p.releases for p in gateway.admission.permits], [[False]] * 2)

    async def test_refusal_has_a_randomised_retry_time(self):
        async with Gateway("127.0.0.1:1") as gateway:
            gateway.admission.refusals = [
                NoCapacityError("full", 4.0) for _ in range(8)
            ]
            answers = [await gateway.chat() for _ in range(8)]
        times = {dict(answer.headers)["retry-after-ms"] for answer in answers}
        self.assertEqual({answer.status for answer in answers}, {429})
        self.assertGreater(len(times), 4)
        self.assertTrue(all(4000 <= int(time) <= 8000 for time in times))

    async def test_call_of_a_silent_engine_is_cancelled_at_the_deadline(self):
        engine = Engine(silent=True)
        async with engine.server() as server, Gateway(server.address) as gateway:
            for stream in (False, True):
                answer = await gateway.chat(stream=stream, X_Deadline_Ms="100")
                self.assertEqual(answer.status, 504)
                self.assertEqual(read_error(answer)["outcome"], "unknown")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await engine.cancellation.wait()

    async def test_request_id_created_by_a_target_is_accepted(self):
        engine = Engine(own_request_id=True)
        async with engine.server() as server, Gateway(server.address) as gateway:
            answer = await gateway.chat()
        self.assertEqual(answer.status, 200)

    async def test_caller_that_disconnects_cancels_the_stream_at_the_engine(self):
        engine = Engine(hold=asyncio.Event())
        async with engine.server() as server, Gateway(server.address) as gateway:
            body = msgspec.json.encode({**CHAT, "stream": True})
            answer = await gateway.caller.open(
                "POST",
                gateway.address,
                "/v1/chat/completions",
                headers=(("Authorization", "Bearer team-key"),),
                body=body,
                timeout_seconds=TEST_TIMEOUT_SECONDS,
            )
            self.assertEqual(await answer.read(TEST_TIMEOUT_SECONDS), token_event(0))
            answer.close()
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await engine.cancellation.wait()
        self.assertEqual(gateway.admission.permits[0].releases, [False])
        self.assertEqual(gateway.count("cancelled_streams_total"), 1)
        self.assertEqual(gateway.count("open_streams"), 0)


class RestartingEngine(Engine):
    """Fake engine that ignores Last-Event-ID and starts the stream again."""

    def stream_answer(self, request):
        """Return the complete stream."""
        request.headers.pop("last-event-id", None)
        return super().stream_answer(request)


class ResumeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against lost, duplicate or mixed up tokens after a broken stream."""

    async def relay(self, engines, versions=()):
        async with EngineServers(engines) as addresses, Gateway(*addresses) as gateway:
            gateway.directory.versions = list(versions)
            answer = await gateway.chat(stream=True)
        return gateway, answer

    async def test_broken_stream_resumes_on_another_engine(self):
        first, second = Engine(cuts=[CUT_IN_THIRD_EVENT]), Engine()
        gateway, answer = await self.relay([first, second])
        self.assertEqual(answer.body, whole_stream(5))
        self.assertEqual(second.requests[0].start, 2)
        self.assertEqual(gateway.count("retries_total", reason="stream_broken"), 1)

    async def test_broken_stream_resumes_on_the_only_engine(self):
        engine = Engine(cuts=[CUT_IN_THIRD_EVENT])
        _, answer = await self.relay([engine])
        self.assertEqual(answer.body, whole_stream(5))

    async def test_stream_is_not_resumed_by_another_version(self):
        first, second = Engine(cuts=[CUT_IN_THIRD_EVENT, 0, 0, 0]), Engine()
        _, answer = await self.relay([first, second], ["v1", "v2"])
        self.assertEqual(second.requests, [])
        self.assert_error_event(answer)

    async def test_stream_of_a_stalled_engine_resumes_on_another(self):
        stalled, second = Engine(hold=asyncio.Event()), Engine()
        async with EngineServers([stalled, second]) as addresses:
            gateway = Gateway(*addresses)
            gateway.timeouts = RelayTimeouts(stream_gap_seconds=0.05)
            async with gateway:
                answer = await gateway.chat(stream=True)
            self.assertEqual(stalled.cancelled, 1)
        self.assertEqual(answer.body, whole_stream(5))
        self.assertEqual(second.requests[0].start, 1)

    async def test_stream_resumes_on_a_version_without_traffic_share(self):
        first, second = Engine(cuts=[CUT_IN_THIRD_EVENT]), Engine()
        gateway, answer = await self.relay([first, second], ["v0", "v0"])
        self.assertEqual(gateway.placement.shares, [{"v1": 1.0}, {"v0": 1.0}])
        self.assertEqual(answer.body, whole_stream(5))

    async def test_engine_that_ignores_resumption_causes_an_error_event(self):
        engines = [RestartingEngine(cuts=[CUT_IN_THIRD_EVENT]), RestartingEngine()]
        _, answer = await self.relay(engines)
        self.assert_error_event(answer)
        self.assertTrue(answer.body.startswith(token_event(0) + token_event(1)))
        self.assertEqual(answer.body.count(token_event(0)), 1)

    async def test_stream_broken_before_its_first_event_is_retried(self):
        _, answer = await self.relay([Engine(cuts=[3]), Engine()])
        self.assertEqual(answer.body, whole_stream(5))

    async def test_streams_broken_at_random_end_complete_or_with_an_error_event(self):
        for seed in range(30):
            generator = random.Random(seed)
            engines = [
                Engine(cuts=[generator.randint(0, 400) for _ in range(2)], tokens=6)
                for _ in range(generator.randint(1, 3))
            ]
            with self.subTest(seed=seed):
                _, answer = await self.relay(engines)
                if answer.status != 200:
                    self.assertEqual(read_error(answer)["outcome"], "unknown")
                elif answer.body != whole_stream(6):
                    self.assert_error_event(answer)
                    tokens, _, _ = answer.body.partition(b"event: error")
                    self.assertTrue(whole_stream(6).startswith(tokens))

    def assert_error_event(self, answer):
        self.assertIn(b"event: error\n", answer.body)
        self.assertNotIn(DONE, answer.body)


class EngineServers:
    """Context manager that runs a server for each engine."""

    def __init__(self, engines):
        self._servers = [engine.server() for engine in engines]

    async def __aenter__(self):
        return [(await server.__aenter__()).address for server in self._servers]

    async def __aexit__(self, *exc_info):
        for server in self._servers:
            await server.__aexit__(*exc_info)
