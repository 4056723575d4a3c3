"""Tests of completions by the model engine."""

import asyncio

import openai

from standins.client import fetch_json
from standins.engine import EngineApp, EngineOptions, expected_text
from tests.standins.support import COMPLETIONS, StandInTest, read_stream

WARM = {"warm_tokens": 0, "block_tokens": 4}


def ask(text: str, count: int = 4, **fields) -> dict:
    """Return the body of a completion request with one message."""
    message = {"role": "user", "content": text}
    return {"model": "quotes", "messages": [message], "max_tokens": count, **fields}


class EngineTest(StandInTest):
    """Start engines on the virtual clock."""

    async def start(self, **options) -> tuple[EngineApp, str]:
        app = EngineApp(EngineOptions(**{**WARM, **options}), self.clock)
        return app, await self.serve(app)

    async def complete(self, address: str, body: dict, **headers: str):
        return await self.call("POST", address, COMPLETIONS, body, headers)

    async def cached(self, address: str, body: dict) -> int:
        usage = (await self.complete(address, body)).body["usage"]
        return usage["prompt_tokens_details"]["cached_tokens"]


class CompletionTest(EngineTest):
    """Guard against answers that client libraries or a resume cannot use."""

    async def test_whole_and_streamed_answers_have_the_expected_text(self):
        _, address = await self.start()
        body = ask("a quote")
        wanted = expected_text("quotes", "1", body["messages"], 4)
        answer = await self.complete(address, body)
        message = answer.body["choices"][0]["message"]
        self.assertEqual(message["content"], wanted)
        stream = await self.drive(read_stream(address, {**body, "stream": True}))
        self.assertEqual(stream, (["0", "1", "2", "3", "4"], wanted, True))

    async def test_openai_client_accepts_both_forms(self):
        _, address = await self.start()
        client = openai.AsyncOpenAI(base_url=f"http://{address}/v1", api_key="none")
        self.addAsyncCleanup(client.close)
        body = ask("a quote")
        create = client.chat.completions.create
        whole = await self.drive(create(**body))
        self.assertEqual(whole.usage.completion_tokens, 4)
        options = {"include_usage": True}
        stream = await self.drive(create(**body, stream=True, stream_options=options))

        async def collect():
            return [chunk async for chunk in stream]

        chunks = await self.drive(collect())
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        self.assertEqual(text, whole.choices[0].message.content)
        self.assertEqual(chunks[-1].usage.total_tokens, whole.usage.total_tokens)

    async def test_resume_after_any_token_continues_on_another_engine(self):
        body = ask("a plan", stream=True, stream_options={"include_usage": True})
        addresses = [(await self.start())[1] for _ in range(2)]
        ids, text, _ = await self.drive(read_stream(addresses[0], body))
        for last in range(len(ids)):
            headers = {"Last-Event-ID": str(last)}
            rest = await self.drive(read_stream(addresses[1], body, headers))
            self.assertEqual(rest[0], ids[last + 1 :])
            self.assertTrue(rest[2])
            self.assertTrue(text.endswith(rest[1]))

    async def test_versions_give_different_text(self):
        body = ask("a plan")
        texts = {expected_text("quotes", v, body["messages"], 4) for v in "123"}
        self.assertEqual(len(texts), 3)

    async def test_unusable_requests_are_refused(self):
        _, address = await self.start()
        unknown = await self.complete(address, {**ask("a"), "model": "other"})
        self.assertEqual(unknown.status, 404)
        for bad in ({"model": "quotes"}, {**ask("a"), "max_tokens": -1}, []):
            self.assertEqual((await self.complete(address, bad)).status, 400)
        late = await self.complete(address, ask("a"), **{"Last-Event-ID": "99"})
        self.assertEqual(late.status, 400)

    async def test_answers_state_the_boot_id(self):
        app, address = await self.start()
        answer = await self.complete(address, ask("a"))
        self.assertEqual(answer.headers["x-boot-id"], app.state.boot_id)


