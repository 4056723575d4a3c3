"""Child processes that end with this process, whatever way it ends."""

import asyncio
import contextlib
import ctypes
import os
import signal
from collections.abc import Mapping, Sequence
from pathlib import Path

__all__ = ["Child", "ChildGroup"]

_PR_SET_PDEATHSIG = 1
_LOG_TAIL_BYTES = 1500
_libc = ctypes.CDLL(None)


class Child:
    """Run one command with its output in a file."""

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, log_path: Path
    ) -> None:
        self.name = name
        self.pid = process.pid
        self._process = process
        self._log_path = log_path
        self.expected_to_end = False

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.returncode is None

    @property
    def status(self) -> int | None:
        """Return the exit status, negative for a signal, or None."""
        return self._process.returncode

    def send(self, number: signal.Signals) -> None:
        """Send a signal; the process is expected to end."""
        self.expected_to_end = True
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        await self._process.wait()

    def read_log_tail(self) -> str:
        """Return the end of the output."""
        return self._log_path.read_bytes()[-_LOG_TAIL_BYTES:].decode(errors="replace")


class ChildGroup:
    """Start children and end all of them."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._children: list[Child] = []

    async def start(
        self, name: str, command: Sequence[str], environment: Mapping[str, str]
    ) -> Child:
        """Start a command."""
        log_path = self._directory / f"{name}.log"
        parent = os.getpid()
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                env=dict(environment),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # A signal from the terminal reaches only the parent, which then
                # ends its children in order.
                start_new_session=True,
                preexec_fn=lambda: _end_with_parent(parent),
            )
        child = Child(name, process, log_path)
        self._children.append(child)
        return child

    def list_failed(self) -> list[Child]:
        """Return the children that ended without being told to."""
        return [
            child
            for child in self._children
            if not child.running and not child.expected_to_end
        ]

    async def stop(self, grace_seconds: float) -> list[Child]:
        """End all children; return those that ignored SIGTERM."""
        for child in self._children:
            child.send(signal.SIGTERM)
        try:
            await self._wait_all(grace_seconds)
        finally:
            stuck = [child for child in self._children if child.running]
            for child in stuck:
                child.send(signal.SIGKILL)
        await self._wait_all(grace_seconds)
        return stuck

    async def _wait_all(self, seconds: float) -> None:
        waits = [asyncio.ensure_future(child.wait()) for child in self._children]
        if waits:
            _, pending = await asyncio.wait(waits, timeout=seconds)
            for wait in pending:
                wait.cancel()


def _end_with_parent(parent: int) -> None:
    """Ask the kernel to kill this new process as soon as its parent ends."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    # The parent may have ended before the call above took effect.
    if os.getppid() != parent:
        os._exit(1)
