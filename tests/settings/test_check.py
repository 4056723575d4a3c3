"""Tests of loading settings."""

import unittest

from carobladder.exceptions import SettingsError
from carobladder.settings.check import describe_settings, load_settings

KEY = "k" * 40
VALID = {
    "CAROBLADDER_INSTANCE_ID": "entry-1",
    "CAROBLADDER_DATA_CENTRE": "dc-1",
    "CAROBLADDER_LOG_URL": "http://127.0.0.1:7001",
    "CAROBLADDER_LIST_URL": "http://127.0.0.1:7002",
    "CAROBLADDER_PEER_PUBLIC_KEY": KEY,
    "CAROBLADDER_PEER_SECRET_KEY": KEY,
    "CAROBLADDER_TOKEN_SECRET": "s" * 16,
    "CAROBLADDER_ADMIN_KEY": "a" * 16,
}


class LoadSettingsTest(unittest.TestCase):
    """Invalid settings must be rejected at the start with a one-line error."""

    def load_invalid(self, **changes: str | None) -> str:
        environment = {**VALID, **changes}
        kept = {name: value for name, value in environment.items() if value}
        with self.assertRaises(SettingsError) as caught:
            load_settings({}, kept)
        text = str(caught.exception)
        self.assertNotIn("\n", text)
        return text

    def test_flag_overrides_variable(self):
        settings = load_settings({"instance_id": "entry-9"}, VALID)
        self.assertEqual(settings.instance_id, "entry-9")

    def test_missing_setting_error_names_flag_variable_and_remedy(self):
        text = self.load_invalid(CAROBLADDER_LOG_URL=None)
        self.assertIn("--log-url (CAROBLADDER_LOG_URL): is missing; set it", text)

    def test_unknown_variable_is_rejected(self):
        text = self.load_invalid(CAROBLADDER_LOG_ULR="http://127.0.0.1:1")
        self.assertIn("CAROBLADDER_LOG_ULR", text)

    def test_contradiction_error_names_both_settings(self):
        text = self.load_invalid(CAROBLADDER_LEASE_SECONDS="0.3")
        self.assertIn("--lease-seconds", text)
        self.assertIn("heartbeat_seconds", text)

    def test_host_name_instead_of_ip_address_is_rejected(self):
        self.assertIn("--listen", self.load_invalid(CAROBLADDER_LISTEN="localhost:80"))

    def test_secrets_are_masked(self):
        shown = "\n".join(describe_settings(load_settings({}, VALID)))
        for secret in (KEY, "s" * 16, "a" * 16):
            self.assertNotIn(secret, shown)
