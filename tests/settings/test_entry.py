"""Tests of the settings file of the entry program."""

import re
import tempfile
import tomllib
import unittest
from pathlib import Path

from carobladder.exceptions import SettingsError
from carobladder.settings.entry import (
    EntrySettings,
    compare_entry_settings,
    describe_entry_settings,
    find_entry_settings,
    load_entry_settings,
)
from carobladder.settings.entry_reference import render_entry_settings
from carobladder.telemetry.reference import render_events

ROOT = Path(__file__).resolve().parent.parent.parent
REQUIRED = """
instance = "front-1"
data_centre = "dc-1"
listen = "127.0.0.1:1"
readiness_listen = "127.0.0.1:2"
metrics_listen = "127.0.0.1:3"
store_address = "127.0.0.1:4"
peer_listen = "127.0.0.1:5"
"""


class EntrySettingsTest(unittest.TestCase):
    """Invalid settings must be rejected with an error that names the setting."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "settings.toml"

    def load(self, text: str) -> EntrySettings:
        self.path.write_text(text, encoding="utf-8")
        return load_entry_settings(self.path)

    def assert_rejected(self, text: str, *parts: str) -> None:
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        for part in parts:
            self.assertIn(part, str(caught.exception))
        self.assertNotIn("\n", str(caught.exception))

    def test_defaults_apply_and_unknown_keys_are_ignored(self):
        settings = self.load(REQUIRED + "newly = 3\nretry_ratio = 0.1\n")
        self.assertEqual((settings.retry_ratio, settings.load_multiple), (0.1, 2.0))
        lines = describe_entry_settings(self.path)
        self.assertIn("retry_ratio = 0.1 (read)", lines)
        self.assertIn("load_multiple = 2.0 (default)", lines)
        self.assertIn("newly (ignored, not a setting)", lines)

    def test_zero_is_read_and_is_not_a_default(self):
        names = ("retry_ratio", "retry_slack", "exposure_slack")
        settings = self.load(REQUIRED + "".join(f"{name} = 0\n" for name in names))
        self.assertEqual([getattr(settings, name) for name in names], [0.0] * 3)
        for name in ("share_partitions", "key_revocation_ms", "exposure_share"):
            self.assert_rejected(REQUIRED + f"{name} = 0\n", name)

    def test_invalid_values_are_rejected_in_one_line(self):
        self.assert_rejected(REQUIRED.replace('"127.0.0.1:4"', '"store"'), "store_addr")
        self.assert_rejected(REQUIRED + "retry_ratio = -1\n", "retry_ratio")
        self.assert_rejected(REQUIRED + 'retry_ratio = "x"\n', "retry_ratio")
        self.assert_rejected(REQUIRED.replace('instance = "front-1"', ""), "instance")
        self.assert_rejected("listen = \n", "not TOML")

    def test_share_of_copies_is_zero_by_default_and_at_most_one(self):
        self.assertEqual(self.load(REQUIRED).hedge_share, 0.0)
        settings = self.load(REQUIRED + "hedge_share = 0.05\n")
        self.assertEqual(settings.hedge_share, 0.05)
        changes = compare_entry_settings(self.load(REQUIRED), settings)
        self.assertEqual(changes.applied, ("hedge_share",))
        for value in ("-0.1", "1.1", '"x"'):
            self.assert_rejected(REQUIRED + f"hedge_share = {value}\n", "hedge_share")

    def test_missing_file_or_variable_is_rejected(self):
        with self.assertRaises(SettingsError):
            load_entry_settings(self.path)
        with self.assertRaises(SettingsError):
            find_entry_settings({})

    def test_template_names_known_settings_only(self):
        template = (ROOT / "deploy" / "settings.template").read_text(encoding="utf-8")
        names = set(re.findall(r"(\w+) = ", template))
        self.assertEqual(len(names), len(template.splitlines()))
        self.assertLessEqual(names, set(EntrySettings.__struct_fields__))

    def test_template_omits_values_that_a_deployment_does_not_set(self):
        """A line without a value is not valid TOML, so the program would not start."""
        template = (ROOT / "deploy" / "settings.template").read_text(encoding="utf-8")
        for line in template.splitlines():
            placeholder = re.search(r" = \{\{([\w.]+)\}\}", line)
            if placeholder is not None:
                self.assertTrue(line.startswith("{{#" + placeholder[1] + "}}"), line)
                self.assertTrue(line.endswith("{{/" + placeholder[1] + "}}"), line)

    def test_comparison_separates_changes_that_need_a_restart(self):
        before = self.load(REQUIRED)
        after = self.load(REQUIRED + "retry_ratio = 0.1\nkey_revocation_ms = 3000\n")
        changes = compare_entry_settings(before, after)
        self.assertEqual(changes.applied, ("retry_ratio",))
        self.assertEqual(changes.after_restart, ("key_revocation_ms",))
        self.assertEqual(changes.in_force.retry_ratio, 0.1)
        self.assertEqual(changes.in_force.key_revocation_ms, 5000.0)

    def test_deploy_file_refers_to_template_and_program(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.assertTrue((ROOT / role["template"]).exists())
        self.assertEqual(role["run"], "python3 -m carobladder.entry")

    def test_reference_pages_are_current(self):
        for name, text in (
            ("entry-settings.md", render_entry_settings()),
            ("logs.md", render_events()),
        ):
            page = (ROOT / "docs" / name).read_text(encoding="utf-8")
            self.assertEqual(page, text, f"run 'make docs' to regenerate docs/{name}")
