"""Tests of the listener that is open while the program loads."""

import os
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from carobladder.entry import earlylistener
from carobladder.entry.earlylistener import EarlyListener
from carobladder.settings.entry import SETTINGS_VARIABLE
from tests.forwarding.fixtures import build_request

TIMEOUT_SECONDS = 5.0
# Less than the time for which callers may wait.
SHORT_SECONDS = 0.2
CALLERS = 20


class EarlyListenerTest(unittest.TestCase):
    """Guard against callers that wait for a slow start or meet the end of it."""

    def open(self, text: str | None = 'listen = "127.0.0.1:0"') -> EarlyListener:
        """Return the listener for a settings file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            if text is not None:
                path.write_text(text)
            with mock.patch.dict(os.environ, CAROBLADDER_SETTINGS=str(path)):
                listener = EarlyListener()
        self.addCleanup(listener.end)
        return listener

    def connect(self, listener: EarlyListener, data: bytes = b"") -> socket.socket:
        """Connect to a listener that is open, and send bytes."""
        address = listener._listener.getsockname()
        caller = socket.create_connection(address, timeout=TIMEOUT_SECONDS)
        self.addCleanup(caller.close)
        caller.sendall(data)
        return caller

    def read_to_end(self, caller: socket.socket) -> bytes:
        """Return all bytes until the connection is closed."""
        data = b""
        while part := caller.recv(4096):
            data += part
        return data

    def test_listener_that_is_taken_in_time_keeps_its_callers(self):
        listener = self.open()
        caller = self.connect(listener, build_request("/a/x"))
        taken = listener.take()
        self.addCleanup(taken.close)
        time.sleep(SHORT_SECONDS)
        accepted, _ = taken.accept()
        self.addCleanup(accepted.close)
        self.assertEqual(accepted.getpeername(), caller.getsockname())

    # Guards against callers without an answer or a refusal for as long as a load lasts.
    def test_callers_that_wait_for_too_long_are_refused(self):
        listener = self.open()
        address = listener._listener.getsockname()
        request = build_request("/a/x", b"x" * 30_000)
        callers = [self.connect(listener, request) for _ in range(CALLERS)]
        for caller in callers:
            answer = self.read_to_end(caller)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            self.assertIn(b"Retry-After: ", answer)
        self.assertIsNone(listener.take())
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address, timeout=TIMEOUT_SECONDS)

    # Guards against an answer on a connection with no request waiting.
    def test_caller_that_has_sent_nothing_gets_no_answer(self):
        listener = self.open()
        caller = self.connect(listener)
        listener.end()
        self.assertEqual(self.read_to_end(caller), b"")

    # Guards against callers that are reset as the process ends.
    def test_callers_are_refused_at_the_end(self):
        listener = self.open()
        caller = self.connect(listener, build_request("/a/x"))
        listener.end()
        self.assertTrue(self.read_to_end(caller).startswith(b"HTTP/1.1 503 "))

    # Guards against a close while the request of a new connection is on its way.
    def test_request_that_follows_its_connection_is_refused(self):
        listener = self.open()
        caller = self.connect(listener)
        end = threading.Thread(target=listener.end)
        end.start()
        time.sleep(SHORT_SECONDS / 4)
        caller.sendall(build_request("/a/x"))
        self.assertTrue(self.read_to_end(caller).startswith(b"HTTP/1.1 503 "))
        end.join()

    def test_unusable_settings_open_no_listener(self):
        for text in (None, "not TOML", "listen = 5", 'listen = "nowhere"', "x = 1"):
            with self.subTest(text=text):
                self.assertIsNone(self.open(text).take())

    def test_settings_variable_matches_the_program(self):
        self.assertEqual(earlylistener._SETTINGS_VARIABLE, SETTINGS_VARIABLE)


if __name__ == "__main__":
    unittest.main()
