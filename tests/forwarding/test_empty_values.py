"""Tests of empty lists and zeros in the configuration and in requests."""

import dataclasses
import unittest

from carobladder.routing import Route, RouteKind, RouteTable, ServiceWeight, TeamKeys
from tests.forwarding.fixtures import KEY, Instance, build_route, read_header
from tests.forwarding.test_handler import ForwardingTest, echo


def replace_configuration(instance: Instance, **changes: object) -> None:
    """Put a configuration with these fields replaced into force."""
    configuration = instance.table.configuration
    instance.table = RouteTable(dataclasses.replace(configuration, **changes))


class EmptyTeamsTest(ForwardingTest):
    """Guard against requests that run after the last key was revoked."""

    async def call_with_keys(self, instance: Instance, path: str) -> list[int]:
        """Return the statuses for the known key, an unknown one, "" and none."""
        statuses = []
        for key in (KEY, "unknown", "", None):
            status, _, _ = await instance.call(path, X_Api_Key=key)
            statuses.append(status)
        return statuses

    async def test_no_request_runs_without_teams_but_on_public_routes(self):
        instance = await self.start(echo)
        replace_configuration(instance, teams=())
        for path in ("/safe/x", "/unsafe/x"):
            self.assertEqual(await self.call_with_keys(instance, path), [401] * 4)
        self.assertEqual(self.count_requests(), 0)
        self.assertEqual(await self.call_with_keys(instance, "/open/x"), [200] * 4)

    async def test_any_request_runs_if_the_configuration_has_no_teams(self):
        instance = await self.start(echo)
        replace_configuration(instance, teams=None)
        self.assertEqual(await self.call_with_keys(instance, "/safe/x"), [200] * 4)

    async def test_empty_key_of_a_team_lets_nobody_in(self):
        """A request without a key was taken for one of the team."""
        instance = await self.start(echo)
        replace_configuration(instance, teams=(TeamKeys("t", ("", "held")),))
        self.assertEqual(await self.call_with_keys(instance, "/safe/x"), [401] * 4)
        status, _, _ = await instance.call("/safe/x", X_Api_Key="held")
        self.assertEqual(status, 200)


class ZeroTest(ForwardingTest):
    """Guard against a zero that is taken for a missing value."""

    async def call_route(self, **changes: object) -> tuple[int, int]:
        """Return the status for a route with these fields, and the requests sent."""
        instance = await self.start(echo)
        route: Route = build_route("zero", RouteKind.SAFE, **changes)
        replace_configuration(instance, routes=(route,))
        statuses = {(await instance.call("/zero/x"))[0] for _ in range(4)}
        (status,) = statuses
        return status, self.count_requests()

    async def test_service_with_weight_zero_gets_no_request(self):
        """The first service got all requests if all weights were 0."""
        for weights in ((0.0,), (0.0, 0.0)):
            names = ("stock", "nobody")
            services = tuple(map(ServiceWeight, names, weights))
            with self.subTest(weights=weights):
                found = await self.call_route(services=services)
                self.assertEqual(found, (503, 0))

    async def test_weights_of_one_service_are_added(self):
        """The last entry of a service replaced the ones before."""
        services = (
            ServiceWeight("stock", 1.0),
            ServiceWeight("nobody", 1e-9),
            ServiceWeight("stock", 0.0),
        )
        self.assertEqual(await self.call_route(services=services), (200, 4))

    async def test_route_that_permits_no_attempt_gets_503(self):
        self.assertEqual(await self.call_route(attempts=0), (503, 0))

    async def test_timeout_of_zero_is_not_the_default_timeout(self):
        self.assertEqual(await self.call_route(timeout_seconds=0.0), (503, 0))

    async def test_deadline_of_zero_sends_no_request(self):
        instance = await self.start(echo)
        # The second request would be sent on a connection that is kept.
        self.assertEqual((await instance.call("/safe/x"))[0], 200)
        for deadline in ("0", "0.0", "-5"):
            for path in ("/safe/x", "/unsafe/x"):
                with self.subTest(deadline=deadline, path=path):
                    status, _, _ = await instance.call(
                        path, Carobladder_Deadline=deadline
                    )
                    self.assertEqual(status, 503)
        self.assertEqual(self.count_requests(), 1)

    async def test_priority_zero_of_a_team_precedes_that_of_the_route(self):
        instance = await self.start(echo)
        for priority, sent in ((0, "0"), (None, "4")):
            with self.subTest(priority=priority):
                route = build_route("ranked", RouteKind.SAFE, priority=4)
                team = TeamKeys("t", (KEY,), priority)
                replace_configuration(instance, routes=(route,), teams=(team,))
                await instance.call("/ranked/x")
                request = self.targets[0].requests[-1]
                found = read_header(request, "carobladder-request-priority")
                self.assertEqual(found, sent)


if __name__ == "__main__":
    unittest.main()
