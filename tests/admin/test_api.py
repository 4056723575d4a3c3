"""Tests of the operator interface."""

import json
import unittest

from tests.admin.harness import Harness, make_digest

TEAM_KEY = "team-a-administrator"


class OutcomeTest(unittest.TestCase):
    """Guard against telling an operator a wrong outcome of a change."""

    def setUp(self):
        self.harness = Harness()

    def test_accepted_change_is_readable_at_its_revision(self):
        async def scenario():
            status, body = await self.harness.put_team("a", weight=2)
            self.assertEqual((status, body["outcome"]), (200, "accepted"))
            status, found = await self.harness.ask("GET", "team/a")
            self.assertEqual(found["revision"], body["revision"])
            self.assertEqual(found["spec"]["weight"], 2)

        self.harness.run(scenario)

    def test_stale_revision_is_refused_by_header_query_and_body(self):
        async def scenario():
            await self.harness.put_team("a", weight=2)
            for body, query, headers in (
                ({"spec": {}, "expected_revision": 7}, {}, {}),
                ({"spec": {}}, {"expected_revision": "7"}, {}),
                ({"spec": {}}, {}, {"if-match": '"7"'}),
                ({"spec": {}}, {}, {"if-none-match": "*"}),
            ):
                status, found = await self.harness.ask(
                    "PUT", "team/a", body, query=query, headers=headers
                )
                self.assertEqual((status, found["outcome"]), (409, "refused"))
            status, _ = await self.harness.ask(
                "DELETE", "team/a", query={"expected_revision": "0"}
            )
            self.assertEqual(status, 200)

        self.harness.run(scenario)

    def test_lost_answer_is_resolved_by_reading_the_log(self):
        async def scenario():
            self.harness.log.lose_answers = 1
            status, body = await self.harness.put_team("a", weight=2)
            self.assertEqual((status, body["outcome"]), (200, "accepted"))
            self.assertEqual(body["revision"], 0)

        self.harness.run(scenario)

    def test_outage_before_the_append_is_a_refusal(self):
        async def scenario():
            self.harness.log.outage = True
            status, body = await self.harness.put_team("a", weight=2)
            self.assertEqual((status, body["outcome"]), (503, "refused"))
            self.assertEqual(body["error"]["outcome"], "not_run")
            self.assertEqual(self.harness.log.history, [])

        self.harness.run(scenario)

    def test_outage_after_a_lost_answer_is_unknown_until_the_log_returns(self):
        async def scenario():
            self.harness.reading = False
            self.harness.log.lose_answers = 1
            self.harness.log.fail_after_loss = True
            status, body = await self.harness.put_team("a", weight=2)
            self.assertEqual((status, body["outcome"]), (502, "unknown"))
            path = f"changes/{body['change_id']}"
            _, found = await self.harness.ask("GET", path)
            self.assertEqual(found["outcome"], "unknown")
            self.harness.log.outage = False
            self.harness.reading = True
            await self.harness.settle()
            _, found = await self.harness.ask("GET", path)
            self.assertEqual(found["outcome"], "accepted")

        self.harness.run(scenario)

    def test_repeated_change_id_takes_effect_once(self):
        async def scenario():
            _, first = await self.harness.put_team("a", weight=2)
            await self.harness.put_team("a", weight=3)
            status, again = await self.harness.ask(
                "PUT",
                "team/a",
                {"spec": {"weight": 2}},
                query={"change_id": first["change_id"]},
            )
            self.assertEqual((status, again["revision"]), (200, first["revision"]))
            _, found = await self.harness.ask("GET", "team/a")
            self.assertEqual(found["spec"]["weight"], 3)
            status, _ = await self.harness.ask(
                "DELETE", "team/a", query={"change_id": first["change_id"]}
            )
            self.assertEqual(status, 422)

        self.harness.run(scenario)

    def test_dry_run_appends_nothing(self):
        async def scenario():
            status, body = await self.harness.ask(
                "PUT", "team/a", {"spec": {}}, query={"dry_run": "true"}
            )
            self.assertEqual((status, body["effect"]), (200, "create"))
            status, _ = await self.harness.ask(
                "DELETE", "team/a", query={"dry_run": "true"}
            )
            self.assertEqual(status, 422)
            self.assertEqual(self.harness.log.history, [])

        self.harness.run(scenario)

    def test_malformed_requests_are_typed(self):
        async def scenario():
            for method, path, body, status in (
                ("PUT", "team/a", {"spec": {"weight": -1}}, 422),
                ("PUT", "team/a", [], 400),
                ("PUT", "team/a", {"spec": {"models": ["m"] * 20_000}}, 422),
                ("PUT", "team/a", {"spec": {}, "expected_revision": "x"}, 400),
                ("PUT", "city/a", {"spec": {}}, 404),
                ("GET", "team/a", None, 404),
                ("POST", "team", {}, 404),
            ):
                found, answer = await self.harness.ask(method, path, body)
                self.assertEqual((found, path), (status, path))
                self.assertTrue(answer["error"]["remedy"])

        self.harness.run(scenario)

    def test_instance_without_configuration_is_not_ready(self):
        harness = Harness()
        harness.log.outage = True

        async def scenario():
            status, _ = await harness.ask("GET", "team")
            self.assertEqual(status, 503)

        harness.run(scenario)


