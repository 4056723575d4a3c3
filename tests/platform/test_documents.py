"""Tests of the conversion of the platform's documents."""

import json
import unittest

from carobladder.fleet import (
    ConfigurationRecord,
    DataCentreRecord,
    KeyedRecord,
    MoveState,
    MoveStep,
    RolloutOrder,
    TargetEntry,
    UnreadableRecord,
)
from carobladder.platform.documents import (
    decode_operator_record,
    decode_target_entry,
    encode_move_status,
)
from carobladder.routing import RouteKind, ServiceScaling, ServiceWeight

SERVER = {
    "service": "engine",
    "address": "10.0.0.1:8080",
    "zone": "dc-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 4,
    "born": 1700000000000,
    "stage": "both",
}
ROUTE = {
    "name": "r",
    "host": "Shop.Example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 12000,
    "targetLatencyMs": 800,
    "priority": 1,
    "trafficSplit": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "targetGapMs": 300,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "x",
            "healthPath": "/health",
            "maxConnections": 630,
            "coldStartS": 3.0,
            "coldPerS": 18.0,
            "engine": {"slots": 128, "kvCapacity": 715601},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def decode_entry_with(**changes: object) -> TargetEntry | UnreadableRecord:
    """Decode SERVER with some fields replaced, or removed if None."""
    document = {**SERVER, **changes}
    present = {key: value for key, value in document.items() if value is not None}
    return decode_target_entry("i-1", json.dumps(present).encode())


class TargetEntryTest(unittest.TestCase):
    """Guard against invalid or truncated entries that are accepted as targets."""

    def test_valid_entry_is_decoded(self):
        self.assertEqual(
            decode_entry_with(),
            TargetEntry(
                target_id="i-1",
                service="engine",
                address="10.0.0.1:8080",
                data_centre="dc-1",
                version="v1",
                slots=8,
                draining=False,
                cold_seconds=1.5,
                started_ms=1700000000000,
            ),
        )

    def test_draining_state_is_decoded(self):
        entry = decode_entry_with(state="draining")
        self.assertTrue(isinstance(entry, TargetEntry) and entry.draining)

    def test_invalid_fields_make_an_entry_unreadable(self):
        invalid = (
            {"service": None},
            {"address": None},
            {"zone": 3},
            {"slots": "8"},
            {"slots": -1},
            {"state": "resting"},
            {"address": "10.0.0.1"},
            {"address": ":80"},
            {"coldRemainingMs": -5},
            {"born": "soon"},
            {"sequence": None},
        )
        for changes in invalid:
            with self.subTest(changes=changes):
                self.assertIsInstance(decode_entry_with(**changes), UnreadableRecord)

    def test_truncated_or_malformed_json_is_unreadable(self):
        valid = json.dumps(SERVER).encode()
        for data in (b"", valid[:20], valid[:-1], b"\xff\xfe\x00", b"[]", b"null"):
            with self.subTest(data=data):
                self.assertIsInstance(
                    decode_target_entry("i-1", data), UnreadableRecord
                )


def decode_record(key: str, value: bytes | None):
    """Decode a record of the operator at offset 7."""
    return decode_operator_record(KeyedRecord(7, key, value))


class OperatorRecordTest(unittest.TestCase):
    """Guard against a route whose decoded permissions differ from its document."""

    def decode_configuration(self, **changes: object):
        document = json.dumps({**CONFIGURATION, **changes}).encode()
        record = decode_record("config", document)
        self.assertIsInstance(record, ConfigurationRecord)
        return record.configuration

    def test_route_fields_are_decoded(self):
        (route,) = self.decode_configuration().routes
        self.assertEqual((route.host, route.path_prefix), ("shop.example", "/a/"))
        self.assertEqual(route.kind, RouteKind.STREAMING)
        self.assertEqual(
            route.services, (ServiceWeight("x", 90), ServiceWeight("y", 10))
        )
        self.assertEqual(
            (route.timeout_seconds, route.latency_objective_seconds), (12.0, 0.8)
        )
        self.assertEqual((route.attempts, route.max_event_gap_seconds), (2, 0.3))
        self.assertTrue(route.may_repeat)

    def test_stream_that_cannot_be_resumed_may_not_repeat(self):
        (route,) = self.decode_configuration(
            routes=[{**ROUTE, "resumable": False}]
        ).routes
        self.assertFalse(route.may_repeat)

    def test_absent_attempts_permit_one_and_zero_permits_none(self):
        absent = {key: value for key, value in ROUTE.items() if key != "attempts"}
        for route, attempts in ((absent, 1), ({**ROUTE, "attempts": 0}, 0)):
            with self.subTest(attempts=attempts):
                (decoded,) = self.decode_configuration(routes=[route]).routes
                self.assertEqual(decoded.attempts, attempts)

    def test_absent_cold_rate_is_not_zero(self):
        (service,) = CONFIGURATION["services"]
        absent = {key: value for key, value in service.items() if key != "coldPerS"}
        for document, rate in ((absent, None), ({**absent, "coldPerS": 0}, 0.0)):
            with self.subTest(rate=rate):
                (decoded,) = self.decode_configuration(services=[document]).services
                self.assertEqual(decoded.cold_per_second, rate)

    def test_unknown_kind_may_not_repeat(self):
        (route,) = self.decode_configuration(routes=[{**ROUTE, "kind": "newly"}]).routes
        self.assertFalse(route.may_repeat)

    def test_services_teams_and_limits_are_decoded(self):
        configuration = self.decode_configuration()
        (service,) = configuration.services
        self.assertEqual((service.cold_per_second, service.batch_slots), (18.0, 128))
        (team,) = configuration.teams
        self.assertEqual((team.name, team.keys, team.priority), ("t", ("k1", "k2"), 1))
        self.assertEqual(configuration.limits.idle_seconds, 15.0)

    def test_scaling_of_a_service_is_decoded(self):
        (before,) = CONFIGURATION["services"]
        scaling = {"minReplicas": 20, "maxReplicas": 47, "bootS": 8.0}
        services = [{**before, "scaling": scaling}, before, {**before, "scaling": None}]
        decoded = self.decode_configuration(services=services).services
        limits = ServiceScaling(20, 47, 8.0)
        self.assertEqual([s.scaling for s in decoded], [limits, None, None])

    def test_empty_list_of_tenants_is_not_an_absent_one(self):
        absent = {key: value for key, value in CONFIGURATION.items()}
        del absent["tenants"]
        record = decode_record("config", json.dumps(absent).encode())
        self.assertIsNone(record.configuration.teams)
        for empty in ([], None):
            with self.subTest(tenants=empty):
                self.assertEqual(self.decode_configuration(tenants=empty).teams, ())

    def test_tenant_without_keys_is_decoded(self):
        for keys in ({}, {"apiKeys": []}, {"apiKeys": None}):
            with self.subTest(keys=keys):
                tenants = [{"name": "t", **keys}]
                (team,) = self.decode_configuration(tenants=tenants).teams
                self.assertEqual(team.keys, ())

    def test_null_is_the_default_of_an_optional_field(self):
        """The whole document was ignored, so revoked keys stayed valid."""
        (service,) = CONFIGURATION["services"]
        absent = {"name", "host", "pathPrefix", "kind", "timeoutMs"}
        required = {name: ROUTE[name] for name in absent}
        nulls = {name: None for name in ROUTE if name not in absent}
        found = self.decode_configuration(
            routes=[{**required, **nulls}],
            services=[{**service, "healthPath": None, "engine": {"slots": None}}],
            limits={"maxBodyBytes": None},
        )
        expected = self.decode_configuration(
            routes=[required],
            services=[{**service, "healthPath": "/", "engine": {}}],
            limits={},
        )
        self.assertEqual(found, expected)
        self.assertFalse(found.routes[0].public)

    def test_null_beside_null_tenants_lets_nobody_in(self):
        found = self.decode_configuration(routes=None, tenants=None)
        self.assertEqual((found.routes, found.teams), ((), ()))

    def test_invalid_configuration_is_unreadable(self):
        for data in (b"{", b'{"version": "x"}', b'{"routes": []}'):
            record = decode_record("config", data)
            self.assertIsInstance(record, UnreadableRecord)

    def test_start_and_end_of_an_evacuation_are_decoded(self):
        self.assertEqual(
            decode_record("evacuate/dc-1", b"{}"),
            DataCentreRecord("dc-1", True),
        )
        self.assertEqual(
            decode_record("evacuate/dc-1", None),
            DataCentreRecord("dc-1", False),
        )

    def test_rollout_and_its_withdrawal_are_decoded(self):
        data = b'{"service": "x", "target": "v2", "durationS": 12}'
        self.assertEqual(
            decode_record("rollout/x", data), RolloutOrder("x", "v2", 12.0, 7)
        )
        self.assertEqual(
            decode_record("rollout/x", None),
            RolloutOrder("x", "", 0.0, 7, withdrawn=True),
        )

    def test_rollout_without_duration_is_unreadable(self):
        data = b'{"service": "x", "target": "v2", "durationS": 0}'
        self.assertIsInstance(decode_record("rollout/x", data), UnreadableRecord)

    def test_move_status_uses_the_state_names_of_the_platform(self):
        names = {
            MoveState.RUNNING: "running",
            MoveState.COMPLETED: "completed",
            MoveState.ROLLED_BACK: "rolled_back",
        }
        for state, name in names.items():
            step = MoveStep("x", "v2", 7, state, 0.5, 3.0, "a reason")
            key, value = encode_move_status(step)
            self.assertEqual(key, "rollout/x")
            self.assertEqual(json.loads(value), {"state": name, "target": "v2"})


def nest(depth: int, opening: str = "[", closing: str = "]") -> str:
    """Return JSON that is nested this deeply."""
    return opening * depth + closing * depth


class OddRecordTest(unittest.TestCase):
    """Guard against a record of another writer that ends every instance.

    The error of one record would end the task that follows the topic, and with it the
    program, again after each restart.
    """

    def build_entry(self, **changes: object) -> bytes:
        return json.dumps({**SERVER, **changes}).encode()

    def build_nested(self, document: dict, depth: int) -> bytes:
        text = json.dumps(document)
        return (text[:-1] + f', "extra": {nest(depth)}' + "}").encode()

    def check_unreadable(self, value: bytes) -> None:
        entry = decode_target_entry("i-1", value)
        self.assertIsInstance(entry, UnreadableRecord, value[:80])

    def test_deeply_nested_entries_are_unreadable(self):
        for depth in (1_500, 100_000):
            self.check_unreadable(self.build_nested(SERVER, depth))
            text = json.dumps(SERVER)[:-1] + ', "x": ' + '{"a":' * depth
            self.check_unreadable((text + "1" + "}" * depth + "}").encode())

    def test_entries_with_an_address_that_cannot_be_connected_are_unreadable(self):
        for address in (
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:99999",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1:\u0668\u0660",
            "10.0.0.1:+80",
            "10.0.0.1: 80",
            "10.0.0:80",
            "10.0.0.1\x00:80",
            "some.host:80",
            "10.0.0.1\r\nX: y:80",
            ":80",
            "10.0.0.1",
        ):
            with self.subTest(address=address[:30]):
                self.check_unreadable(self.build_entry(address=address))

    def test_entries_with_too_large_numbers_are_unreadable(self):
        for changes in (
            {"slots": 10**30},
            {"slots": 10**7},
            {"coldRemainingMs": 1e300},
            {"born": 10**40},
            {"born": -1},
        ):
            with self.subTest(changes=changes):
                self.check_unreadable(self.build_entry(**changes))
        text = json.dumps(SERVER).replace("1700000000000", "1" * 6000)
        self.check_unreadable(text.encode())

    def test_usual_entries_stay_readable(self):
        for changes in (
            {"address": "[::1]:80"},
            {"address": "10.0.0.1:65535"},
            {"slots": 0},
            {"sequence": 10**12},
            {"extra": json.loads(nest(50))},
        ):
            with self.subTest(changes=changes):
                entry = decode_target_entry("i-1", self.build_entry(**changes))
                self.assertIsInstance(entry, TargetEntry)

    def test_deeply_nested_records_of_operators_are_unreadable(self):
        rollout = {"service": "x", "target": "v2", "durationS": 15.0}
        for key, document in (("config", CONFIGURATION), ("rollout/x", rollout)):
            value = self.build_nested(document, 5_000)
            decoded = decode_operator_record(KeyedRecord(3, key, value))
            self.assertIsInstance(decoded, UnreadableRecord)
