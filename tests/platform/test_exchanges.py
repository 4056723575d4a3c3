"""Tests of the translation of headers."""

import unittest

from carobladder.fleet import PromptPart, TargetLoad
from carobladder.platform.exchanges import PlatformCodec


class PlatformCodecTest(unittest.TestCase):
    """Guard against headers that are misread or taken from the wrong side."""

    def setUp(self):
        self.codec = PlatformCodec()

    def test_call(self):
        facts = self.codec.read_call(
            (
                ("host", "shop.example"),
                ("carobladder-request-id", "ab12"),
                ("x-api-key", "k"),
                ("carobladder-deadline", "12000"),
                ("carobladder-token-usage", "1460,80"),
                ("carobladder-prompt-prefix", "5c:800,91:410,e4:250"),
            )
        )
        self.assertEqual((facts.request_id, facts.key), ("ab12", "k"))
        self.assertEqual(facts.time_left_seconds, 12.0)
        self.assertEqual((facts.input_tokens, facts.output_tokens), (1460, 80))
        self.assertEqual(facts.prompt[1], PromptPart("91", 410))

    def test_unreadable_headers_state_nothing(self):
        facts = self.codec.read_call(
            (
                ("carobladder-deadline", "soon"),
                ("carobladder-token-usage", "x"),
                ("carobladder-prompt-prefix", "5c,:,zz:-4"),
            )
        )
        self.assertIsNone(facts.time_left_seconds)
        self.assertEqual((facts.input_tokens, facts.prompt), (0, ()))

    def test_headers_of_the_fleet_are_not_taken_from_callers(self):
        for name in (
            "x-api-key",
            "carobladder-tenant",
            "carobladder-expect-instance",
            "carobladder-hold",
            "carobladder-pin-ms",
            "carobladder-kv-backup",
            "kv-from",
            "kv-fetch",
            "carobladder-deadline",
            "carobladder-request-priority",
        ):
            self.assertFalse(self.codec.keep_field(name), name)
        for name in ("host", "carobladder-request-id", "carobladder-model", "x-own"):
            self.assertTrue(self.codec.keep_field(name), name)

    def test_headers_for_a_target(self):
        fields = dict(self.codec.write_call("i-1", 1.2346, "t", 12, "10.0.0.2:80"))
        self.assertEqual(
            fields,
            {
                "carobladder-expect-instance": "i-1",
                "carobladder-deadline": "1234",
                "carobladder-request-priority": "9",
                "carobladder-tenant": "t",
                "kv-fetch": "10.0.0.2:80",
            },
        )

    def test_no_team_and_no_source(self):
        fields = dict(self.codec.write_call("i-1", 0.0, "", 0, ""))
        self.assertNotIn("carobladder-tenant", fields)
        self.assertNotIn("kv-fetch", fields)
        self.assertEqual(fields["carobladder-deadline"], "1")

    def test_answer(self):
        facts = self.codec.read_answer(
            200,
            (
                ("carobladder-request-id", "ab"),
                ("carobladder-response-signature", "s"),
                ("carobladder-server-load", "3,1,8"),
                ("carobladder-cold-ms", "2500"),
            ),
        )
        self.assertTrue(facts.signed)
        self.assertFalse(facts.not_run)
        self.assertEqual(facts.load, TargetLoad(3, 1, 8))
        self.assertEqual(facts.cold_seconds, 2.5)

    def test_only_a_mark_or_421_means_not_run(self):
        mark = (("carobladder-not-executed", "1"),)
        self.assertTrue(self.codec.read_answer(503, mark).not_run)
        self.assertTrue(self.codec.read_answer(421, ()).not_run)
        for status in (429, 500, 503, 504):
            self.assertFalse(self.codec.read_answer(status, ()).not_run)
