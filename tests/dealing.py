"""Test modules dealt to processes, each module to a process of its own."""

import json
import os
import signal
import subprocess
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor, as_completed
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

__all__ = ["SERIAL", "Dealer", "Result", "is_serial", "list_units"]

# A module that runs longer counts as failed, so that a hanging one ends.
_MODULE_SECONDS = 900.0
# Modules and packages that run one after the other once all others are done: they
# compare real time with bounds, which a machine with all cores busy does not keep.
SERIAL = (
    "tests.benchmarks",
    "tests.clients",
    "tests.demo",
    "tests.entry.test_answer_memory",
    "tests.entry.test_drains",
    "tests.entry.test_duties",
    "tests.entry.test_early_signals",
    "tests.entry.test_earlylistener",
    "tests.entry.test_endless_bytes",
    "tests.entry.test_listening",
    "tests.entry.test_request_memory",
    "tests.entry.test_runtime",
    "tests.entry.test_signals",
    "tests.entry.test_slow_starts",
    "tests.entry.test_unread_streams",
    "tests.forwarding",
    "tests.gateway",
    "tests.instance",
    "tests.soak",
    "tests.topics.test_hedging",
)
# The modules that take longest start first, so that no process waits for one of them.
LONGEST = ("tests.peers.test_coordination", "tests.limits.test_admission")


@dataclass(frozen=True, slots=True)
class Result:
    """Ids of the tests of a unit that ran and that failed, and what they printed."""

    unit: str
    ran: frozenset[str]
    failed: frozenset[str]
    seconds: float
    output: str


def list_units(root: Path, names: Sequence[str]) -> list[str]:
    """Return the modules of the named packages, and other names as they are."""
    units: dict[str, None] = {}
    for name in names or ("tests",):
        folder = root.joinpath(*name.split("."))
        if not folder.is_dir():
            units[name] = None
            continue
        for path in sorted(folder.rglob("test_*.py")):
            units[".".join(path.relative_to(root).with_suffix("").parts)] = None
    return list(units)


def is_serial(unit: str) -> bool:
    """Return whether a unit must not run beside others."""
    return any(unit == name or unit.startswith(f"{name}.") for name in SERIAL)


class Dealer:
    """Runner of units in processes.

    ``command`` is followed by the path of a report and the name of the unit. A unit
    whose process writes no report, ends with an error or lasts longer than
    ``limit_seconds`` counts as a failed test of its name.
    """

    def __init__(
        self,
        command: Sequence[str],
        processes: int,
        limit_seconds: float = _MODULE_SECONDS,
    ) -> None:
        self._command = command
        self._processes = processes
        self._limit_seconds = limit_seconds
        self._running: set[subprocess.Popen[bytes]] = set()
        self._is_ending = threading.Event()

    def run(self, units: Sequence[str]) -> tuple[set[str], set[str]]:
        """Run the units, print the results, return the ids that ran and failed."""
        ran: set[str] = set()
        failed: set[str] = set()
        beside = [unit for unit in units if not is_serial(unit)]
        beside.sort(key=lambda unit: unit not in LONGEST)
        alone = [unit for unit in units if is_serial(unit)]
        with self._ending_processes():
            for batch, processes in ((beside, self._processes), (alone, 1)):
                for result in self._run_batch(batch, processes):
                    _print_result(result)
                    ran |= result.ran
                    failed |= result.failed
        return ran | failed, failed

    def _run_batch(self, units: Sequence[str], processes: int) -> Iterator[Result]:
        with ThreadPoolExecutor(processes) as executor:
            futures: list[Future[Result]] = [
                executor.submit(self._run_unit, unit) for unit in units
            ]
            try:
                for future in as_completed(futures):
                    yield future.result()
            except BaseException:
                self._end_processes()
                raise

    def _run_unit(self, unit: str) -> Result:
        began = time.monotonic()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            report, output = folder / "report.json", folder / "output.txt"
            reason = self._run_process([*self._command, str(report), unit], output)
            text = output.read_text(encoding="utf-8", errors="replace")
            if not reason and not report.exists():
                reason = "its process ended before its last test"
            ran, failed = _read_report(report)
        if reason:
            text += f"\n{unit}: {reason}\n"
            failed |= {unit}
        return Result(unit, ran, failed, time.monotonic() - began, text)

    def _run_process(self, command: Sequence[str], output: Path) -> str:
        """Run a process to its end; return why it counts as failed, or nothing."""
        with output.open("wb") as file:
            if self._is_ending.is_set():
                return "it was not started"
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
            self._running.add(process)
            try:
                status = process.wait(self._limit_seconds)
            except subprocess.TimeoutExpired:
                return f"its process did not end within {self._limit_seconds:.0f} s"
            finally:
                _end_group(process)
                self._running.discard(process)
        return f"its process ended with status {status}" if status else ""

    @contextmanager
    def _ending_processes(self) -> Iterator[None]:
        """End all processes if the run is interrupted."""
        before = signal.signal(signal.SIGTERM, _interrupt)
        try:
            yield
        finally:
            signal.signal(signal.SIGTERM, before)
            self._end_processes()

    def _end_processes(self) -> None:
        """End all processes and start no others."""
        self._is_ending.set()
        for process in list(self._running):
            _end_group(process)


def _end_group(process: subprocess.Popen[bytes]) -> None:
    """End a process that still runs, with those that it has started."""
    if process.poll() is None:
        with suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _read_report(path: Path) -> tuple[frozenset[str], frozenset[str]]:
    """Return the ids that ran and failed; none if there is no report."""
    if not path.exists():
        return frozenset(), frozenset()
    report = json.loads(path.read_text(encoding="utf-8"))
    return frozenset(report["ran"]), frozenset(report["failed"])


def _print_result(result: Result) -> None:
    """Print one line, and all that the tests have printed if one failed."""
    state = "FAILED" if result.failed else "passed"
    print(f"{state} {result.unit}: {len(result.ran)} tests, {result.seconds:.1f} s")
    if result.failed:
        print(result.output)
    # Seen at once, also if the output goes to a file.
    print(end="", flush=True)
