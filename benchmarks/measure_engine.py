"""Engine stand-in that only paces tokens, to cost less than what is measured.

Each event carries its time of sending on the machine's monotonic clock, so that
the receiver can tell how long it was under way. Run as
``python -m benchmarks.measure_engine --listen IP:PORT --gap-ms N``.
"""

import argparse
import asyncio
import json
import time
from typing import Any

import h11

__all__ = ["SENT_MARK", "format_event"]

SENT_MARK = b'"sent_ns":'
_DONE_EVENT = b"data: [DONE]\n\n"
_BOOT_ID = "measure-1"


def format_event(index: int, sent_ns: int) -> bytes:
    """Return one token event in the form of the usual completion streams."""
    return (
        b'id: %d\ndata: {"id":"chatcmpl-1","object":"chat.completion.chunk",'
        b'"created":1767225600,"model":"quotes","system_fingerprint":"v1",'
        b'"choices":[{"index":0,"delta":{"content":" panel42"},"finish_reason":null}],'
        b"%s%d}\n\n" % (index, SENT_MARK, sent_ns)
    )


class EngineConnection(asyncio.Protocol):
    """Serve completions and load reports on one connection."""

    running = 0

    def __init__(self, gap_seconds: float) -> None:
        self._gap_seconds = gap_seconds
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(h11.SERVER)
        self._target = b""
        self._body = b""
        self._timer: asyncio.TimerHandle | None = None
        self._index = 0
        self._count = 0
        self._due = 0.0

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the stream."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            EngineConnection.running -= 1

    def data_received(self, data: bytes) -> None:
        """Parse the request."""
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._target, self._body = event.target, b""
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._answer()
                return
            else:
                return

    def _send(self, event: h11.Event) -> None:
        self._transport.write(self._http.send(event))

    def _answer(self) -> None:
        if self._target != b"/v1/chat/completions":
            self._answer_load()
            return
        headers = [("Content-Type", "text/event-stream"), ("X-Boot-Id", _BOOT_ID)]
        self._send(h11.Response(status_code=200, headers=headers))
        self._index = 0
        self._count = json.loads(self._body)["max_tokens"]
        self._due = self._loop.time()
        EngineConnection.running += 1
        self._emit()

    def _answer_load(self) -> None:
        report = {
            "boot_id": _BOOT_ID,
            "ready": True,
            "cold": False,
            "running": EngineConnection.running,
            "waiting": 0,
            "bearable": 100_000,
            "version": "v1",
        }
        data = json.dumps(report).encode()
        headers = [("Content-Length", str(len(data)))]
        self._send(h11.Response(status_code=200, headers=headers))
        self._send(h11.Data(data=data))
        self._finish()

    def _emit(self) -> None:
        self._timer = None
        self._send(h11.Data(data=format_event(self._index, time.monotonic_ns())))
        self._index += 1
        if self._index >= self._count:
            self._send(h11.Data(data=_DONE_EVENT))
            EngineConnection.running -= 1
            self._finish()
            return
        # Due times are absolute, so that a late token does not delay the next ones.
        self._due += self._gap_seconds
        self._timer = self._loop.call_at(self._due, self._emit)

    def _finish(self) -> None:
        self._transport.write(self._http.send(h11.EndOfMessage()))
        if self._http.their_state is h11.DONE:
            self._http.start_next_cycle()


async def serve(listen: str, gap_seconds: float) -> None:
    """Serve until the process is ended."""
    host, _, port = listen.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineConnection(gap_seconds), host, int(port), backlog=1024
    )
    await server.serve_forever()


def main() -> None:
    """Parse the options and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--gap-ms", type=float, required=True)
    options = parser.parse_args()
    asyncio.run(serve(options.listen, options.gap_ms / 1000))


if __name__ == "__main__":
    main()
