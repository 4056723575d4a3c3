"""Placement of chats by policy, version shares and signed tokens."""

from collections.abc import Mapping, Sequence

from returns.result import Success

from carobladder.clock import Clock
from carobladder.gateway.ports import ChatRequest, ChatTurn, Ranking
from carobladder.placement import (
    ChatMessage,
    ChatToken,
    PlacementPolicy,
    PlacementRequest,
    TokenSigner,
    choose_version,
    derive_chat_key,
    derive_prefix_key,
)
from carobladder.targets import TargetState

__all__ = ["FleetPlacement"]

_CHARACTERS_FOR_TOKEN = 4
_PREFIX_ROLES = frozenset({"system", "developer"})


class FleetPlacement:
    """Implement the gateway's Placement port."""

    def __init__(
        self, policy: PlacementPolicy, signer: TokenSigner, clock: Clock
    ) -> None:
        self._policy = policy
        self._signer = signer
        self._clock = clock

    def rank(
        self,
        chat: ChatRequest,
        targets: Sequence[TargetState],
        shares: Mapping[str, float],
    ) -> Ranking:
        """Return the usable targets of the chat's version, best first."""
        request = self._describe(chat)
        allowed = _select_version(request.chat_key, targets, shares)
        placed = self._policy.place(request, allowed)
        return Ranking(
            placed.ranked,
            placed.sticky_seconds,
            placed.near_count,
            placed.near_seconds,
        )

    def issue_token(
        self, chat: ChatRequest, target: TargetState, context_tokens: int
    ) -> str:
        """Return the signed token that names the target which served the chat."""
        token = ChatToken(
            target_id=target.target_id,
            boot_id=target.boot_id,
            issued=int(self._clock.now().timestamp()),
            context_tokens=context_tokens,
        )
        return self._signer.sign(token, chat.team.name, chat.model)

    def _describe(self, chat: ChatRequest) -> PlacementRequest:
        team, model = chat.team.name, chat.model
        messages = [ChatMessage(turn.role, turn.text) for turn in chat.turns]
        prefix = [turn for turn in chat.turns if turn.role in _PREFIX_ROLES]
        return PlacementRequest(
            request_class=chat.request_class,
            chat_key=derive_chat_key(team, model, chat.chat_id or None, messages),
            prefix_key=derive_prefix_key(team, model, messages),
            prompt_tokens=_estimate_tokens(chat.turns),
            prefix_tokens=_estimate_tokens(prefix),
            token=self._read_token(chat),
            returning=any(turn.role == "assistant" for turn in chat.turns),
        )

    def _read_token(self, chat: ChatRequest) -> ChatToken | None:
        if not chat.chat_token:
            return None
        result = self._signer.verify(
            chat.chat_token, chat.team.name, chat.model, self._clock.now()
        )
        return result.unwrap() if isinstance(result, Success) else None


def _estimate_tokens(turns: Sequence[ChatTurn]) -> int:
    return sum(len(turn.text) for turn in turns) // _CHARACTERS_FOR_TOKEN


def _select_version(
    chat_key: int, targets: Sequence[TargetState], shares: Mapping[str, float]
) -> Sequence[TargetState]:
    """Return the targets of the chat's version.

    A chat of a minority version without a usable target goes to the version with
    the greatest share; the other way round would send a new version more than its
    share.
    """
    if not any(share > 0 for share in shares.values()):
        return targets
    chosen = choose_version(chat_key, shares)
    selected = [t for t in targets if t.version == chosen]
    if any(t.ready and not t.leaving for t in selected):
        return selected
    largest = max(shares, key=lambda version: shares[version])
    return [t for t in targets if t.version == largest]
