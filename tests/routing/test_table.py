"""Tests of the lookup of routes and teams."""

import unittest

from carobladder.routing import (
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    ServiceWeight,
    TeamKeys,
)


def build_route(name: str, prefix: str, host: str = "shop.example") -> Route:
    """Return a route with this host and path prefix."""
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=RouteKind.SAFE,
        services=(ServiceWeight("stock"),),
        timeout_seconds=1.0,
        latency_objective_seconds=0.3,
    )


class RouteTableTest(unittest.TestCase):
    """Guard against requests that get the wrong route or the wrong team."""

    def setUp(self):
        routes = (
            build_route("short", "/a/"),
            build_route("long", "/a/b/"),
            build_route("other", "/a/", host="other.example"),
        )
        teams = (TeamKeys("t", ("k1", "k2"), 1),)
        self.table = RouteTable(Configuration(1, routes, (), teams))

    def find(self, host: str, path: str) -> str | None:
        route = self.table.find_route(host, path)
        return route.name if route else None

    def test_longest_matching_prefix_is_chosen(self):
        self.assertEqual(self.find("shop.example", "/a/x"), "short")
        self.assertEqual(self.find("shop.example", "/a/b/x/y"), "long")
        self.assertEqual(self.find("shop.example", "/a/bc"), "short")

    def test_prefix_matches_only_with_its_final_slash(self):
        self.assertIsNone(self.find("shop.example", "/a"))
        self.assertIsNone(self.find("shop.example", "/ab/"))
        self.assertIsNone(self.find("shop.example", "/"))

    def test_host_is_matched_without_case_and_port(self):
        self.assertEqual(self.find("Other.Example:8080", "/a/x"), "other")
        self.assertIsNone(self.find("unknown.example", "/a/x"))
        self.assertIsNone(self.find("", "/a/x"))

    def test_root_prefix_matches_any_path(self):
        table = RouteTable(Configuration(1, (build_route("root", "/"),), ()))
        found = table.find_route("shop.example", "/any/path")
        self.assertEqual(found.name if found else None, "root")
        self.assertFalse(table.needs_keys)

    def test_keys_are_needed_if_the_last_team_is_removed(self):
        for teams, needs_keys in (
            (None, False),
            ((), True),
            ((TeamKeys("t", ()),), True),
        ):
            with self.subTest(teams=teams):
                table = RouteTable(Configuration(1, (), (), teams))
                self.assertEqual(table.needs_keys, needs_keys)

    def test_team_is_found_by_key(self):
        team = self.table.find_team("k2")
        self.assertEqual((team.name, team.priority), ("t", 1))
        self.assertIsNone(self.table.find_team(""))
        self.assertTrue(self.table.needs_keys)
