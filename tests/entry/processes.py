"""Process of the entry program that a test starts, signals and calls early."""

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
from pathlib import Path

__all__ = ["PROCESS_SECONDS", "EntryProcess"]

PROCESS_SECONDS = 30.0
_ROOT = Path(__file__).resolve().parents[2]
_OTHER_ADDRESSES = ("readiness_listen", "metrics_listen", "peer_listen")


class EntryProcess:
    """Process of the entry program, whose port is kept from others until it listens.

    ``module`` is what the interpreter runs.
    """

    def __init__(
        self,
        folder: Path,
        store: str,
        grace_seconds: int,
        module: str = "carobladder.entry",
    ) -> None:
        self._folder = folder
        self._store = store
        self._grace_seconds = grace_seconds
        self._module = module
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind(("127.0.0.1", 0))
        self.port = self._reserved.getsockname()[1]
        self._path = folder / "settings.toml"
        self.write_settings("warning")

    def write_settings(self, log_level: str) -> None:
        """Replace the settings file."""
        values = dict.fromkeys(_OTHER_ADDRESSES, "127.0.0.1:0")
        values["listen"] = f"127.0.0.1:{self.port}"
        values |= {"instance": "front-1", "data_centre": "dc-1"}
        values |= {"store_address": self._store, "log_level": log_level}
        lines = [f'{key} = "{value}"' for key, value in values.items()]
        lines.append(f"shutdown_grace_seconds = {self._grace_seconds}")
        draft = self._folder / "draft.toml"
        draft.write_text("\n".join(lines), encoding="utf-8")
        draft.replace(self._path)

    async def start(self, **variables: str) -> None:
        """Start the process, with further variables of its environment."""
        environment = {
            "PATH": os.environ["PATH"],
            "CAROBLADDER_SETTINGS": str(self._path),
            **variables,
        }
        with (self._folder / "out").open("wb") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                cwd=_ROOT,
                env=environment,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    async def wait(self) -> int:
        """Return the exit status of the process."""
        async with asyncio.timeout(PROCESS_SECONDS):
            return await self.process.wait()

    def read_events(self) -> set[str]:
        """Return the names of the events that the process has logged."""
        lines = (self._folder / "out").read_text(encoding="utf-8").splitlines()
        return {json.loads(line)["event"] for line in lines if line.startswith("{")}

    def read_errors(self) -> str:
        """Return what the process has written besides events."""
        lines = (self._folder / "out").read_text(encoding="utf-8").splitlines()
        return "\n".join(line for line in lines if not line.startswith("{"))

    def kill(self) -> None:
        """End the process if it still runs."""
        self._reserved.close()
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
