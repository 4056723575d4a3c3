"""Run all tests by nose2 and print the count in one closing line.

The modules are dealt to processes, by default one for each core. With options of nose2,
with one process or with one module, the tests run in this process.
"""

import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PROCESSES_OPTION = "--processes"
REPORT_OPTION = "--report"


def read_known_red() -> set[str]:
    """Return the test ids that KNOWN-RED.txt lists, the first word of each entry."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def run_tests(arguments: list[str]) -> tuple[set[str], set[str]]:
    """Run the named tests, or all, and return the ids that ran and that failed."""
    from nose2.main import discover

    from tests import outcomes

    options = ["-c", str(ROOT / "unittest.cfg"), "-s", str(ROOT / "tests")]
    options += ["-t", str(ROOT)]
    discover(
        exit=False,
        argv=["nose2", *options, *arguments],
        plugins=["tests.outcomes"],
    )
    return outcomes.ran | outcomes.failed, outcomes.failed


def write_report(path: Path, arguments: list[str]) -> int:
    """Run tests and write the ids that ran and that failed to a file."""
    ran, failed = run_tests(arguments)
    report = {"ran": sorted(ran), "failed": sorted(failed)}
    path.write_text(json.dumps(report), encoding="utf-8")
    return 0


def deal_tests(names: list[str], processes: int) -> tuple[set[str], set[str]]:
    """Run the named tests, or all, in processes; return as ``run_tests`` does."""
    from tests import dealing

    units = dealing.list_units(ROOT, names)
    if processes == 1 or len(units) == 1:
        return run_tests(names)
    command = [sys.executable, str(ROOT / "tests" / "run.py"), REPORT_OPTION]
    return dealing.Dealer(command, processes).run(units)


def summarise(
    ran: set[str], failed: set[str], known: set[str]
) -> tuple[list[str], int]:
    """Return the lines on known failures and the closing line, and the status."""
    lines = [f"known red: {test_id}" for test_id in sorted(known & failed)]
    passed = sorted((known & ran) - failed)
    lines += [f"known red, but passed: {test_id}" for test_id in passed]
    new_failures = failed - known
    lines.append(f"{len(ran - failed)} passed, {len(new_failures)} failed")
    return lines, 1 if new_failures or not ran else 0


def main(arguments: Sequence[str]) -> int:
    """Run the tests, print known failures and the closing line."""
    # The script's own folder would let tests/platform hide the standard module.
    sys.path[0] = str(ROOT)
    names = list(arguments)
    if names[:1] == [REPORT_OPTION]:
        return write_report(Path(names[1]), names[2:])
    processes = len(os.sched_getaffinity(0))
    if names[:1] == [PROCESSES_OPTION]:
        processes, names = max(1, int(names[1])), names[2:]
    if any(name.startswith("-") for name in names):
        processes = 1
    if processes == 1:
        ran, failed = run_tests(names)
    else:
        ran, failed = deal_tests(names, processes)
    lines, status = summarise(ran, failed, read_known_red())
    print("\n".join(lines))
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
