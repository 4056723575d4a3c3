"""Owner of each target by rendezvous hashing over the live instances."""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["OwnerMap", "find_owner", "hash_view"]

_VIEW_HASH_SEPARATOR = "\n"


def find_owner(target_id: str, members: Iterable[str]) -> str | None:
    """Return the member with the greatest hash for the target, None without members."""
    return max(members, key=lambda member: _score(target_id, member), default=None)


def hash_view(members: Sequence[str]) -> int:
    """Return a 32-bit hash of the sorted members."""
    return xxhash.xxh32_intdigest(_VIEW_HASH_SEPARATOR.join(members).encode())


class OwnerMap:
    """Cache of target owners that recomputes only what a change of members affects."""

    def __init__(self) -> None:
        self._members: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    @property
    def members(self) -> tuple[str, ...]:
        """Return the current members."""
        return self._members

    def update(self, members: Sequence[str]) -> None:
        """Set the members; targets move only to new members or from removed ones."""
        current = tuple(members)
        if current == self._members:
            return
        joined = set(current).difference(self._members)
        left = set(self._members).difference(current)
        self._members = current
        for target_id, owner in list(self._owners.items()):
            if owner in left:
                del self._owners[target_id]
                continue
            best = find_owner(target_id, [owner, *sorted(joined)])
            assert best is not None
            self._owners[target_id] = best

    def find(self, target_id: str) -> str | None:
        """Return the owner of the target, or None if no member is live."""
        owner = self._owners.get(target_id)
        if owner is None:
            owner = find_owner(target_id, self._members)
            if owner is not None:
                self._owners[target_id] = owner
        return owner

    def prune(self, keep: Iterable[str]) -> None:
        """Drop the targets outside ``keep``."""
        kept = set(keep)
        for target_id in [name for name in self._owners if name not in kept]:
            del self._owners[target_id]


def _score(target_id: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{target_id}\n{member}".encode()), member
