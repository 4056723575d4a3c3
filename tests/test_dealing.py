"""Tests of the run of test modules in processes."""

import contextlib
import io
import os
import subprocess
import sys
import tempfile
import textwrap
import time
import unittest
from pathlib import Path
from unittest import mock

from tests import dealing, run

RUN = str(run.ROOT / "tests" / "run.py")
LIMIT_SECONDS = 30.0

PASSING = """
import unittest

class A(unittest.TestCase):
    def test_a(self):
        pass
"""
SUBTESTS = """
import unittest

class S(unittest.TestCase):
    def test_s(self):
        for number in range(3):
            with self.subTest(number=number):
                self.assertEqual(number, 1, "a distinct reason")

    def test_t(self):
        pass
"""
IMPORT_ERROR = "import a_module_that_does_not_exist\n"
DYING = """
import os, unittest

class D(unittest.TestCase):
    def test_c(self):
        pass

    def test_d(self):
        print("last words", flush=True)
        os._exit(0)
"""
DYING_AT_EXIT = """
import atexit, os, unittest

class E(unittest.TestCase):
    def test_e(self):
        atexit.register(os._exit, 3)
"""
HANGING = """
import subprocess, sys, time, unittest
from pathlib import Path

class H(unittest.TestCase):
    def test_h(self):
        code = "import time; time.sleep(60)"
        child = subprocess.Popen([sys.executable, "-c", code])
        Path(__file__).with_name("child").write_text(str(child.pid))
        time.sleep(60)
"""


