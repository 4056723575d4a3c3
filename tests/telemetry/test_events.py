"""Tests of log events, their rate limits and their output."""

import io
import json
import logging
import os
import subprocess
import sys
import threading
import time
import unittest
from unittest import mock

from carobladder.telemetry import (
    CallerLeft,
    RequestRefused,
    TargetSeen,
    configure_json_logging,
    emit,
    list_events,
)
from carobladder.telemetry.limits import EventLimiter

LIMITED_EVENT = CallerLeft("r1", "route", 0.5)
UNLIMITED_EVENT = RequestRefused(
    "r1", "/a/", 503, "no_target", "none", 0.1, 0.3, 1, 0.2
)


class EventTest(unittest.TestCase):
    """Guard against events that logging rejects and events without a docstring."""

    def test_event_has_snake_case_name_and_its_fields(self):
        self.assertEqual(CallerLeft.name(), "caller_left")
        self.assertEqual(
            LIMITED_EVENT.to_fields(),
            {"request_id": "r1", "route": "route", "seconds": 0.5},
        )

    def test_events_have_docstrings_and_no_reserved_field_names(self):
        reserved = set(vars(logging.makeLogRecord({}))) | {"message", "time", "event"}
        for event in list_events():
            with self.subTest(event=event.name()):
                self.assertTrue(event.__doc__)
                self.assertFalse(reserved & set(event.__dataclass_fields__))

    def test_events_that_explain_failures_are_not_limited(self):
        names = {event.name() for event in list_events() if not event.limited}
        self.assertLessEqual(
            {"request_refused", "stream_broken", "attempt_failed", "store_lost"}, names
        )


class LimiterTest(unittest.TestCase):
    """Guard against a log volume that grows with the request rate."""

    def test_limited_events_above_the_rate_are_dropped_and_counted(self):
        limiter = EventLimiter(per_second=10.0, burst=20.0)
        admitted = sum(limiter.admit(LIMITED_EVENT, i / 1000) for i in range(5000))
        self.assertLessEqual(admitted, 20 + 50)
        self.assertEqual(
            limiter.take_dropped_counts(), {"caller_left": 5000 - admitted}
        )
        self.assertEqual(limiter.take_dropped_counts(), {})

    def test_unlimited_events_are_always_admitted(self):
        limiter = EventLimiter(per_second=1.0, burst=1.0)
        self.assertTrue(all(limiter.admit(UNLIMITED_EVENT, 0.0) for _ in range(100)))


class OutputTest(unittest.TestCase):
    """Guard against a log reader that blocks the instance, and lost last lines."""

    def tearDown(self):
        logging.getLogger("carobladder").handlers[:] = []

    def test_json_lines_contain_the_instance_id(self):
        output = io.StringIO()
        with (
            mock.patch.object(sys, "stdout", output),
            configure_json_logging("info", "front-1", 1),
        ):
            emit(TargetSeen("i-1", "s", "1.2.3.4:5", "dc", "v1", False, 0.0))
        document = json.loads(output.getvalue())
        self.assertEqual(document["event"], "target_seen")
        self.assertEqual((document["instance"], document["target"]), ("front-1", "i-1"))

    def test_stalled_reader_does_not_block_the_instance(self):
        """Nobody reads the pipe, which buffers 64 KiB, while events are written."""
        read_end, write_end = os.pipe()
        output = os.fdopen(write_end, "w")
        longest_seconds = 0.0
        with mock.patch.object(sys, "stdout", output):
            context = configure_json_logging("info", "front-1", 1)
            context.__enter__()
            for _ in range(5000):
                started = time.perf_counter()
                emit(UNLIMITED_EVENT)
                longest_seconds = max(longest_seconds, time.perf_counter() - started)
            reader = threading.Thread(target=self.read_lines, args=(read_end,))
            reader.start()
            time.sleep(0.3)
            emit(UNLIMITED_EVENT)
            context.__exit__(None, None, None)
        output.close()
        reader.join(10.0)
        self.assertLess(longest_seconds, 1.0)
        self.assertGreater(self.dropped_lines, 0)

    def test_shutdown_does_not_wait_for_a_stalled_reader(self):
        """The process exits without a flush, which would block on the full pipe."""
        script = (
            "import os\n"
            "from carobladder.telemetry import configure_json_logging, emit\n"
            "from carobladder.telemetry import RequestRefused\n"
            "refused = RequestRefused('r', '/', 503, 'c', 'w', 0.1, 0.3, 1, 0.2)\n"
            "with configure_json_logging('info', 'front-1', 1):\n"
            "    for _ in range(5000):\n"
            "        emit(refused)\n"
            "os._exit(0)\n"
        )
        with subprocess.Popen(
            [sys.executable, "-c", script], stdout=subprocess.PIPE
        ) as process:
            try:
                self.assertEqual(process.wait(20.0), 0)
            finally:
                process.kill()

    def read_lines(self, read_end: int) -> None:
        """Read all lines and add up the dropped lines that they report."""
        self.dropped_lines = 0
        with os.fdopen(read_end) as lines:
            for line in lines:
                document = json.loads(line)
                if document["event"] == "lines_left_out":
                    self.dropped_lines += document["count"]
