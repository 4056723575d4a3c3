"""I9 over whole instances and stand-ins: a drain while a fault lasts."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from datetime import UTC, datetime
from unittest import mock

from carobladder.gateway.server import GatewayServer
from standins.client import JsonAnswer, fetch_json
from standins.engine import expected_text
from tests.bookings.test_keys import make_key
from tests.faults.cells import Injection, Row, Run
from tests.instance.cluster import MODEL, TEST_TIMEOUT_SECONDS, LocalFleet

CHATS = 4
TOKENS = 40
TOKEN_SECONDS = 0.03
MESSAGES = [{"role": "user", "content": "which pile suits a stairway"}]
DRAINED = 1


async def _set_rules(address: str, *rules: dict) -> None:
    await fetch_json("POST", address, "/faults", {"rules": list(rules)})


_SLOW = {"kind": "slow_tokens", "seconds": TOKEN_SECONDS}


async def _log_down(fleet: LocalFleet) -> None:
    await _set_rules(fleet.log_address, {"kind": "refuse", "path": "/-/log"})


async def _log_slow(fleet: LocalFleet) -> None:
    rule = {"kind": "slow", "path": "/-/log", "seconds": 0.5}
    await _set_rules(fleet.log_address, rule)


async def _engine_dies(fleet: LocalFleet) -> None:
    """Break all answers of an engine; their streams resume on another one."""
    body = {"rules": [_SLOW], "restart": True}
    await fetch_json("POST", fleet.engine_addresses[0], "/faults", body)


async def _engine_leaves(fleet: LocalFleet) -> None:
    spec = {
        "pool": MODEL,
        "data_centre": "dc-1",
        "address": fleet.engine_addresses[0],
        "version": "v1",
        "leaving": True,
    }
    await fleet.put("target", "engine-0", spec)


async def _answer_late(fleet: LocalFleet) -> None:
    slower = {"kind": "slow_tokens", "seconds": 3 * TOKEN_SECONDS}
    await _set_rules(fleet.engine_addresses[0], slower)


async def _surge(fleet: LocalFleet) -> None:
    for _ in range(10):
        call = fleet.call(0, "POST", "/v1/chat/completions", _chat_body(4))
        fleet.surge.append(asyncio.create_task(call))


async def _list_disagrees(fleet: LocalFleet) -> None:
    path = "/v1/instances/entry-1"
    await fetch_json("DELETE", fleet.list_address, path)


async def _target_cold(fleet: LocalFleet) -> None:
    body = {"rules": [_SLOW], "cool": True}
    await fetch_json("POST", fleet.engine_addresses[0], "/faults", body)


_ACTIONS: dict[str, Callable[[LocalFleet], Awaitable[None]]] = {
    "engine-leaves": _engine_leaves,
    "engine-dies": _engine_dies,
    "list-disagrees": _list_disagrees,
    "team-surge": _surge,
    "target-cold": _target_cold,
    "log-down": _log_down,
    "log-slow": _log_slow,
    "answer-late": _answer_late,
}


def _chat_body(tokens: int) -> dict:
    return {
        "model": MODEL,
        "messages": MESSAGES,
        "max_tokens": tokens,
        "stream": False,
    }


async def _chat(fleet: LocalFleet) -> str:
    """Return what is wrong with a chat that was accepted before the drain."""
    body = _chat_body(TOKENS)
    answer = await fleet.call(DRAINED, "POST", "/v1/chat/completions", body)
    if answer.status != 200:
        return f"chat answered {answer.status}: {answer.body}"
    text = answer.body["choices"][0]["message"]["content"]
    wanted = expected_text(MODEL, "v1", MESSAGES, TOKENS)
    return "" if text == wanted else "chat answered another text"


async def _book(fleet: LocalFleet, number: int) -> str:
    """Return what is wrong with a booking that was accepted before the drain."""
    key = make_key(datetime.now(UTC), number)
    body = {"item": f"remnant-{number}"}
    answer: JsonAnswer = await fleet.call(
        DRAINED, "POST", "/reservations", body, Idempotency_Key=key
    )
    return "" if answer.status == 201 else f"booking answered {answer.status}"


async def _guard(work: Awaitable[str]) -> str:
    try:
        return await work
    except (OSError, EOFError, asyncio.IncompleteReadError) as error:
        return f"request cut: {type(error).__name__}"


async def _run(placed: Sequence[Injection], seed: int, result: Run) -> None:
    async with LocalFleet() as fleet:
        fleet.surge = []
        for address in fleet.engine_addresses:
            await _set_rules(address, _SLOW)
        answer_rule = {"kind": "slow_answer", "seconds": 1.0}
        await _set_rules(fleet.service_address, answer_rule)
        calls = [asyncio.create_task(_guard(_chat(fleet))) for _ in range(CHATS)]
        calls.append(asyncio.create_task(_guard(_book(fleet, seed))))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not (fleet.service.effects and _count_running(fleet) >= CHATS):
                await asyncio.sleep(0.01)
        fleet.stop(DRAINED)
        for item in placed:
            await _ACTIONS[item.fault](fleet)
            result.injected += 1
            await asyncio.sleep(0.05 * seed)
        wrong = [text for text in await asyncio.gather(*calls) if text]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            # The status tells more: in an outage of the log it is 1, because the
            # outcome of a booking that was answered could not be recorded.
            await fleet.runs[DRAINED]
        await asyncio.gather(*fleet.surge, return_exceptions=True)
    result.violation = "; ".join(wrong)


def _count_running(fleet: LocalFleet) -> int:
    """Return the connections of the instance that have a request."""
    book = fleet.instances[DRAINED]._fleet.coordinator.book
    return sum(entry.requests for entry in book._entries.values())


def run(placed: Sequence[Injection], seed: int) -> Run:
    """Drain an instance with requests in flight and judge their answers."""
    result = Run()
    asyncio.run(_run(placed, seed, result))
    return result


@contextmanager
def drain_without_wait() -> Iterator[None]:
    """Cut the requests in flight at the end of the notice."""

    async def finish(self, limit_seconds):
        for connection in list(self._state.connections):
            connection.abort()
        return True

    with mock.patch.object(GatewayServer, "finish_drain", finish):
        yield


ROW = Row(
    "I9",
    dict.fromkeys(_ACTIONS, ("drain",)),
    run,
    {"drain without waiting": drain_without_wait},
    seeds=(1,),
    variant_seeds=(1,),
)
