"""Placement of chats by policy, version shares, running moves and signed tokens."""

from collections.abc import Callable, Mapping, Sequence

from returns.result import Success

from carobladder.clock import Clock
from carobladder.gateway.ports import ChatRequest, ChatTurn, Ranking
from carobladder.moves.datacentres import (
    DataCentreMoveState,
    RoutingPreference,
    find_routing_preference,
)
from carobladder.placement.keys import (
    ChatMessage,
    choose_version,
    derive_chat_key,
    derive_prefix_key,
)
from carobladder.placement.policy import Placement as Placed
from carobladder.placement.policy import PlacementPolicy, PlacementRequest
from carobladder.placement.tokens import ChatToken, TokenSigner
from carobladder.targets import TargetState

__all__ = ["FleetPlacement"]

_CHARACTERS_PER_TOKEN = 4
_PREFIX_ROLES = frozenset({"system", "developer"})


def _list_no_returns() -> Mapping[str, DataCentreMoveState]:
    return {}


class FleetPlacement:
    """Placement port of the gateway.

    ``list_returning`` returns the data centres that are returning.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        signer: TokenSigner,
        clock: Clock,
        list_returning: Callable[
            [], Mapping[str, DataCentreMoveState]
        ] = _list_no_returns,
    ) -> None:
        self._list_returning = list_returning
        self._policy = policy
        self._signer = signer
        self._clock = clock

    def rank(
        self,
        chat: ChatRequest,
        targets: Sequence[TargetState],
        shares: Mapping[str, float],
    ) -> Ranking:
        """Return the usable targets for a chat, best first."""
        request = self._make_placement_request(chat)
        returning = self._list_returning()
        ranked: list[str] = []
        first: Placed | None = None
        for group in _group_by_version(request.chat_key, targets, shares):
            for part in _split_by_rule(request, group, returning):
                placed = self._policy.place(request, part)
                ranked += placed.ranked
                if first is None and placed.ranked:
                    first = placed
        if first is None:
            return Ranking([])
        return Ranking(
            ranked,
            first.sticky_seconds,
            min(first.near_count, len(first.ranked)),
            first.near_seconds,
        )

    def issue_token(
        self, chat: ChatRequest, target: TargetState, context_tokens: int
    ) -> str:
        """Return a signed token that names the target which served the chat."""
        token = ChatToken(
            target_id=target.target_id,
            boot_id=target.boot_id,
            issued=int(self._clock.now().timestamp()),
            context_tokens=context_tokens,
        )
        return self._signer.sign(token, chat.team.name, chat.model)

    def _make_placement_request(self, chat: ChatRequest) -> PlacementRequest:
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


def _split_by_rule(
    request: PlacementRequest,
    targets: Sequence[TargetState],
    returning: Mapping[str, DataCentreMoveState],
) -> tuple[Sequence[TargetState], Sequence[TargetState]]:
    """Return the preferred targets and those used only for overflow.

    A returning data centre also serves requests for which the others lack capacity.
    """
    if not returning:
        return targets, ()
    preferred: list[TargetState] = []
    overflow: list[TargetState] = []
    for target in targets:
        state = returning.get(target.data_centre)
        rule = RoutingPreference.PREFERRED
        if state is not None:
            has_context = _holds_context(request.token, target)
            rule = find_routing_preference(state, request.prefix_key, has_context)
        if rule is RoutingPreference.PREFERRED:
            preferred.append(target)
        elif rule is RoutingPreference.OVERFLOW:
            overflow.append(target)
    return preferred, overflow


def _holds_context(token: ChatToken | None, target: TargetState) -> bool:
    return token is not None and (token.target_id, token.boot_id) == (
        target.target_id,
        target.boot_id,
    )


def _estimate_tokens(turns: Sequence[ChatTurn]) -> int:
    return sum(len(turn.text) for turn in turns) // _CHARACTERS_PER_TOKEN


def _group_by_version(
    chat_key: int, targets: Sequence[TargetState], shares: Mapping[str, float]
) -> list[Sequence[TargetState]]:
    """Return the targets of the chat's version, then those of its substitute.

    If a chat of a minority version finds no slot there, it falls back to the version
    with the largest share, since a faulty version has few slots. There is no fallback
    in the other direction, which would send a new version more than its share.
    """
    if not any(share > 0 for share in shares.values()):
        return [targets]
    chosen = choose_version(chat_key, shares)
    largest = max(shares, key=lambda version: shares[version])
    versions = [chosen]
    if shares[largest] > shares[chosen]:
        versions.append(largest)
    return [[t for t in targets if t.version == version] for version in versions]
