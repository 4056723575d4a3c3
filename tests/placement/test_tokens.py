"""Tests of chat tokens."""

import unittest
from datetime import UTC, datetime, timedelta

from hypothesis import given, seed
from hypothesis import strategies as st
from returns.pipeline import is_successful

from carobladder.placement.tokens import ChatToken, TokenFault, TokenSigner

NOW = datetime(2026, 1, 1, tzinfo=UTC)
TOKEN = ChatToken("engine-1", "boot-1", int(NOW.timestamp()), 1200)


class UnboundSigner(TokenSigner):
    """Faulty variant that omits team and model from the signature."""

    def _compute_mac(self, payload: bytes, team: str, model: str) -> bytes:
        return super()._compute_mac(payload, "", "")


def accepts_token_of_other_team(signer: TokenSigner, owner: str, other: str) -> bool:
    """Return whether a token of one team is accepted from another one."""
    text = signer.sign(TOKEN, owner, "model")
    return is_successful(signer.verify(text, other, "model", NOW))


class TokenTest(unittest.TestCase):
    """Guard against tokens accepted from another team, or that cannot be read back."""

    def setUp(self):
        self.signer = TokenSigner(b"s" * 16)

    def test_signed_token_is_returned_unchanged(self):
        text = self.signer.sign(TOKEN, "team-a", "model")
        self.assertEqual(
            self.signer.verify(text, "team-a", "model", NOW).unwrap(), TOKEN
        )

    @seed(1)
    @given(st.text(max_size=8), st.text(max_size=8))
    def test_token_of_another_team_is_rejected(self, owner: str, other: str):
        if owner != other:
            self.assertFalse(accepts_token_of_other_team(self.signer, owner, other))

    def test_check_detects_a_signature_without_the_team(self):
        self.assertTrue(accepts_token_of_other_team(UnboundSigner(b"s" * 16), "a", "b"))

    def test_text_moved_from_team_to_model_is_rejected(self):
        text = self.signer.sign(TOKEN, "ab", "c")
        fault = self.signer.verify(text, "a", "bc", NOW).failure()
        self.assertEqual(fault, TokenFault.BAD_SIGNATURE)

    @seed(2)
    @given(st.text(max_size=600))
    def test_arbitrary_text_is_rejected_without_an_exception(self, text: str):
        self.assertFalse(is_successful(self.signer.verify(text, "t", "m", NOW)))

    @seed(3)
    @given(st.integers(0, 60), st.integers(1, 255))
    def test_changed_character_is_rejected(self, index: int, change: int):
        text = self.signer.sign(TOKEN, "t", "m")
        index %= len(text)
        changed = chr(ord(text[index]) ^ change)
        forged = text[:index] + changed + text[index + 1 :]
        result = self.signer.verify(forged, "t", "m", NOW)
        # The last character has unused bits, so a change may decode to the same token.
        self.assertTrue(not is_successful(result) or result.unwrap() == TOKEN)

    def test_expired_token_is_rejected(self):
        text = self.signer.sign(TOKEN, "t", "m")
        result = self.signer.verify(text, "t", "m", NOW + timedelta(hours=1, seconds=1))
        self.assertEqual(result.failure(), TokenFault.EXPIRED)