class ScopeTest(unittest.TestCase):
    """Guard against reading or changing what belongs to someone else."""

    def setUp(self):
        self.harness = Harness()

    async def declare(self):
        await self.harness.put_team(
            "a", models=["m"], administrators=[make_digest(TEAM_KEY)]
        )
        await self.harness.put_team("b", models=["n"])
        for name in ("m", "n"):
            spec = {"versions": ["v1"], "shares": {"v1": 1}}
            await self.harness.ask("PUT", f"model/{name}", {"spec": spec})

    def test_unknown_credentials_are_refused(self):
        async def scenario():
            for headers in ({"authorization": ""}, {"authorization": "Bearer x"}):
                status, _ = await self.harness.ask("GET", "team", headers=headers)
                self.assertEqual(status, 401)

        self.harness.run(scenario)

    def test_declared_operator_has_the_operator_role(self):
        async def scenario():
            spec = {"credentials": [make_digest("second-operator")]}
            await self.harness.ask("PUT", "operator/second", {"spec": spec})
            status, body = await self.harness.ask(
                "PUT", "team/a", {"spec": {}}, key="second-operator"
            )
            self.assertEqual((status, body["who"]), (200, "operator/second"))

        self.harness.run(scenario)

    def test_team_administrator_sees_only_its_team(self):
        async def scenario():
            await self.declare()
            for kind, names in (("team", ["a"]), ("model", ["m"]), ("operator", [])):
                _, body = await self.harness.ask("GET", kind, key=TEAM_KEY)
                self.assertEqual([item["name"] for item in body["items"]], names)
            status, _ = await self.harness.ask("GET", "team/b", key=TEAM_KEY)
            self.assertEqual(status, 404)
            _, body = await self.harness.ask("GET", "audit", key=TEAM_KEY)
            self.assertEqual({item["name"] for item in body["items"]}, {"a", "m"})

        self.harness.run(scenario)

    def test_team_administrator_changes_only_its_credentials(self):
        async def scenario():
            await self.declare()
            _, current = await self.harness.ask("GET", "team/a", key=TEAM_KEY)
            for path, change, status in (
                ("team/a", {"weight": 9}, 403),
                ("team/a", {"models": ["m", "n"]}, 403),
                ("team/b", {}, 403),
                ("team/a", {"credentials": [make_digest("new")]}, 200),
            ):
                body = {"spec": {**current["spec"], **change}}
                found, _ = await self.harness.ask("PUT", path, body, key=TEAM_KEY)
                self.assertEqual((found, change), (status, change))
            status, _ = await self.harness.ask("DELETE", "team/a", key=TEAM_KEY)
            self.assertEqual(status, 403)

        self.harness.run(scenario)

    def test_scope_check_is_bound_to_the_revision_it_saw(self):
        """A stale instance must not let a team undo an operator's change."""

        async def scenario():
            await self.declare()
            _, old = await self.harness.ask("GET", "team/a", key=TEAM_KEY)
            self.harness.reading = False
            changed = {**old["spec"], "weight": 5}
            newest = len(self.harness.log.history)
            record = json.loads(self.harness.log.history[0])
            record |= {"change_id": "x", "spec": changed, "expected_revision": None}
            self.harness.log.history.append(json.dumps(record))
            status, _ = await self.harness.ask(
                "PUT",
                "team/a",
                {"spec": old["spec"], "expected_revision": newest},
                key=TEAM_KEY,
            )
            self.assertEqual(status, 409)

        self.harness.run(scenario)


class WatchTest(unittest.TestCase):
    """Guard against streams that miss, double or leak events."""

    def setUp(self):
        self.harness = Harness()

    async def take(self, answer, count):
        lines = []
        async for line in answer.stream:
            lines.append(json.loads(line))
            if len(lines) == count:
                break
        await answer.stream.aclose()
        return lines

    def test_stream_resumes_after_a_disconnect(self):
        async def scenario():
            await self.harness.put_team("a", weight=2)
            answer = await self.harness.request("GET", "watch", query={"from": "-1"})
            lines = await self.take(answer, 2)
            self.assertEqual([line["type"] for line in lines], ["started", "accepted"])
            self.harness.history.update_instances({"x": 0, "y": -1})
            query = {"from": lines[-1]["cursor"]}
            answer = await self.harness.request("GET", "watch", query=query)
            lines = await self.take(answer, 2)
            self.assertEqual(lines[-1]["waiting_for"], ["y"])
            self.harness.history.update_instances({"x": 0, "y": 0})
            answer = await self.harness.request("GET", "watch", query=query)
            lines = await self.take(answer, 2)
            self.assertEqual(lines[-1]["type"], "in_force")

        self.harness.run(scenario)

    def test_expired_cursor_is_answered_at_once(self):
        async def scenario():
            await self.harness.put_team("a", weight=2)
            self.harness.history.restart(5)
            status, body = await self.harness.ask("GET", "watch", query={"from": "0"})
            self.assertEqual((status, body["error"]["code"]), (410, "watch_expired"))

        self.harness.run(scenario)

    def test_revoked_credentials_end_the_stream(self):
        async def scenario():
            digest = make_digest(TEAM_KEY)
            await self.harness.put_team("a", administrators=[digest])
            answer = await self.harness.request("GET", "watch", key=TEAM_KEY)
            await self.harness.put_team("a", administrators=[])
            lines = await self.take(answer, 5)
            self.assertEqual(lines[-1]["error"]["code"], "bad_credentials")

        self.harness.run(scenario)

    def test_server_sent_events_carry_the_cursor_as_id(self):
        async def scenario():
            await self.harness.put_team("a", weight=2)
            answer = await self.harness.request(
                "GET",
                "watch",
                query={"from": "-1"},
                headers={"accept": "text/event-stream", "last-event-id": "-1:-1"},
            )
            chunks = [await anext(answer.stream) for _ in range(2)]
            self.assertIn(b"id: 0:-1\nevent: accepted\ndata: {", chunks[1])
            await answer.stream.aclose()

        self.harness.run(scenario)
