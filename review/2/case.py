"""Clients leave; servers work on, and get more work, if the request was long."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from bed import (  # noqa: E402
    Answer,
    Bed,
    Handler,
    Run,
    Server,
    build_route,
    build_state,
    format_answer,
    has_trouble,
    play,
)

CONTACT_SECONDS = 3.0
# Time to the first event, and between events.
FIRST_SECONDS = 2.0
GAP_SECONDS = 0.05
EVENTS = 20
# One answer in seven is the server's own 500, as the site has it for stock-look.
FAILING = 7
LEAVE_SECONDS = 0.4
# The longest body of quote-draft in the site file has 72,000 bytes.
LONG_SIZES = (66_000, 69_000, 72_000)
SHORT_SIZES = (600, 6_000, 12_000)
ROUNDS = 9
CLIENTS = 10
# 3 in 10 clients leave, as many as on the days of the site.
LEAVING = 3
BOUND_SECONDS = 0.5
FEW = 3
QUARTER = 0.25
LIMIT_MS = 12000
# Public routes, so that no request has a key of any kind.
STREAM = {
    "timeoutMs": LIMIT_MS,
    "targetLatencyMs": 800,
    "targetGapMs": 300,
    "public": True,
}
ROUTES = [
    build_route("draft", "streaming", "engine", **STREAM),
    build_route("chat", "streaming", "engine", attempts=2, resumable=True, **STREAM),
]


async def case(bed: Bed) -> bool:
    """Return whether servers stop work on what clients have left."""
    for _ in range(3):
        await bed.add_server("engine", build_handler())
    tenants = [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"]}]
    bed.store.put_operator("config", build_state(4, ROUTES, tenants))
    instances = [bed.add_instance(f"front-{number}") for number in range(1, 4)]
    for instance in instances:
        await bed.start_instance(instance)
    for instance in instances:
        await bed.wait_ready(instance)
    await asyncio.sleep(CONTACT_SECONDS + 0.5)
    left: dict[tuple[int, ...], list[Answer]] = {SHORT_SIZES: [], LONG_SIZES: []}
    for sizes, answers in left.items():
        bed.record.write(f"requests with bodies of {sizes} bytes")
        rounds = [
            send_round(bed, number, b"x" * sizes[number % len(sizes)], answers)
            for number in range(ROUNDS)
        ]
        await asyncio.gather(*rounds)
        await asyncio.sleep(FIRST_SECONDS + 1.0)
    return all([judge(bed, sizes, answers) for sizes, answers in left.items()])


def build_handler() -> Handler:
    """Return a handler that streams events; some answers are failures."""
    count = 0

    async def handle(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
        nonlocal count
        count += 1
        is_failing = count % FAILING == 0
        await asyncio.sleep(FIRST_SECONDS)
        if is_failing:
            writer.write(format_answer(500, server.sign(run), b"failed"))
        else:
            await stream(server, run, writer)
        await writer.drain()

    return handle


async def stream(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
    """Send the events of a stream in chunks."""
    fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    lines = ["HTTP/1.1 200 X"]
    lines += [
        f"{name}: {value}" for name, value in {**server.sign(run), **fields}.items()
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    for number in range(EVENTS):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(GAP_SECONDS)
    writer.write(b"0\r\n\r\n")


async def send_round(bed: Bed, number: int, body: bytes, left: list[Answer]) -> None:
    """Send requests of which some clients leave; wait until the others have ended."""
    await asyncio.sleep(0.5 * number)
    instance = bed.instances[number % len(bed.instances)]
    path = ("/draft/1", "/chat/1")[number % 2]
    leaving = LEAVING if has_trouble() else 0
    leaves = [LEAVE_SECONDS] * leaving + [None] * (CLIENTS - leaving)
    answers = await asyncio.gather(
        *(
            bed.send(
                instance,
                path,
                method="POST",
                body=body,
                deadline_ms=LIMIT_MS,
                leave_after=leave,
            )
            for leave in leaves
        )
    )
    left += answers[:leaving]


def judge(bed: Bed, sizes: tuple[int, ...], left: list[Answer]) -> bool:
    """Return whether the rule held for the clients that left."""
    if not left:
        return True
    left_at = {answer.request_id: answer.left for answer in left}
    runs = [run for run in bed.list_runs() if run.request_id in left_at]
    working = {run.request_id for run in runs if is_working(run, left_at)}
    reached = [
        run for run in runs if run.began > left_at[run.request_id] + BOUND_SECONDS
    ]
    bed.record.write(
        f"bodies of {sizes} bytes: {len(left)} clients left; servers worked on "
        f"{len(working)} of their requests over 0.5 s later; {len(reached)} reached a "
        "server over 0.5 s later"
    )
    return len(reached) <= FEW and len(working) <= QUARTER * len(left)


def is_working(run: Run, left_at: dict[str, float]) -> bool:
    """Return whether the server still works half a second after the client left."""
    end = run.left if run.left is not None else run.ended
    return end is None or end > left_at[run.request_id] + BOUND_SECONDS


play(HERE, case)
