"""The last tenant is removed: requests with its key, or with any key, go on running."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from bed import (  # noqa: E402
    Bed,
    answer_after,
    build_route,
    build_state,
    has_trouble,
    play,
)

REVOKE_SECONDS = 5.0
MARGIN_SECONDS = 1.0
HELD_KEY = "n2ctnfzs989anu6wsjnb"
FOREIGN_KEY = "a-key-that-no-state-ever-held"
ROUTES = [
    build_route("look", "safe", "app", attempts=2),
    build_route("hold", "unsafe", "app"),
]


async def case(bed: Bed) -> bool:
    """Return whether no request ran without a key that is held."""
    for _ in range(3):
        await bed.add_server("app", answer_after(0.03))
    leaving = {"name": "hule930", "apiKeys": [HELD_KEY]}
    staying = {"name": "mavo112", "apiKeys": ["q7rkk2m4x8w1d0s5v9zt"]}
    # Without the trouble the same tenant leaves, but it is not the last one.
    others = [] if has_trouble() else [staying]
    bed.store.put_operator("config", build_state(4, ROUTES, [leaving, *others]))
    instances = [bed.add_instance(f"front-{number}") for number in range(1, 4)]
    for instance in instances:
        await bed.start_instance(instance)
    for instance in instances:
        await bed.wait_ready(instance)
    for instance in instances:
        await bed.send(instance, "/look/1", key=HELD_KEY)
        await bed.send(instance, "/hold/1", method="POST", key=FOREIGN_KEY, body=b"x")
    bed.store.put_operator("config", build_state(9, ROUTES, others))
    await asyncio.sleep(REVOKE_SECONDS + MARGIN_SECONDS)
    bed.record.write("the time for the revocation, 5 s, is over")
    runs_before = {run.request_id for run in bed.list_runs()}
    for instance in instances:
        for key in (HELD_KEY, FOREIGN_KEY, None):
            await bed.send(instance, "/look/2", key=key)
            await bed.send(instance, "/hold/2", method="POST", key=key, body=b"x")
    late = [run for run in bed.list_runs() if run.request_id not in runs_before]
    bed.record.write(f"{len(late)} of 18 requests without a held key ran")
    return not late


play(HERE, case)
