"""Tests of keys in configurations that arrive in any order and from any source."""

import json
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.fleet import KeyedRecord, TargetTable
from carobladder.platform.documents import decode_operator_record
from carobladder.topics import ControlState, apply_configuration_value

KEYS = ("k1", "k2", "k3")
SEQUENCES = 300
CHANGES = 12
# What a configuration may say of its teams, and the keys that are valid then.
# None stands for a configuration that needs no key.
NO_FIELD = "no field"
TEAMS = (
    (NO_FIELD, None),
    (None, set()),
    ([], set()),
    ([{"name": "a"}], set()),
    ([{"name": "a", "apiKeys": None}], set()),
    ([{"name": "a", "apiKeys": []}], set()),
    (
        [{"name": "a", "apiKeys": ["k1"]}, {"name": "b", "apiKeys": ["k2"]}],
        {"k1", "k2"},
    ),
    ([{"name": "b", "apiKeys": ["k3", ""], "priority": None}], {"k3"}),
)


def encode(version: int, teams: object) -> bytes:
    """Return a configuration as operators write it."""
    document = {"version": version, "routes": [], "services": []}
    if teams is not NO_FIELD:
        document["tenants"] = teams
    return json.dumps(document).encode()


class RevokedKeysTest(unittest.TestCase):
    """Guard against a revoked key that an earlier or an odd configuration lets in."""

    def build_state(self) -> ControlState:
        return ControlState(
            VirtualClock(),
            TargetTable(),
            lambda target_id: None,
            2.4,
            lambda order: None,
        )

    def apply(self, state: ControlState, value: bytes, from_backup: bool) -> None:
        if from_backup:
            apply_configuration_value(state, value)
        else:
            state.apply(decode_operator_record(KeyedRecord(0, "config", value)))

    def read_valid_keys(self, state: ControlState) -> set[str] | None:
        assert state.table is not None
        if not state.table.needs_keys:
            return None
        return {key for key in (*KEYS, "", "foreign") if state.table.find_team(key)}

    def test_first_configuration_decides_whether_keys_are_needed(self):
        for teams, valid in TEAMS:
            with self.subTest(teams=teams):
                state = self.build_state()
                self.apply(state, encode(1, teams), False)
                self.assertEqual(self.read_valid_keys(state), valid)

    def test_newest_configuration_of_a_storm_decides(self):
        """Versions come in any order, twice, and from the copy of a restored store."""
        for seed in range(SEQUENCES):
            generator = random.Random(seed)
            state = self.build_state()
            newest, expected = 0, None
            teams_by_version = {
                version: generator.choice(TEAMS) for version in range(1, CHANGES + 1)
            }
            for _ in range(2 * CHANGES):
                version = generator.randint(1, CHANGES)
                teams, valid = teams_by_version[version]
                value = encode(version, teams)
                self.apply(state, value, generator.random() < 0.3)
                if version >= newest:
                    newest, expected = version, valid
                self.assertEqual(self.read_valid_keys(state), expected, f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
