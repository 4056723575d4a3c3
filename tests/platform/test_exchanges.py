"""Tests of the codec of the platform's headers."""

import unittest

from carobladder.fleet import PromptPart, TargetLoad
from carobladder.platform.exchanges import PlatformCodec


class PlatformCodecTest(unittest.TestCase):
    """Guard against misread headers and reserved headers accepted from callers."""

    def setUp(self):
        self.codec = PlatformCodec()

    def test_headers_of_a_call_are_decoded(self):
        metadata = self.codec.read_call(
            (
                ("host", "shop.example"),
                ("carobladder-request-id", "ab12"),
                ("x-api-key", "k"),
                ("carobladder-deadline", "12000"),
                ("carobladder-token-usage", "1460,80"),
                ("carobladder-prompt-prefix", "5c:800,91:410,e4:250"),
            )
        )
        self.assertEqual((metadata.request_id, metadata.key), ("ab12", "k"))
        self.assertEqual(metadata.time_left_seconds, 12.0)
        self.assertEqual((metadata.input_tokens, metadata.output_tokens), (1460, 80))
        self.assertEqual(metadata.prompt[1], PromptPart("91", 410))

    def test_invalid_header_values_are_ignored(self):
        metadata = self.codec.read_call(
            (
                ("carobladder-deadline", "soon"),
                ("carobladder-token-usage", "x"),
                ("carobladder-prompt-prefix", "5c,:,zz:-4"),
            )
        )
        self.assertIsNone(metadata.time_left_seconds)
        self.assertEqual((metadata.input_tokens, metadata.prompt), (0, ()))

    def test_reserved_headers_of_callers_are_not_forwarded(self):
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

    def test_headers_of_a_request_to_a_target(self):
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

    def test_headers_of_an_absent_team_and_prompt_source_are_omitted(self):
        fields = dict(self.codec.write_call("i-1", 0.0, "", 0, ""))
        self.assertNotIn("carobladder-tenant", fields)
        self.assertNotIn("kv-fetch", fields)
        self.assertEqual(fields["carobladder-deadline"], "1")

    def test_headers_of_a_response_are_decoded(self):
        metadata = self.codec.read_answer(
            200,
            (
                ("carobladder-request-id", "ab"),
                ("carobladder-response-signature", "s"),
                ("carobladder-server-load", "3,1,8"),
                ("carobladder-cold-ms", "2500"),
            ),
        )
        self.assertTrue(metadata.signed)
        self.assertFalse(metadata.not_run)
        self.assertEqual(metadata.load, TargetLoad(3, 1, 8))
        self.assertEqual(metadata.cold_seconds, 2.5)

    def read_load(self, text):
        return self.codec.read_answer(200, (("carobladder-server-load", text),))

    def test_load_may_state_the_slowness_of_the_target(self):
        for text, expected in (
            ("3,1,8,250", TargetLoad(3, 1, 8, 2.5)),
            ("3, 1, 8, 100", TargetLoad(3, 1, 8, 1.0)),
            ("3,1,8,100,7", TargetLoad(3, 1, 8, 1.0)),
        ):
            metadata = self.read_load(text)
            self.assertEqual(metadata.load, expected, text)
            self.assertFalse(metadata.has_malformed_load, text)

    def test_malformed_load_has_no_effect_and_is_reported(self):
        for text in (
            "",
            "3",
            "3,1",
            "3,1,8,x",
            "3,x,1,8",
            "3,1,8,",
            "-3,1,8",
            "3.5,1,8",
        ):
            metadata = self.read_load(text)
            self.assertIsNone(metadata.load, text)
            self.assertTrue(metadata.has_malformed_load, text)
        self.assertFalse(self.codec.read_answer(200, ()).has_malformed_load)

    def test_digits_that_are_no_integer_are_malformed(self):
        """They ended the handling of a request with an error."""
        for digits in ("\xb2", "9" * 5000):
            self.assertTrue(self.read_load(f"{digits},1,8").has_malformed_load)
            metadata = self.codec.read_call(
                (
                    ("carobladder-token-usage", f"{digits},80"),
                    ("carobladder-prompt-prefix", f"5c1e:{digits},91bd:410"),
                ),
            )
            self.assertEqual((metadata.input_tokens, metadata.output_tokens), (0, 0))
            self.assertEqual(metadata.prompt, (PromptPart("91bd", 410),))

    def test_rate_limit_is_a_decimal_number_of_requests_a_second(self):
        for text, expected in (
            ("2.5", 2.5),
            (" 7 ", 7.0),
            ("0", 0.0),
            ("-1", 0.0),
            ("nan", None),
            ("inf", None),
            ("many", None),
            ("", None),
        ):
            with self.subTest(text=text):
                metadata = self.codec.read_answer(200, (("server-limit", text),))
                self.assertEqual(metadata.rate_limit, expected)
        self.assertIsNone(self.codec.read_answer(200, ()).rate_limit)

    def test_zero_is_not_an_absent_header(self):
        """Empty values count as absent."""
        for text, amount in (("0", 0.0), ("", None)):
            with self.subTest(text=text):
                call = self.codec.read_call((("carobladder-deadline", text),))
                self.assertEqual(call.time_left_seconds, amount)
                answer = self.codec.read_answer(
                    503, (("carobladder-cold-ms", text), ("retry-after", text))
                )
                self.assertEqual(answer.cold_seconds, amount)
                self.assertEqual(answer.pause_seconds, amount)

    def test_only_the_not_executed_header_or_421_means_not_run(self):
        not_executed = (("carobladder-not-executed", "1"),)
        self.assertTrue(self.codec.read_answer(503, not_executed).not_run)
        self.assertTrue(self.codec.read_answer(421, ()).not_run)
        for status in (429, 500, 503, 504):
            self.assertFalse(self.codec.read_answer(status, ()).not_run)
