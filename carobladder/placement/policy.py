"""Ranking of targets by the prompt prefix that they may have cached."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from carobladder.placement.rendezvous import rank_members
from carobladder.placement.tokens import ChatToken
from carobladder.targets import RequestClass, TargetState

__all__ = ["Placement", "PlacementPolicy", "PlacementRequest", "PlacementTuning"]


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that determine its placement.

    ``token`` is already verified. ``prompt_tokens`` and ``prefix_tokens`` are the
    estimated lengths of the prompt and of its part shared with other chats.
    ``returning`` is true if the prompt contains an earlier response of its chat.
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
    """Parameters of the policy; docs/placement.md gives the measurements behind them.

    ``prefix_share`` is the fraction of the targets that serve one shared prefix,
    ``prefill_tokens_per_second`` the rate at which an engine recomputes a prompt,
    and ``wait_factor`` the seconds of waiting accepted to avoid one second of
    recomputation, up to ``wait_seconds_max``. ``near_targets`` is the number of first
    choices to which a shared prefix is restricted while waiting is worthwhile.
    Waiting longer reuses more tokens but delays the first token.
    """

    prefix_share: float = 0.2
    prefill_tokens_per_second: float = 8000.0
    wait_factor: float = 1.0
    wait_seconds_max: float = 5.0
    near_targets: int = 3


@dataclass(frozen=True, slots=True)
class Placement:
    """Ids of the targets, best first, and the times to wait for the best ones.

    A request waits up to ``sticky_seconds`` for the first target before it uses the
    next ones, and up to ``near_seconds`` for one of the first ``near_count`` targets
    before it uses the others.
    """

    ranked: list[str]
    sticky_seconds: float
    near_count: int = 1
    near_seconds: float = 0.0


class PlacementPolicy:
    """Stateless ranking of targets, which is therefore the same on all instances."""

    def __init__(self, tuning: PlacementTuning | None = None) -> None:
        self._tuning = tuning or PlacementTuning()

    def rank(
        self, request: PlacementRequest, targets: Sequence[TargetState]
    ) -> list[str]:
        """Return the ids of the available targets, best first.

        The target named by the token comes first unless it has restarted, which
        changes its boot id. The targets of the shared prefix and all others follow.
        """
        return self.place(request, targets).ranked

    def place(
        self, request: PlacementRequest, targets: Sequence[TargetState]
    ) -> Placement:
        """Return the ranking of the available targets with its waiting times."""
        available = [t for t in targets if t.ready and not t.leaving]
        by_hash = self._rank_by_hash(request, [t.target_id for t in available])
        token_target = _find_token_target(request.token, available)
        if token_target is None or request.token is None:
            return self._build_placement(
                request, by_hash, self._estimate_wait_by_hash(request)
            )
        others = [target_id for target_id in by_hash if target_id != token_target]
        sticky_seconds = self._estimate_wait_by_token(request, request.token)
        return self._build_placement(request, [token_target, *others], sticky_seconds)

    def _build_placement(
        self, request: PlacementRequest, ranked: list[str], sticky_seconds: float
    ) -> Placement:
        near_seconds = max(sticky_seconds, self._estimate_wait(request.prefix_tokens))
        return Placement(
            ranked, sticky_seconds, self._tuning.near_targets, near_seconds
        )

    def _rank_by_hash(self, request: PlacementRequest, ids: list[str]) -> list[str]:
        if request.request_class is RequestClass.SHORT:
            return rank_members(request.prefix_key, ids)
        by_prefix = rank_members(request.prefix_key, ids)
        count = self._count_prefix_targets(len(ids))
        prefix_targets = rank_members(request.chat_key, by_prefix[:count])
        return prefix_targets + by_prefix[count:]

    def _count_prefix_targets(self, total: int) -> int:
        return max(1, math.ceil(self._tuning.prefix_share * total))

    def _estimate_wait_by_token(
        self, request: PlacementRequest, token: ChatToken
    ) -> float:
        # The next target has the shared prefix cached, so only the rest is recomputed.
        return self._estimate_wait(token.context_tokens - request.prefix_tokens)

    def _estimate_wait_by_hash(self, request: PlacementRequest) -> float:
        if not request.returning:
            return 0.0
        return self._estimate_wait(request.prompt_tokens - request.prefix_tokens)

    def _estimate_wait(self, lost_tokens: int) -> float:
        seconds = max(0, lost_tokens) / self._tuning.prefill_tokens_per_second
        return min(seconds * self._tuning.wait_factor, self._tuning.wait_seconds_max)


def _find_token_target(
    token: ChatToken | None, available: Sequence[TargetState]
) -> str | None:
    if token is None:
        return None
    for target in available:
        if target.target_id == token.target_id and target.boot_id == token.boot_id:
            return target.target_id
    return None
