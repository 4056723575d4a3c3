"""Run all tests by nose2 and print the count in one closing line."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


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


def main() -> int:
    """Run the tests, print known failures and the closing line."""
    # The script's own folder would let tests/platform hide the standard module.
    sys.path[0] = str(ROOT)
    ran, failed = run_tests(sys.argv[1:])
    known = read_known_red()
    for test_id in sorted(known & failed):
        print(f"known red: {test_id}")
    for test_id in sorted((known & ran) - failed):
        print(f"known red, but passed: {test_id}")
    new_failures = failed - known
    print(f"{len(ran - failed)} passed, {len(new_failures)} failed")
    return 1 if new_failures or not ran else 0


if __name__ == "__main__":
    sys.exit(main())
