"""Start the demonstration."""

import asyncio
import signal
import sys

from demo.deployments import DEPLOYMENT_S, DEPLOYMENT_V
from demo.fleet import FleetError
from demo.run import DemoOptions, run_deployment

# Ending the processes takes up to 8 s more, and the whole run at most 90 s.
_LIMIT_SECONDS = 78.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run_demo(options: DemoOptions) -> list[str]:
    """Run both deployments one after the other and return what failed."""
    failures = []
    limit = asyncio.timeout(_LIMIT_SECONDS)
    try:
        async with limit:
            for deployment in (DEPLOYMENT_V, DEPLOYMENT_S):
                found = await run_deployment(deployment, options)
                failures += [f"{deployment.name}: {text}" for text in found]
    except (FleetError, OSError) as error:
        reason = f"not finished after {_LIMIT_SECONDS:.0f} s"
        failures.append(reason if limit.expired() else _describe(error))
    except ExceptionGroup as group:
        failures += [_describe(error) for error in group.exceptions]
    return failures


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


async def _run_until_signal() -> list[str]:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, task.cancel)
    try:
        return await run_demo(DemoOptions())
    except asyncio.CancelledError:
        return ["stopped by a signal"]


def main() -> int:
    """Run the demonstration and return the exit status."""
    failures = asyncio.run(_run_until_signal())
    for failure in failures:
        print(f"demo: failed: {failure}")
    if not failures:
        print("demo: ok")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
