"""Tests of the sockets that callers connect to."""

import socket
import unittest

from carobladder.gateway.listeners import open_listener


class ListenerTest(unittest.TestCase):
    """Guard against events that the kernel holds back."""

    # Guards against an event that waits until its caller has acknowledged the last one.
    def test_connections_send_small_parts_at_once(self):
        listener = open_listener("127.0.0.1:0")
        self.addCleanup(listener.close)
        caller = socket.create_connection(listener.getsockname())
        self.addCleanup(caller.close)
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        level, option = socket.IPPROTO_TCP, socket.TCP_NODELAY
        self.assertTrue(accepted.getsockopt(level, option))


if __name__ == "__main__":
    unittest.main()
