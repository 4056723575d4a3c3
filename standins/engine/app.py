"""HTTP interface of the model engine."""

import asyncio
import dataclasses
from collections.abc import Sequence as TokenSequence
from typing import Any

from carobladder.clock import Clock
from standins.engine.answers import DONE_EVENT, Completion
from standins.engine.batch import Sequence
from standins.engine.faults import EngineFaultRule, EngineFaultSet
from standins.engine.options import EngineOptions
from standins.engine.orders import parse_order
from standins.engine.requests import (
    DEFAULT_PRIORITY,
    PRIORITY_WEIGHT,
    CompletionBody,
    parse_body,
    parse_number,
)
from standins.engine.state import EngineState
from standins.engine.text import hash_blocks, output_tokens, prompt_tokens
from standins.http import App, Exchange, Request, RequestError

__all__ = ["EngineApp"]


class EngineApp(App):
    """Serve completions, load reports, cache events, KV transfer and orders."""

    cancel_on_close = True
    fault_set = EngineFaultSet

    def __init__(self, options: EngineOptions, clock: Clock | None = None) -> None:
        super().__init__(clock)
        self.options = options
        self.state = EngineState(options, self.clock)
        self._faults_posted = self.clock.monotonic()
        self._answers = 0
        self._open: set[Exchange] = set()

    def answer_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the boot id header."""
        return (("X-Boot-Id", self.state.boot_id),)

    async def start(self) -> None:
        """Start the step loop."""
        self.state.start()

    async def stop(self) -> None:
        """Stop the step loop."""
        await self.state.stop()

    def apply_faults(self, faults: Any) -> None:
        """Replace the fault rules and restart if told to."""
        super().apply_faults(faults)
        self._faults_posted = self.clock.monotonic()
        if faults.restart:
            for exchange in list(self._open):
                exchange.abort()
        if faults.restart or faults.cool:
            self.state.restart()

    def request_facts(self, request: Request) -> dict[str, Any]:
        """Return what fault rules of an engine match on."""
        facts = request.facts()
        facts["version"] = self.state.version
        facts["running"] = self.state.batch.running
        facts["fault_age_seconds"] = self.clock.monotonic() - self._faults_posted
        if request.path == "/v1/chat/completions" and request.body:
            facts["priority"] = parse_number(request, "x-priority", DEFAULT_PRIORITY)
            facts["stream"] = parse_body(request).stream
        return facts

    async def handle(self, exchange: Exchange) -> None:
        """Route a request by method and path."""
        routes = {
            ("POST", "/v1/chat/completions"): self._complete,
            ("GET", "/load"): self._show_load,
            ("GET", "/stats"): self._show_counters,
            ("GET", "/cache-events"): self._show_events,
            ("POST", "/kv/export"): self._export,
            ("POST", "/kv/import"): self._import,
            ("POST", "/orders"): self._order,
        }
        route = routes.get((exchange.request.method, exchange.request.path))
        if route is None:
            raise RequestError(404, "unknown path or method")
        await route(exchange)

    async def _show_load(self, exchange: Exchange) -> None:
        self.state.record_load()
        await exchange.answer(200, self.state.show_load())

    async def _show_counters(self, exchange: Exchange) -> None:
        counters = dataclasses.asdict(self.state.counters)
        slots = self.state.batch.weight
        await exchange.answer(200, {**counters, "slots_in_flight": slots})

    async def _show_events(self, exchange: Exchange) -> None:
        start = exchange.request.query.get("from", "0")
        if not start.isdecimal():
            raise RequestError(400, "from must be a whole number")
        events = self.state.cache.list_events(int(start))
        await exchange.answer(200, {"boot_id": self.state.boot_id, **events})

    async def _order(self, exchange: Exchange) -> None:
        order = parse_order(exchange.request)
        self.state.obey(order)
        await exchange.answer(202, {"fencing": order.fencing})

    async def _export(self, exchange: Exchange) -> None:
        body = parse_body(exchange.request)
        hashes = self._hash(prompt_tokens(body.messages))
        cached = hashes[: self.state.cache.count_cached(hashes)]
        await self._move_blocks(len(cached))
        answer = {"model": body.model, "version": self.state.version, "blocks": cached}
        await exchange.answer(200, answer)

    async def _import(self, exchange: Exchange) -> None:
        body = exchange.request.json()
        blocks = body.get("blocks") if isinstance(body, dict) else None
        if not isinstance(blocks, list):
            raise RequestError(400, "send the answer of /kv/export")
        if (body.get("model"), body.get("version")) != (
            self.options.model,
            self.state.version,
        ):
            raise RequestError(409, "the blocks are of another model or version")
        await self._move_blocks(len(blocks))
        self.state.cache.store(blocks)
        await exchange.answer(200, {"imported": len(blocks)})

    async def _move_blocks(self, count: int) -> None:
        options = self.options
        await self.clock.sleep(count * options.kv_ms_per_block / 1000 / options.speed)

    def _hash(self, tokens: TokenSequence[str]) -> list[str]:
        namespace = f"{self.options.model}:{self.state.version}"
        return hash_blocks(namespace, tokens, self.options.block_tokens)

    async def _complete(self, exchange: Exchange) -> None:
        request = exchange.request
        body = parse_body(request)
        if body.model != self.options.model:
            raise RequestError(404, f"model {body.model} is not served here")
        if not self.state.ready:
            raise RequestError(503, "weights are being loaded; the request did not run")
        last_id = parse_number(request, "last-event-id", -1)
        if last_id > body.count + 1:
            raise RequestError(400, "last-event-id is after the end of the answer")
        priority = parse_number(request, "x-priority", DEFAULT_PRIORITY)
        weight = PRIORITY_WEIGHT.get(priority, 1)
        self._check_warmth(weight)
        await self._generate(exchange, body, priority, last_id)

    def _check_warmth(self, weight: int) -> None:
        state = self.state
        load = state.batch.weight + weight
        state.counters.requests += 1
        state.counters.peak_slots = max(state.counters.peak_slots, load)
        if state.warmth.cold and load > state.warmth.bearable:
            state.counters.cold_excess += 1
        if state.warmth.fails(load):
            state.counters.failed += 1
            raise RequestError(500, "out of memory in cold start")

    async def _generate(
        self, exchange: Exchange, body: CompletionBody, priority: int, last_id: int
    ) -> None:
        completion, hashes, uncached = self._prepare(body, last_id)
        start = min(last_id + 1, body.count)
        sequence = Sequence(
            priority=priority,
            weight=PRIORITY_WEIGHT.get(priority, 1),
            prefill=uncached,
            remaining=body.count - start,
        )
        state = self.state
        if sequence.remaining:
            state.batch.add(sequence)
        state.record_load()
        self._open.add(exchange)
        try:
            if body.stream:
                await self._stream(exchange, body, completion, sequence, last_id)
            else:
                slow = self._pick("slow_tokens", exchange)
                for _ in range(start, body.count):
                    await self._next_token(sequence, slow)
                await exchange.answer(200, completion.whole())
            self._finish(completion, hashes)
        except asyncio.CancelledError:
            state.counters.cancelled += 1
            raise
        finally:
            self._open.discard(exchange)
            state.batch.cancel(sequence)
            state.record_load()

    def _pick(self, kind: str, exchange: Exchange) -> EngineFaultRule | None:
        return self.faults.pick(kind, self.request_facts(exchange.request))

    async def _next_token(
        self, sequence: Sequence, slow: EngineFaultRule | None
    ) -> None:
        await sequence.ready.get()
        if slow:
            await self.clock.sleep(slow.seconds)

    def _prepare(
        self, body: CompletionBody, last_id: int
    ) -> tuple[Completion, list[str], int]:
        state = self.state
        prompt = prompt_tokens(body.messages)
        tokens = output_tokens(body.model, state.version, prompt, body.count)
        # Words are compared without the space before them, as in a later prompt.
        words = [token.strip() for token in tokens]
        resumed = prompt + words[: last_id + 1]
        cached_blocks = state.cache.count_cached(self._hash(resumed))
        cached = min(cached_blocks * self.options.block_tokens, len(resumed) - 1)
        state.counters.prompt_tokens += len(resumed)
        state.counters.cached_tokens += cached
        state.counters.resumed += last_id >= 0
        self._answers += 1
        completion = Completion(
            answer_id=f"chatcmpl-{state.boot_id}-{self._answers}",
            created=int(self.clock.now().timestamp()),
            model=body.model,
            version=state.version,
            prompt_count=len(prompt),
            cached_count=min(cached, len(prompt) - 1),
            tokens=tokens,
        )
        return completion, self._hash(prompt + words), len(resumed) - cached

    def _finish(self, completion: Completion, hashes: list[str]) -> None:
        state = self.state
        state.counters.whole += 1
        version = completion.version
        counts = state.counters.by_version
        counts[version] = counts.get(version, 0) + 1
        if version == state.version:
            state.cache.store(hashes)

    async def _stream(
        self,
        exchange: Exchange,
        body: CompletionBody,
        completion: Completion,
        sequence: Sequence,
        last_id: int,
    ) -> None:
        stall = self._pick("stall_stream", exchange)
        cut = self._pick("break_stream", exchange)
        slow = self._pick("slow_tokens", exchange)
        await exchange.start_events()
        start = last_id + 1
        for index in range(start, body.count):
            if cut and index - start >= cut.tokens:
                exchange.abort()
                raise RequestError(500, "stream broken by a fault rule")
            if stall and index - start == stall.tokens:
                await self.clock.sleep(stall.seconds)
            await self._next_token(sequence, slow)
            await exchange.send(completion.token_event(index))
        if last_id < body.count:
            await exchange.send(completion.finish_event())
        if body.include_usage and last_id < body.count + 1:
            await exchange.send(completion.usage_event())
        await exchange.send(DONE_EVENT)
        await exchange.end()
