"""Tests of the configuration state machine, record by record."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.exceptions import InvalidResourceError, OffsetGapError
from carobladder.resources import (
    ABSENT,
    AUDIT_WINDOW,
    MAX_PART_BYTES,
    Catalog,
    Change,
    ConfiguredDirectory,
    MoveLease,
    MoveStep,
    decode_record,
    encode_record,
    hash_credential,
    join_snapshot,
    parse_spec,
    split_snapshot,
)
from carobladder.resources.records import RecordVersionError

MODEL = {"versions": ["v1", "v2"], "shares": {"v1": 1}}
MOVE = {"model": "m", "from": "v1", "to": "v2", "finish_by": "2026-01-02T00:00:00Z"}


class Writer:
    """Apply changes to a catalog at consecutive offsets."""

    def __init__(self) -> None:
        self.catalog = Catalog()

    def put(self, kind, name, spec, expected=None):
        """Put a resource and return its audit entry."""
        offset = self.catalog.applied_offset + 1
        return self.catalog.apply(
            offset, Change(f"id-{offset}", "x", 0.0, "put", kind, name, spec, expected)
        )

    def step(self, expected, state="loading", **fields):
        """Apply a step of the move and return its audit entry."""
        offset = self.catalog.applied_offset + 1
        record = MoveStep(
            f"id-{offset}", "d", 5.0, "version-move", "mv", expected, state, **fields
        )
        return self.catalog.apply(offset, record)

    def lease(self, who, expected):
        """Apply a lease and return the holder afterwards."""
        offset = self.catalog.applied_offset + 1
        record = MoveLease(
            f"id-{offset}", who, 5.0, "version-move", "mv", expected, 3.0
        )
        self.catalog.apply(offset, record)
        return self.catalog.get_progress("version-move", "mv").driver


class MoveTest(unittest.TestCase):
    """Guard against two drivers that both advance a move."""

    def setUp(self):
        self.writer = Writer()
        self.writer.put("model", "m", MODEL)
        self.revision = self.writer.put("version-move", "mv", MOVE).offset

    def advance(self, *states):
        """Take the given phases one after the other; return the last entry."""
        entry, revision = None, self.revision
        for state in states:
            entry = self.writer.step(revision, state)
            self.assertTrue(entry.accepted, entry.reason)
            revision = entry.offset
        return entry

    def test_only_the_first_of_two_steps_with_one_revision_counts(self):
        warm = self.advance("loading", "warming").offset
        first = self.writer.step(warm, "stepping")
        second = self.writer.step(warm, "taking-back")
        self.assertTrue(first.accepted)
        self.assertEqual((second.accepted, second.conflict), (False, True))
        model = self.writer.catalog.get("model", "m")
        # The new version comes first, so that a chat moves at most once.
        shares = [("v2", 0.0025), ("v1", 0.9975)]
        self.assertEqual(list(model.spec.shares.items()), shares)
        self.assertEqual(model.revision, first.offset)

    def test_a_step_that_the_move_forbids_changes_nothing(self):
        before = self.writer.catalog.get("model", "m")
        for state, step in (("stepping", 0), ("finished", 0), ("melting", 0)):
            entry = self.writer.step(self.revision, state, step=step)
            self.assertEqual((entry.accepted, entry.conflict), (False, False))
        self.assertEqual(self.writer.catalog.get("model", "m"), before)
        warm = self.advance("loading", "warming").offset
        self.assertFalse(self.writer.step(warm, "stepping", step=3).accepted)

    def test_a_plan_that_cannot_be_run_is_refused(self):
        late = {**MOVE, "finish_by": "1970-01-01T00:01:00Z"}
        entry = self.writer.put("version-move", "other", late)
        self.assertIn("finish_by", entry.reason)

    def test_a_model_has_one_running_move(self):
        self.assertFalse(self.writer.put("version-move", "other", MOVE).accepted)
        self.advance("taking-back", "taken-back")
        self.assertTrue(self.writer.put("version-move", "other", MOVE).accepted)

    def test_a_running_move_keeps_its_plan_and_is_not_forgotten(self):
        self.advance("loading")
        changed = {**MOVE, "steps": [0.01]}
        self.assertFalse(self.writer.put("version-move", "mv", changed).accepted)
        offset = self.writer.catalog.applied_offset + 1
        delete = Change(f"id-{offset}", "x", 0.0, "delete", "version-move", "mv")
        self.assertFalse(self.writer.catalog.apply(offset, delete).accepted)
        self.assertTrue(
            self.writer.put("version-move", "mv", {**MOVE, "intent": "back"}).accepted
        )

    def test_a_data_centre_move_closes_and_opens_its_data_centre(self):
        put = self.writer.put
        put("data-centre", "dc", {"region": "r"})
        spec = {
            "data_centre": "dc",
            "direction": "leave",
            "finish_by": MOVE["finish_by"],
        }
        revision = put("data-centre-move", "dm", spec).offset
        for state, wanted in (
            ("leaving", "closed"),
            ("empty", "closed"),
            ("returning", "open"),
        ):
            offset = self.writer.catalog.applied_offset + 1
            record = MoveStep(
                f"id-{offset}", "d", 5.0, "data-centre-move", "dm", revision, state
            )
            self.assertTrue(self.writer.catalog.apply(offset, record).accepted)
            revision = offset
            found = self.writer.catalog.get("data-centre", "dc").spec.state
            self.assertEqual(found, wanted)

    def test_a_changed_intent_stops_the_step_that_did_not_see_it(self):
        self.writer.put("version-move", "mv", {**MOVE, "intent": "pause"})
        self.assertFalse(self.writer.step(self.revision).accepted)

    def test_a_step_to_an_unknown_version_changes_nothing(self):
        self.writer.put("model", "m", {"versions": ["v1"], "shares": {"v1": 1}})
        self.assertFalse(self.writer.step(self.revision).accepted)
        progress = self.writer.catalog.get_progress("version-move", "mv")
        self.assertEqual(progress.revision, self.revision)

    def test_a_hold_keeps_the_time_of_the_step(self):
        offset = self.advance("loading").offset
        self.writer.step(offset, "held")
        progress = self.writer.catalog.get_progress("version-move", "mv")
        self.assertEqual((progress.held_state, progress.since), ("loading", 5.0))

    def test_a_lease_goes_to_the_first_that_expects_the_one_before(self):
        self.assertEqual(self.writer.lease("one", ABSENT), "one")
        self.assertEqual(self.writer.lease("two", ABSENT), "one")
        self.assertEqual(self.writer.lease("two", 2), "two")


class CatalogTest(unittest.TestCase):
    """Guard against ambiguous lookups and against records applied out of order."""

    def test_gap_is_an_error_and_a_repeated_offset_is_not_applied(self):
        writer = Writer()
        with self.assertRaises(OffsetGapError):
            writer.catalog.apply(1, None)
        writer.put("team", "a", {})
        self.assertIsNone(writer.catalog.apply(0, None))

    def test_records_survive_encoding(self):
        change = Change("c", "x", 1.0, "put", "team", "a", {"weight": 2.0}, 3)
        step = MoveStep("s", "d", 1.0, "version-move", "mv", 7, "held", 2, "operator")
        lease = MoveLease("l", "d", 1.0, "version-move", "mv", 4, 3.0)
        for record in (change, step, lease):
            self.assertEqual(decode_record(encode_record(record)), record)

    def test_newer_record_version_is_not_skipped(self):
        with self.assertRaises(RecordVersionError):
            decode_record(b'{"type": "change", "v": 2}')
        self.assertIsNone(decode_record(b"text"))

    def test_credential_and_path_belong_to_one_resource(self):
        writer = Writer()
        digest = hash_credential("key")
        self.assertTrue(writer.put("team", "a", {"credentials": [digest]}).accepted)
        self.assertFalse(writer.put("team", "b", {"credentials": [digest]}).accepted)
        self.assertTrue(writer.put("service", "s", {"path_prefix": "/s"}).accepted)
        self.assertFalse(writer.put("service", "t", {"path_prefix": "/s"}).accepted)
        copy = Catalog()
        copy.load(join_snapshot(split_snapshot(writer.catalog.state, "s", 0.0)))
        writer.catalog = copy
        self.assertFalse(writer.put("team", "b", {"credentials": [digest]}).accepted)
        self.assertTrue(writer.put("team", "a", {}).accepted)
        self.assertTrue(writer.put("team", "b", {"credentials": [digest]}).accepted)

    def test_schema_errors_name_field_and_remedy(self):
        for kind, spec, words in (
            ("team", {"credentials": ["secret"]}, "credentials.0: use the SHA-256"),
            ("model", {**MODEL, "shares": {"v1": 0.5}}, "must sum to 1"),
            ("target", {}, "pool: is missing; set it"),
            ("team", {"size": 1}, "size: is not a field"),
            ("version-move", {**MOVE, "steps": [0.5]}, "first share"),
            ("version-move", {**MOVE, "start": MOVE["finish_by"]}, "finish_by"),
        ):
            with self.assertRaises(InvalidResourceError) as caught:
                parse_spec(kind, "x", spec)
            self.assertIn(words, str(caught.exception))

    def test_snapshot_of_full_size_fits_its_parts(self):
        writer = Writer()
        for number in range(AUDIT_WINDOW + 1):
            spec = {"credentials": [hash_credential(str(number))], "models": ["m"]}
            name = f"team-{number % 500}"
            writer.put("team", name, spec)
        state = writer.catalog.state
        parts = split_snapshot(state, "s", 0.0)
        self.assertGreater(len(parts), 1)
        for part in parts:
            self.assertLess(len(encode_record(part)), MAX_PART_BYTES)
        self.assertEqual(join_snapshot(parts[::-1]), state)
        self.assertEqual(len(state.audit), AUDIT_WINDOW)


class DirectoryTest(unittest.TestCase):
    """Guard against a team that reaches what is not declared for it."""

    def setUp(self):
        self.writer = Writer()
        self.clock = VirtualClock()
        self.directory = ConfiguredDirectory(self.writer.catalog, self.clock)
        put = self.writer.put
        put("team", "a", {"credentials": [hash_credential("k")], "services": ["s"]})
        put("service", "s", {"path_prefix": "/s"})
        put("service", "t", {"path_prefix": "/s/t"})
        window = {"start": "2026-01-01T01:00:00Z", "end": "2026-01-01T02:00:00Z"}
        put("data-centre", "dc", {"region": "r", "windows": [window]})
        target = {"pool": "m", "data_centre": "dc", "address": "127.0.0.1:1"}
        put("target", "x", target)

    def test_team_is_found_by_credential_only(self):
        self.assertEqual(self.directory.find_team("k").name, "a")
        self.assertIsNone(self.directory.find_team(hash_credential("k")))

    def test_routes_follow_path_segments_and_the_services_of_the_team(self):
        team = self.directory.find_team("k")
        for method, path, expected in (
            ("POST", "/s", ("s", False)),
            ("GET", "/s/x", ("s", True)),
            ("POST", "/s/t", ("s", False)),
            ("GET", "/sx", None),
        ):
            route = self.directory.find_route(team, method, path)
            found = (route.service, route.repeatable) if route else None
            self.assertEqual(found, expected, path)

    def test_targets_leave_with_their_data_centre(self):
        def leaving():
            return self.directory.list_targets("m")[0].leaving

        self.assertFalse(leaving())
        self.clock.advance(3600)
        self.assertTrue(leaving())
        self.clock.advance(3600)
        self.assertFalse(leaving())
        self.writer.put("data-centre", "dc", {"region": "r", "state": "closed"})
        self.assertTrue(leaving())