class DealingCase(unittest.TestCase):
    """Test case with test modules in a folder of their own."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        patch = mock.patch.dict(os.environ, PYTHONPATH=folder.name)
        patch.start()
        self.addCleanup(patch.stop)

    def write_modules(self, **texts: str) -> None:
        """Write test modules."""
        for name, text in texts.items():
            path = self.folder / f"{name}.py"
            path.write_text(textwrap.dedent(text), encoding="utf-8")

    def deal(
        self, *names: str, seconds: float = LIMIT_SECONDS
    ) -> tuple[set[str], set[str], str]:
        """Run modules; return the ids that ran and failed, and the output."""
        command = [sys.executable, RUN, run.REPORT_OPTION]
        dealer = dealing.Dealer(command, 2, seconds)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            ran, failed = dealer.run(names)
        return ran, failed, output.getvalue()


class VerdictTest(DealingCase):
    """Guard against failures that are lost between the processes."""

    def test_outcomes_of_all_modules_are_merged(self):
        self.write_modules(passing=PASSING, subtests=SUBTESTS)
        ran, failed, output = self.deal("passing", "subtests")
        self.assertEqual(
            ran, {"passing.A.test_a", "subtests.S.test_s", "subtests.S.test_t"}
        )
        self.assertEqual(failed, {"subtests.S.test_s"})
        self.assertIn("a distinct reason", output)
        self.assertIn("passed passing: 1 tests", output)

    def test_error_at_import_counts_as_failed(self):
        self.write_modules(passing=PASSING, broken=IMPORT_ERROR)
        ran, failed, output = self.deal("passing", "broken")
        self.assertEqual(len(failed), 1)
        self.assertEqual(ran, {"passing.A.test_a", *failed})
        self.assertIn("a_module_that_does_not_exist", output)

    def test_module_that_does_not_exist_counts_as_failed(self):
        _, failed, _ = self.deal("no_such_module")
        self.assertEqual(len(failed), 1)

    # Guards against a process that ends in a test, also with status 0.
    def test_process_that_dies_counts_as_failed(self):
        self.write_modules(passing=PASSING, dying=DYING)
        ran, failed, output = self.deal("passing", "dying")
        self.assertEqual(failed, {"dying"})
        self.assertIn("passing.A.test_a", ran)
        self.assertIn("last words", output)

    def test_process_that_dies_after_its_report_counts_as_failed(self):
        self.write_modules(late=DYING_AT_EXIT)
        ran, failed, _ = self.deal("late")
        self.assertEqual((ran, failed), ({"late.E.test_e", "late"}, {"late"}))

    def test_hanging_module_counts_as_failed_and_is_ended(self):
        self.write_modules(passing=PASSING, hanging=HANGING)
        began = time.monotonic()
        ran, failed, output = self.deal("passing", "hanging", seconds=3.0)
        self.assertLess(time.monotonic() - began, LIMIT_SECONDS)
        self.assertEqual(failed, {"hanging"})
        self.assertIn("passing.A.test_a", ran)
        self.assertIn("did not end within 3 s", output)
        child = int((self.folder / "child").read_text())
        end = time.monotonic() + LIMIT_SECONDS
        while _is_running(child) and time.monotonic() < end:
            time.sleep(0.01)
        self.assertFalse(_is_running(child))


class UnitTest(unittest.TestCase):
    """Guard against modules that no process runs, or that run beside others."""

    def test_all_modules_are_listed_once(self):
        found = dealing.list_units(run.ROOT, [])
        paths = (run.ROOT / "tests").rglob("test_*.py")
        self.assertEqual(len(found), len(list(paths)))
        self.assertEqual(len(set(found)), len(found))

    def test_packages_are_expanded_and_other_names_are_kept(self):
        names = ["tests.routing", "tests.routing.test_table", "tests.test_x.Y.test_z"]
        found = dealing.list_units(run.ROOT, names)
        self.assertEqual(found, ["tests.routing.test_table", "tests.test_x.Y.test_z"])

    def test_serial_names_cover_their_modules_only(self):
        self.assertTrue(dealing.is_serial("tests.gateway.test_server"))
        self.assertTrue(dealing.is_serial("tests.gateway"))
        self.assertFalse(dealing.is_serial("tests.gateways.test_server"))

    def test_serial_names_exist(self):
        for name in dealing.SERIAL:
            path = run.ROOT.joinpath(*name.split("."))
            self.assertTrue(path.is_dir() or path.with_suffix(".py").is_file(), name)


class ClosingLineTest(DealingCase):
    """Guard against a closing line or an exit status that differs from the outcome."""

    def test_known_failures_are_printed_and_pass(self):
        lines, status = run.summarise({"a", "b", "c"}, {"a"}, {"a", "b", "z"})
        self.assertEqual(lines[0], "known red: a")
        self.assertEqual(lines[1], "known red, but passed: b")
        self.assertEqual((lines[2:], status), (["2 passed, 0 failed"], 0))

    def test_new_failure_or_no_test_fails(self):
        self.assertEqual(
            run.summarise({"a"}, {"a"}, set()), (["0 passed, 1 failed"], 1)
        )
        self.assertEqual(run.summarise(set(), set(), set())[1], 1)

    def test_run_prints_the_line_last_and_ends_with_the_status(self):
        self.write_modules(passing=PASSING, subtests=SUBTESTS, dying=DYING)
        for names, line, status in (
            (["passing", "subtests"], "2 passed, 1 failed", 1),
            (["passing", "dying"], "1 passed, 1 failed", 1),
            (["passing", "passing.A"], "1 passed, 0 failed", 0),
        ):
            for processes in ("1", "2"):
                if processes == "1" and "dying" in names:
                    continue
                with self.subTest(names=names, processes=processes):
                    found = subprocess.run(
                        [sys.executable, RUN, run.PROCESSES_OPTION, processes, *names],
                        capture_output=True,
                        text=True,
                        check=False,
                        timeout=LIMIT_SECONDS,
                    )
                    self.assertEqual(found.stdout.splitlines()[-1], line)
                    self.assertEqual(found.returncode, status)


def _is_running(pid: int) -> bool:
    """Return whether a process exists and is no zombie."""
    try:
        status = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except FileNotFoundError:
        return False
    return status.rpartition(")")[2].split()[0] != "Z"


if __name__ == "__main__":
    unittest.main()
