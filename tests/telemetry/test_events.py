"""Tests of events, their limits and their output."""

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

LEFT = CallerLeft("r1", "route", 0.5)
REFUSED = RequestRefused("r1", "/a/", 503, "no_target", "none", 0.1, 0.3, 1, 0.2)


class EventTest(unittest.TestCase):
    """Guard against events that cannot be logged or that have no explanation."""

    def test_names_and_fields(self):
        self.assertEqual(CallerLeft.name(), "caller_left")
        self.assertEqual(
            LEFT.to_fields(), {"request_id": "r1", "route": "route", "seconds": 0.5}
        )

    def test_every_event_is_documented_and_avoids_reserved_names(self):
        reserved = set(vars(logging.makeLogRecord({}))) | {"message", "time", "event"}
        for event in list_events():
            with self.subTest(event=event.name()):
                self.assertTrue(event.__doc__)
                self.assertFalse(reserved & set(event.__dataclass_fields__))

    def test_causes_are_never_left_out(self):
        names = {event.name() for event in list_events() if not event.limited}
        self.assertLessEqual(
            {"request_refused", "stream_broken", "attempt_failed", "store_lost"}, names
        )


class LimiterTest(unittest.TestCase):
    """Guard against logs that grow with the load."""

    def test_limited_events_stay_within_the_rate(self):
        limiter = EventLimiter(per_second=10.0, burst=20.0)
        admitted = sum(limiter.admit(LEFT, i / 1000) for i in range(5000))
        self.assertLessEqual(admitted, 20 + 50)
        self.assertEqual(limiter.take_left_out(), {"caller_left": 5000 - admitted})
        self.assertEqual(limiter.take_left_out(), {})

    def test_others_pass(self):
        limiter = EventLimiter(per_second=1.0, burst=1.0)
        self.assertTrue(all(limiter.admit(REFUSED, 0.0) for _ in range(100)))


class OutputTest(unittest.TestCase):
    """Guard against an output that stops the instance or loses the end."""

    def tearDown(self):
        logging.getLogger("carobladder").handlers[:] = []

    def test_lines_are_json_with_the_instance(self):
        output = io.StringIO()
        with (
            mock.patch.object(sys, "stdout", output),
            configure_json_logging("info", "front-1", 1),
        ):
            emit(TargetSeen("i-1", "s", "1.2.3.4:5", "dc", "v1", False, 0.0))
        document = json.loads(output.getvalue())
        self.assertEqual(document["event"], "target_seen")
        self.assertEqual((document["instance"], document["target"]), ("front-1", "i-1"))

    def test_reader_that_stops_does_not_stop_the_instance(self):
        """The pipe holds 64 KiB and nobody reads it while events are written."""
        read_end, write_end = os.pipe()
        output = os.fdopen(write_end, "w")
        slowest = 0.0
        with mock.patch.object(sys, "stdout", output):
            context = configure_json_logging("info", "front-1", 1)
            context.__enter__()
            for _ in range(5000):
                started = time.perf_counter()
                emit(REFUSED)
                slowest = max(slowest, time.perf_counter() - started)
            drained = threading.Thread(target=self.drain, args=(read_end,))
            drained.start()
            time.sleep(0.3)
            emit(REFUSED)
            context.__exit__(None, None, None)
        output.close()
        drained.join(10.0)
        self.assertLess(slowest, 1.0)
        self.assertGreater(self.lines_left_out, 0)

    def test_end_does_not_wait_for_a_reader_that_stopped(self):
        """The process ends without a flush, which would wait for the reader."""
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

    def drain(self, read_end: int) -> None:
        """Read all lines and sum up what they say was left out."""
        self.lines_left_out = 0
        with os.fdopen(read_end) as lines:
            for line in lines:
                document = json.loads(line)
                if document["event"] == "lines_left_out":
                    self.lines_left_out += document["count"]
