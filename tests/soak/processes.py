"""Instances as processes, some of whose starts take seconds."""

import asyncio
import os
import random
import signal
import subprocess
import sys
import sysconfig
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Self

from review.bed import open_channel, read_head
from tests.entry.slow_program import LOAD_DELAY_VARIABLE, MARK_VARIABLE, MODULE
from tests.soak.records import GRACE_SECONDS

__all__ = ["Instance", "SlowStart", "accepts", "wait_for_end"]

_ROOT = Path(__file__).resolve().parent.parent.parent
_ADDRESS_KEYS = (
    "listen",
    "readiness_listen",
    "metrics_listen",
    "peer_listen",
)
_SLOW_SHARE = 0.35
_SHORTEST_DELAY_SECONDS = 0.5
_LONGEST_DELAY_SECONDS = 9.0
_RELOAD_SHARE = 0.6
_STOP_SHARE = 0.4
# Signals are drawn until this long after the delay, when the process begins to serve.
_AFTER_DELAY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Delay of a start, and when signals come; times in seconds since its begin."""

    delay_seconds: float
    reload_at: float | None
    stop_at: float | None

    @classmethod
    def draw(cls, seed: str) -> Self | None:
        """Return a slow start, or None for a start without a delay."""
        generator = random.Random(seed)
        if generator.random() >= _SLOW_SHARE:
            return None
        ratio = _LONGEST_DELAY_SECONDS / _SHORTEST_DELAY_SECONDS
        delay = _SHORTEST_DELAY_SECONDS * ratio ** generator.random()
        moments = [
            generator.uniform(0.0, delay + _AFTER_DELAY_SECONDS) for _ in range(2)
        ]
        reloads = generator.random() < _RELOAD_SHARE
        stops = generator.random() < _STOP_SHARE
        return cls(
            delay, moments[0] if reloads else None, moments[1] if stops else None
        )


class Instance:
    """Instance whose process is started, told of new settings and stopped."""

    def __init__(
        self, name: str, ports: list[int], store_address: str, folder: Path
    ) -> None:
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0
        self.stopping = False
        self._addresses = [f"127.0.0.1:{port}" for port in ports]
        self._store_address = store_address
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._mark = folder / f"{name}.loading"
        self._is_reading_signals = False

    @property
    def address(self) -> str:
        """Address for callers."""
        return self._addresses[0]

    @property
    def is_running(self) -> bool:
        """Whether a process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def handles_reload(self) -> bool:
        """Whether the process has set its handler of SIGHUP."""
        return self._is_reading_signals or self._mark.exists()

    def write_settings(self, retry_slack: int) -> None:
        """Replace the settings file."""
        pairs = zip(_ADDRESS_KEYS, self._addresses, strict=True)
        lines = [f'{key} = "{address}"' for key, address in pairs]
        lines += [
            f'instance = "{self.name}"',
            'data_centre = "z-a"',
            f'store_address = "{self._store_address}"',
            "memory_mb = 300",
            "share_partitions = 12",
            "entry_renewal_ms = 1200",
            "key_revocation_ms = 5000",
            "configuration_ms = 2000",
            "drain_notice_ms = 2000",
            f"shutdown_grace_seconds = {GRACE_SECONDS}",
            "retry_ratio = 0.2",
            "load_multiple = 2",
            f"retry_slack = {retry_slack}",
        ]
        draft = self._settings.with_suffix(".draft")
        draft.write_text("\n".join(lines) + "\n", encoding="utf-8")
        # A process that loads may read the file at any moment.
        draft.replace(self._settings)

    def launch(self, slow: SlowStart | None) -> subprocess.Popen[bytes]:
        """Start a process with the command of the deploy file, or a slow one."""
        self.start_count += 1
        self._mark.unlink(missing_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": _find_packages(),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAROBLADDER_SETTINGS": str(self._settings),
        }
        command = _read_command()
        if slow is not None:
            environment[LOAD_DELAY_VARIABLE] = str(slow.delay_seconds)
            environment[MARK_VARIABLE] = str(self._mark)
            command = [sys.executable, "-m", MODULE]
        path = self._folder / f"{self.name}.{self.start_count}.log"
        with path.open("wb") as log:
            self.process = subprocess.Popen(
                command,
                cwd=_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.stopping = False
        self._is_reading_signals = False
        return self.process

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.is_running:
            # Popen would look whether the process has ended, and reap it.
            os.kill(self.process.pid, number)

    async def ask_ready(self) -> bool:
        """Return whether the instance says that it is ready."""
        process = self.process
        try:
            reader, writer = await open_channel(self._addresses[1])
        except OSError:
            return False
        # The address is opened after the handlers are set.
        if self.process is process:
            self._is_reading_signals = True
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head.start


async def wait_for_end(process: subprocess.Popen[bytes]) -> None:
    """Wait until a process has ended, and leave it to be reaped."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    descriptor = os.pidfd_open(process.pid)
    try:
        loop.add_reader(descriptor, ended.set)
        await ended.wait()
    finally:
        loop.remove_reader(descriptor)
        os.close(descriptor)


async def accepts(address: str) -> bool:
    """Return whether a process listens at an address."""
    try:
        _, writer = await open_channel(address)
    except OSError:
        return False
    writer.close()
    return True


def _read_command() -> list[str]:
    """Return the command of the deploy file, for the running interpreter."""
    text = (_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    words = str(tomllib.loads(text)["roles"]["entry"]["run"]).split()
    return [sys.executable if word == "python3" else word for word in words]


def _find_packages() -> str:
    built = _ROOT / "target" / "deps"
    packages = built if built.is_dir() else Path(sysconfig.get_path("purelib"))
    return f"{packages}{os.pathsep}{_ROOT}"
