"""Tests of complete instances with simulated services, on loopback."""

import asyncio
import unittest
import uuid

from openai import AsyncOpenAI

from standins.client import fetch_json
from standins.engine import expected_text
from tests.bookings.test_keys import make_key
from tests.instance.cluster import (
    MODEL,
    OTHER_KEY,
    SALES_KEY,
    TEST_TIMEOUT_SECONDS,
    LocalFleet,
)

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "which pile suits a stairway"}]


def make_chat_body(tokens: int = 5) -> dict:
    """Return the body of a chat request that is not streamed."""
    return {"model": MODEL, "messages": MESSAGES, "max_tokens": tokens}


def make_fresh_key() -> str:
    """Return a UUIDv7 with the current time."""
    from datetime import UTC, datetime

    return make_key(datetime.now(UTC), uuid.uuid4().int & (1 << 62) - 1)


class RunningFleetTest(unittest.IsolatedAsyncioTestCase):
    """Guard against faults between caller and target, over real sockets."""

    async def asyncSetUp(self):
        self.fleet = LocalFleet()
        await self.enterAsyncContext(self.fleet)

    async def test_unmodified_client_library_gets_whole_and_streamed_chats(self):
        client = AsyncOpenAI(
            base_url=f"http://{self.fleet.address(1)}/v1", api_key=SALES_KEY
        )
        whole = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=8
        )
        stream = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=8, stream=True
        )
        parts = [
            chunk.choices[0].delta.content or ""
            async for chunk in stream
            if chunk.choices
        ]
        await client.close()
        wanted = expected_text(MODEL, "v1", MESSAGES, 8)
        self.assertEqual(whole.choices[0].message.content, wanted)
        self.assertEqual("".join(parts), wanted)

    async def test_follow_up_chat_reuses_its_context_through_another_instance(self):
        text = " ".join(f"word{number}" for number in range(200))
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 2,
        }
        first = await self.fleet.call(0, "POST", CHAT, body)
        token = first.headers["x-chat-token"]
        second = await self.fleet.call(1, "POST", CHAT, body, X_Chat_Token=token)
        usage = second.body["usage"]["prompt_tokens_details"]
        self.assertGreater(usage["cached_tokens"], 100)

    async def test_repeated_booking_through_another_instance_runs_once(self):
        key = make_fresh_key()
        body = {"item": "remnant-7"}
        answers = [
            await self.fleet.call(
                number, "POST", "/reservations", body, Idempotency_Key=key
            )
            for number in (0, 1, 0)
        ]
        self.assertEqual({answer.status for answer in answers}, {201})
        self.assertEqual(len(self.fleet.service.effects), 1)

    async def test_team_cannot_access_outcomes_models_or_keys_of_another(self):
        key = make_fresh_key()
        await self.fleet.call(
            0, "POST", "/reservations", {"item": "remnant-8"}, Idempotency_Key=key
        )
        outcome = await self.fleet.call(0, "GET", f"/v1/outcomes/{key}", key=OTHER_KEY)
        self.assertEqual(outcome.status, 404)
        chat = await self.fleet.call(0, "POST", CHAT, make_chat_body(), key=OTHER_KEY)
        self.assertEqual(chat.status, 404)
        repeated = await self.fleet.call(
            0,
            "POST",
            "/reservations",
            {"item": "remnant-8"},
            key=OTHER_KEY,
            Idempotency_Key=key,
        )
        self.assertEqual(repeated.status, 201)
        self.assertEqual(len(self.fleet.service.effects), 2)

    async def test_log_outage_refuses_bookings_but_serves_chats(self):
        refuse = {"rules": [{"kind": "refuse", "path": "/-/log"}]}
        await fetch_json("POST", self.fleet.log_address, "/faults", refuse)
        booking = await self.fleet.call(
            0,
            "POST",
            "/reservations",
            {"item": "remnant-9"},
            Idempotency_Key=make_fresh_key(),
        )
        chat = await self.fleet.call(0, "POST", CHAT, make_chat_body())
        self.assertEqual(booking.status, 503)
        self.assertEqual(booking.body["error"]["outcome"], "not_run")
        self.assertEqual(self.fleet.service.effects, [])
        self.assertEqual(chat.status, 200)

    async def test_new_instance_gets_the_configuration_from_a_peer(self):
        refuse = {"rules": [{"kind": "refuse", "path": "/-/log"}]}
        await fetch_json("POST", self.fleet.log_address, "/faults", refuse)
        await self.fleet.add_instance("entry-fresh")
        await self.fleet.wait_ready()
        chat = await self.fleet.call(2, "POST", CHAT, make_chat_body())
        self.assertEqual(chat.status, 200)

    async def test_metrics_include_peers_and_requests(self):
        await self.fleet.call(0, "POST", CHAT, make_chat_body())
        text = (await self.fleet.call(0, "GET", "/metrics")).body
        for name in (
            'carobladder_admission_requests_total{decision="admitted"}',
            "carobladder_peer_sent_bytes_total",
            "carobladder_live_instances 2.0",
            'carobladder_request_seconds_count{class="quick"}',
        ):
            self.assertIn(name, text)

    async def test_drain_finishes_streams_and_exits_with_status_0(self):
        slow = {"rules": [{"kind": "slow_tokens", "seconds": 0.05}]}
        for address in self.fleet.engine_addresses:
            await fetch_json("POST", address, "/faults", slow)
        chat = asyncio.create_task(self.fleet.call(1, "POST", CHAT, make_chat_body(40)))
        await asyncio.sleep(0.3)
        self.fleet.stop(1)
        answer = await chat
        self.assertEqual(answer.status, 200)
        wanted = expected_text(MODEL, "v1", MESSAGES, 40)
        self.assertEqual(answer.body["choices"][0]["message"]["content"], wanted)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            self.assertEqual(await self.fleet.runs[1], 0)
