"""Chat completions."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from carobladder.clock import Clock
from carobladder.exceptions import (
    CallerGoneError,
    DeadlineExceededError,
    MalformedRequestError,
    UnknownModelError,
)
from carobladder.gateway.attempts import (
    CallSession,
    TargetCall,
    TargetCaller,
)
from carobladder.gateway.ports import (
    Answer,
    ChatRequest,
    ChatTurn,
    Directory,
    Placement,
    Ranking,
    Request,
    Responder,
)
from carobladder.gateway.relay import (
    EVENT_STREAM,
    RelayTimeouts,
    StreamAttempt,
    StreamObserver,
    StreamRelay,
    find_content_type,
)
from carobladder.gateway.requests import authenticate, read_deadline, read_request_class
from carobladder.headers import Headers
from carobladder.targets import CLASS_PRIORITY, RequestClass, TargetState
from carobladder.telemetry import GatewayMetrics

__all__ = ["ChatHandler", "ChatOptions"]

_ENGINE_PATH = "/v1/chat/completions"
# Used to estimate the length of a context whose tokens the engine has not counted.
_CHARACTERS_PER_TOKEN = 4
_STREAM_ROUTE = "stream"
_WHOLE_ROUTE = "whole"


class _Message(msgspec.Struct):
    role: str
    content: str | list[msgspec.Raw] | None = None


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool | None = False


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _ChatResponseBody(msgspec.Struct):
    usage: _Usage | None = None


@dataclass(frozen=True, slots=True)
class ChatOptions:
    """Settings of chat completions."""

    default_deadline_seconds: float = 60.0
    timeouts: RelayTimeouts = field(default_factory=RelayTimeouts)


class ChatHandler:
    """Handler that validates completion requests and relays an engine's response."""

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        caller: TargetCaller,
        options: ChatOptions,
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._caller = caller
        self._options = options
        self._body_decoder = msgspec.json.Decoder(_ChatBody)
        self._answer_decoder = msgspec.json.Decoder(_ChatResponseBody)

    @property
    def _clock(self) -> Clock:
        return self._caller.clock

    @property
    def _metrics(self) -> GatewayMetrics:
        return self._caller.metrics

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to POST /v1/chat/completions."""
        team = authenticate(request, self._directory)
        body = self._decode_body(request.body)
        if body.model not in team.models:
            raise UnknownModelError(f"model {body.model!r} is not declared")
        chat = ChatRequest(
            team=team,
            model=body.model,
            request_class=read_request_class(request, RequestClass.QUICK),
            turns=tuple(_parse_turn(message) for message in body.messages),
            chat_id=request.headers.get("x-chat-id", ""),
            chat_token=request.headers.get("x-chat-token", ""),
        )
        streamed = bool(body.stream)
        session = self._caller.start(self._build_call(request, chat, streamed))
        if streamed:
            await self._send_stream(request, responder, chat, session)
        else:
            await self._send_complete_answer(responder, chat, session)
        seconds = self._clock.monotonic() - request.received
        self._metrics.observe_request(team.name, chat.request_class, seconds)

    def _decode_body(self, raw: bytes) -> _ChatBody:
        try:
            body = self._body_decoder.decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedRequestError(
                f"body is not a completion request: {error}"
            ) from None
        if not body.messages:
            raise MalformedRequestError("messages must not be empty")
        return body

    def _build_call(
        self, request: Request, chat: ChatRequest, streamed: bool
    ) -> TargetCall:
        options = self._options
        deadline = read_deadline(request, options.default_deadline_seconds)
        if self._clock.monotonic() >= deadline:
            raise DeadlineExceededError("the deadline passed before the call was sent")

        def rank(targets: Sequence[TargetState], version: str | None) -> Ranking:
            # A response that has started must be completed by the same version, even
            # if that version no longer has a traffic share.
            shares = (
                {version: 1.0}
                if version is not None
                else self._directory.version_shares(chat.model)
            )
            return self._placement.rank(chat, targets, shares)

        # The headers of a complete response arrive only after its last token.
        first_byte_seconds = (
            options.timeouts.first_byte_seconds
            if streamed
            else options.default_deadline_seconds + deadline - request.received
        )
        return TargetCall(
            team=chat.team,
            request_class=chat.request_class,
            pool=chat.model,
            list_targets=lambda: self._directory.list_targets(chat.model),
            rank=rank,
            method="POST",
            path=_ENGINE_PATH,
            headers=(
                ("Content-Type", "application/json"),
                ("X-Priority", str(CLASS_PRIORITY[chat.request_class])),
                ("X-Request-Id", request.request_id),
            ),
            body=request.body,
            request_id=request.request_id,
            deadline=deadline,
            first_byte_seconds=first_byte_seconds,
            route=_STREAM_ROUTE if streamed else _WHOLE_ROUTE,
        )

    async def _send_complete_answer(
        self, responder: Responder, chat: ChatRequest, session: CallSession
    ) -> None:
        answer = await session.fetch()
        session.note_outcome(answer.target, failed=False)
        headers = (
            ("Content-Type", find_content_type(answer.headers)),
            *self._build_token_headers(
                chat, answer.target, self._read_token_count(answer.body)
            ),
        )
        await responder.send_answer(Answer(answer.status, headers, answer.body))

    async def _send_stream(
        self,
        request: Request,
        responder: Responder,
        chat: ChatRequest,
        session: CallSession,
    ) -> None:
        metrics = self._metrics
        team, request_class = chat.team.name, chat.request_class
        observer = StreamObserver(
            monotonic=self._clock.monotonic,
            received=request.received,
            observe_first=lambda seconds: metrics.observe_first_token(
                team, request_class, seconds
            ),
            observe_gap=metrics.create_gap_observer(request_class),
        )
        relay = StreamRelay(
            session,
            responder,
            self._options.timeouts,
            observer,
            lambda opened: self._build_stream_headers(chat, opened),
        )
        try:
            with metrics.open_streams.track_inprogress():
                error = await relay.run()
        except (asyncio.CancelledError, CallerGoneError):
            metrics.count_cancelled_stream()
            raise
        if error is not None:
            metrics.count_broken_stream(error.code)
        elif relay.served_by is not None:
            session.note_outcome(
                relay.served_by,
                failed=False,
                first_token_seconds=relay.first_byte_seconds,
                gap_seconds=relay.mean_gap_seconds,
                prompt_tokens=_estimate_tokens(chat),
            )

    def _build_stream_headers(
        self, chat: ChatRequest, opened: StreamAttempt[TargetState]
    ) -> Headers:
        content_type = find_content_type(opened.answer.headers)
        headers = [("Content-Type", content_type)]
        if content_type.startswith(EVENT_STREAM):
            headers.append(("Cache-Control", "no-cache"))
        return (*headers, *self._build_token_headers(chat, opened.target, 0))

    def _build_token_headers(
        self, chat: ChatRequest, target: TargetState, tokens: int
    ) -> Headers:
        if not tokens:
            tokens = _estimate_tokens(chat)
        token = self._placement.issue_token(chat, target, tokens)
        return (("X-Chat-Token", token),) if token else ()

    def _read_token_count(self, body: bytes) -> int:
        """Return the token count that the engine reported, or 0."""
        try:
            usage = self._answer_decoder.decode(body).usage
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return 0
        return usage.total_tokens if usage else 0


def _estimate_tokens(chat: ChatRequest) -> int:
    return sum(len(turn.text) for turn in chat.turns) // _CHARACTERS_PER_TOKEN


def _parse_turn(message: _Message) -> ChatTurn:
    content = message.content
    if content is None:
        return ChatTurn(message.role, "")
    if isinstance(content, str):
        return ChatTurn(message.role, content)
    text = b"\n".join(bytes(part) for part in content)
    return ChatTurn(message.role, text.decode("utf-8", "replace"))
