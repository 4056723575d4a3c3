"""Rank the targets of a request by the prompt prefix that they may have cached."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from carobladder.placement.rendezvous import rank_members
from carobladder.placement.tokens import ChatToken
from carobladder.targets import RequestClass, TargetState

__all__ = ["Placement", "PlacementPolicy", "PlacementRequest", "PlacementTuning"]


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Describe what placement needs to know of one request.

    ``token`` is verified. ``prompt_tokens`` and ``prefix_tokens`` are estimates
    of the length of the prompt and of its part shared with other chats.
    ``returning`` is true when the prompt holds an earlier answer.
    """

    request_class: RequestClass
    chat_key: int
    prefix_key: int
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    token: ChatToken | None = None
    returning: bool = False


@dataclass(frozen=True, slots=True)
class PlacementTuning:
    """Hold the parameters of the policy; docs/placement.md gives their figures.

    ``prefix_share`` is the part of the targets that serve one shared prefix,
    ``prefill_tokens_per_second`` the rate at which an engine recomputes a prompt
    and ``wait_factor`` the seconds of waiting that one second of recomputing is
    worth. ``near_targets`` is the number of choices that a shared prefix is kept to
    while waiting is worth it. Waiting longer reuses more tokens but delays the
    first token.
    """

    prefix_share: float = 0.2
    prefill_tokens_per_second: float = 8000.0
    wait_factor: float = 1.0
    wait_seconds_max: float = 5.0
    near_targets: int = 3


@dataclass(frozen=True, slots=True)
class Placement:
    """Give the ranked targets and how long waiting is worth more than going on.

    Waiting ``sticky_seconds`` for the first target beats the next ones, and waiting
    ``near_seconds`` for one of the first ``near_count`` beats all further ones.
    """

    ranked: list[str]
    sticky_seconds: float
    near_count: int = 1
    near_seconds: float = 0.0


class PlacementPolicy:
    """Rank targets without stored state, so that all instances agree."""

    def __init__(self, tuning: PlacementTuning | None = None) -> None:
        self._tuning = tuning or PlacementTuning()

    def rank(
        self, request: PlacementRequest, targets: Sequence[TargetState]
    ) -> list[str]:
        """Return the ids of usable targets, best first.

        The target named by the token goes first while it runs under the same boot
        id, then the targets of the shared prefix, then all others.
        """
        return self.place(request, targets).ranked

    def place(
        self, request: PlacementRequest, targets: Sequence[TargetState]
    ) -> Placement:
        """Return the ranking together with its waiting time."""
        usable = [t for t in targets if t.ready and not t.leaving]
        by_hash = self._rank_by_hash(request, [t.target_id for t in usable])
        holder = _find_holder(request.token, usable)
        if holder is None or request.token is None:
            return self._finish(request, by_hash, self._wait_by_hash(request))
        rest = [target_id for target_id in by_hash if target_id != holder]
        sticky = self._wait_by_token(request, request.token)
        return self._finish(request, [holder, *rest], sticky)

    def _finish(
        self, request: PlacementRequest, ranked: list[str], sticky_seconds: float
    ) -> Placement:
        near_seconds = max(sticky_seconds, self._wait(request.prefix_tokens))
        return Placement(
            ranked, sticky_seconds, self._tuning.near_targets, near_seconds
        )

    def _rank_by_hash(self, request: PlacementRequest, ids: list[str]) -> list[str]:
        if request.request_class is RequestClass.SHORT:
            return rank_members(request.prefix_key, ids)
        by_prefix = rank_members(request.prefix_key, ids)
        count = self._prefix_target_count(len(ids))
        near = rank_members(request.chat_key, by_prefix[:count])
        return near + by_prefix[count:]

    def _prefix_target_count(self, total: int) -> int:
        return max(1, math.ceil(self._tuning.prefix_share * total))

    def _wait_by_token(self, request: PlacementRequest, token: ChatToken) -> float:
        # The next choice shares the prefix, so only the chat's own part is lost.
        return self._wait(token.context_tokens - request.prefix_tokens)

    def _wait_by_hash(self, request: PlacementRequest) -> float:
        if not request.returning:
            return 0.0
        return self._wait(request.prompt_tokens - request.prefix_tokens)

    def _wait(self, lost_tokens: int) -> float:
        seconds = max(0, lost_tokens) / self._tuning.prefill_tokens_per_second
        return min(seconds * self._tuning.wait_factor, self._tuning.wait_seconds_max)


def _find_holder(token: ChatToken | None, usable: Sequence[TargetState]) -> str | None:
    if token is None:
        return None
    for target in usable:
        if target.target_id == token.target_id and target.boot_id == token.boot_id:
            return target.target_id
    return None