class BatchTest(EngineTest):
    """Guard against timing that does not follow batch, prompt and priority."""

    async def seconds(self, address: str, body: dict) -> float:
        before = self.clock.monotonic()
        await self.complete(address, body)
        return self.clock.monotonic() - before

    async def test_prefill_time_grows_with_uncached_tokens_only(self):
        _, address = await self.start(prefill_ms_per_token=10)
        long = ask("word " * 200)
        self.assertGreaterEqual(await self.seconds(address, long), 2)
        self.assertLess(await self.seconds(address, long), 1)

    async def test_step_time_grows_with_the_batch(self):
        _, address = await self.start(step_ms=0, step_ms_per_request=100)
        alone = await self.seconds(address, ask("first", 10))
        bodies = [ask(f"number {n}", 10) for n in range(4)]
        before = self.clock.monotonic()
        calls = (fetch_json("POST", address, COMPLETIONS, body) for body in bodies)
        await self.drive(asyncio.gather(*calls))
        together = self.clock.monotonic() - before
        self.assertGreater(together, 2 * alone)
        self.assertLess(together, 6 * alone)

    async def test_smaller_priority_number_runs_first(self):
        _, address = await self.start(slots=1)
        finished = []

        async def run(name: str, priority: str) -> None:
            headers = {"X-Priority": priority}
            await fetch_json("POST", address, COMPLETIONS, ask(name), headers)
            finished.append(name)

        async def run_all() -> None:
            tasks = [asyncio.ensure_future(run("running", "1"))]
            for name, priority in (("late", "3"), ("middle", "2"), ("early", "0")):
                await self.settle()
                tasks.append(asyncio.ensure_future(run(name, priority)))
            await self.settle()
            await self.drive(asyncio.gather(*tasks))

        await run_all()
        self.assertEqual(finished, ["running", "early", "middle", "late"])

    async def test_closing_the_connection_cancels(self):
        app, address = await self.start()
        call = fetch_json("POST", address, COMPLETIONS, ask("a", 10_000))
        task = asyncio.ensure_future(call)
        await self.settle()
        self.clock.advance(1)
        await self.settle()
        self.assertEqual(app.state.batch.running, 1)
        task.cancel()
        await self.settle()
        self.assertEqual(app.state.batch.running, 0)
        self.assertEqual(app.state.counters.cancelled, 1)


class CacheTest(EngineTest):
    """Guard against cache figures that do not show what was reused."""

    async def test_next_turn_of_a_chat_reuses_prompt_and_answer(self):
        _, address = await self.start()
        body = ask("one two three four five six seven")
        text = (await self.complete(address, body)).body["choices"][0]["message"]
        follow_up = {"role": "user", "content": "more"}
        body["messages"] = [*body["messages"], text, follow_up]
        # 9 tokens of the prompt and 4 of the answer fill 3 blocks of 4.
        self.assertEqual(await self.cached(address, body), 12)

    async def test_least_recently_used_prefix_is_evicted(self):
        _, address = await self.start(cache_blocks=16)
        first, second, third = (ask(f"{name} " * 26) for name in "abc")
        for body in (first, second, first, third):
            await self.complete(address, body)
        # All 28 tokens are cached; the last one is always computed again.
        self.assertEqual(await self.cached(address, first), 27)
        self.assertEqual(await self.cached(address, second), 0)

    async def test_exported_blocks_are_reused_after_import(self):
        _, source = await self.start()
        _, sink = await self.start()
        body = ask("word " * 30)
        await self.complete(source, body)
        blocks = (await self.call("POST", source, "/kv/export", body)).body
        imported = await self.call("POST", sink, "/kv/import", blocks)
        self.assertEqual(imported.body["imported"], 8)
        self.assertGreater(await self.cached(sink, body), 0)

    async def test_import_of_another_version_is_refused(self):
        _, address = await self.start()
        blocks = {"model": "quotes", "version": "2", "blocks": ["x"]}
        answer = await self.call("POST", address, "/kv/import", blocks)
        self.assertEqual(answer.status, 409)

    async def test_events_are_published_late_and_with_gaps(self):
        _, address = await self.start(event_lag_seconds=1000, event_gap_share=0.5)
        for number in range(40):
            await self.complete(address, ask(f"number {number} " * 4))
        path = "/cache-events?from=0"
        early = (await self.call("GET", address, path)).body
        self.assertEqual(early["events"], [])
        self.clock.advance(1000)
        late = (await self.call("GET", address, path)).body
        sequences = [event["sequence"] for event in late["events"]]
        self.assertEqual(sequences, sorted(sequences))
        self.assertIn(len(sequences), range(5, 36))
        rest = await self.call("GET", address, f"/cache-events?from={late['next']}")
        self.assertEqual(rest.body["events"], [])
        self.assertEqual(late["events"][0]["type"], "stored")
