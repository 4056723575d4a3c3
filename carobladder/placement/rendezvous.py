"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank_members", "score_member"]


def score_member(key: int, member: str) -> int:
    """Return the 64-bit score of a member for a key."""
    return xxhash.xxh3_64_intdigest(member.encode(), seed=key)


def rank_members(key: int, members: Iterable[str]) -> list[str]:
    """Return the members by descending score.

    The order of two members does not depend on the others, so instances with
    different lists agree on the order of the members that both lists contain.
    """
    scored = [(score_member(key, member), member) for member in members]
    scored.sort(reverse=True)
    return [member for _, member in scored]
