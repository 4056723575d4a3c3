"""Options of the model engine."""

from dataclasses import dataclass
from typing import Annotated

import cappa

__all__ = ["EngineOptions"]


@cappa.command(name="standins.engine")
@dataclass(frozen=True)
class EngineOptions:
    """Serve a model as a continuously batching engine."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP:PORT.")] = "127.0.0.1:0"
    model: Annotated[str, cappa.Arg(long=True, help="Model name.")] = "quotes"
    version: Annotated[str, cappa.Arg(long=True, help="First version.")] = "1"
    known_versions: Annotated[
        str, cappa.Arg(long=True, help="Versions in the weight store, by comma.")
    ] = "1,2,3"
    role: Annotated[str, cappa.Arg(long=True, help="First role.")] = "general"
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of random events.")] = 1
    speed: Annotated[
        float, cappa.Arg(long=True, help="Divides all times of the engine's work.")
    ] = 1.0
    slots: Annotated[
        int, cappa.Arg(long=True, help="Weighted requests that run at once.")
    ] = 32
    cold_slots: Annotated[
        int, cappa.Arg(long=True, help="Slots that a cold engine can bear.")
    ] = 4
    warm_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens of work until warm; 0 starts warm.")
    ] = 2000
    cold_error_share: Annotated[
        float, cappa.Arg(long=True, help="Errors among excess requests when cold.")
    ] = 0.5
    cold_slow_factor: Annotated[
        float, cappa.Arg(long=True, help="Step time factor under excess when cold.")
    ] = 20.0
    step_ms: Annotated[
        float, cappa.Arg(long=True, help="Time of a step with an empty batch.")
    ] = 10.0
    step_ms_per_request: Annotated[
        float, cappa.Arg(long=True, help="Step time added by a running request.")
    ] = 0.3
    prefill_ms_per_token: Annotated[
        float, cappa.Arg(long=True, help="Step time added by an uncached token.")
    ] = 0.05
    prefill_tokens_per_step: Annotated[
        int, cappa.Arg(long=True, help="Most uncached tokens of one step.")
    ] = 512
    block_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens of a cache block.")
    ] = 16
    cache_blocks: Annotated[
        int, cappa.Arg(long=True, help="Blocks that the prefix cache holds.")
    ] = 4096
    load_lag_seconds: Annotated[
        float, cappa.Arg(long=True, help="Age of a load report.")
    ] = 0.1
    event_lag_seconds: Annotated[
        float, cappa.Arg(long=True, help="Time until a cache event is published.")
    ] = 0.5
    event_gap_share: Annotated[
        float, cappa.Arg(long=True, help="Share of cache events that are lost.")
    ] = 0.02
    weights_bytes: Annotated[
        int, cappa.Arg(long=True, help="Size of a version's weights.")
    ] = 1_000_000_000
    weight_bytes_per_second: Annotated[
        int, cappa.Arg(long=True, help="Rate limit of the weight store.")
    ] = 500_000_000
    kv_ms_per_block: Annotated[
        float, cappa.Arg(long=True, help="Time to move one cache block.")
    ] = 0.2
    checks_fencing: Annotated[
        bool,
        cappa.Arg(
            long="--checks-fencing/--no-checks-fencing",
            help="Reject orders with an old fencing number.",
        ),
    ] = True
