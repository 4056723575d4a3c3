"""Tests of changes of the configuration while all targets are silent."""

import asyncio
from dataclasses import replace

from carobladder.gateway.requests import RequestLimits
from carobladder.routing import Configuration, RouteTable
from tests.forwarding.fixtures import Instance, build_request
from tests.forwarding.late_ends import STREAM_END
from tests.forwarding.silence import SilentScript, allow_long_answers, is_whole
from tests.forwarding.test_handler import ForwardingTest

STREAM_PATHS = ("/stream/x", "/resumable/x")
PATHS = ("/unsafe/x", "/safe/x", *STREAM_PATHS)
SILENCE_SECONDS = 1.5
SHORT_SECONDS = 0.3
EVENT_IN_STREAM = 3


def shorten_timeouts(configuration: Configuration) -> Configuration:
    """Return the configuration with short timeouts of all routes."""
    routes = tuple(
        replace(route, timeout_seconds=SHORT_SECONDS) for route in configuration.routes
    )
    return replace(configuration, version=2, routes=routes)


def remove_routes(configuration: Configuration) -> Configuration:
    """Return the configuration without routes."""
    return replace(configuration, version=2, routes=())


def remove_all(configuration: Configuration) -> Configuration:
    """Return the configuration without routes, services and keys."""
    return replace(configuration, version=2, routes=(), services=(), teams=())


class ChangeInSilenceTest(ForwardingTest):
    """Guard against requests that a change of the configuration cuts."""

    async def call(self, instance: Instance, path: str) -> tuple[bytes, float]:
        """Return the answer on a kept connection and the seconds until its end."""
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        loop = asyncio.get_running_loop()
        before = loop.time()
        writer.write(
            build_request(path, b"a", close=False, Carobladder_Deadline="4000")
        )
        head = await reader.readuntil(b"\r\n\r\n")
        if b"text/event-stream" in head:
            body = await reader.readuntil(STREAM_END)
        else:
            length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
            body = await reader.readexactly(int(length))
        return head + body, loop.time() - before

    async def check_change(self, change, event: int) -> list[bytes]:
        """Return answers to requests after a change that others are under way in."""
        script = SilentScript(SILENCE_SECONDS, event)
        instance = await self.start(script.serve, script.serve)
        allow_long_answers(instance)
        paths = STREAM_PATHS if event else PATHS
        calls = [asyncio.create_task(self.call(instance, path)) for path in paths * 3]
        await asyncio.sleep(0.4)
        assert instance.table is not None
        instance.table = RouteTable(change(instance.table.configuration))
        instance.server.set_limits(RequestLimits(idle_seconds=0.5, read_seconds=0.5))
        later = [await self.call(instance, path) for path in PATHS[:2]]
        for answer, seconds in await asyncio.gather(*calls):
            self.assertTrue(is_whole(answer))
            self.assertGreater(seconds, 1.0)
        return [answer for answer, _ in later]

    # Guards against requests that a shorter timeout cuts after they were accepted.
    async def test_requests_under_way_keep_the_timeout_that_they_began_with(self):
        for event in (0, EVENT_IN_STREAM):
            with self.subTest(event=event):
                for answer in await self.check_change(shorten_timeouts, event):
                    self.assertIn(answer[9:12], (b"504", b"200"))

    # Guards against requests that end with their route or service.
    async def test_requests_under_way_outlast_their_route(self):
        for change in (remove_routes, remove_all):
            for event in (0, EVENT_IN_STREAM):
                with self.subTest(change=change.__name__, event=event):
                    for answer in await self.check_change(change, event):
                        self.assertIn(b" 404 ", answer[:20])
