"""Tests of empty lists and zeros in the configuration and in requests."""

import dataclasses
import unittest

from carobladder.routing import RouteTable, TeamKeys
from tests.forwarding.fixtures import KEY, Instance
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


if __name__ == "__main__":
    unittest.main()
