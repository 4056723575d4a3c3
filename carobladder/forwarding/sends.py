"""One send of a call to a target, up to the head of its answer."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from carobladder.clients.http import AnswerStream, HttpClient
from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerOverdueError,
    ConnectionBrokenError,
    RequestWithheldError,
    TargetError,
)
from carobladder.fleet import (
    AnswerMetadata,
    AnswerTallies,
    CallMetadata,
    ExchangeCodec,
    FleetTarget,
    RouteLatencies,
)
from carobladder.forwarding.attempts import OpenCall, suspect_target
from carobladder.headers import Headers
from carobladder.routing import Route, Service
from carobladder.telemetry import (
    AnswerOfOtherRequestDropped,
    RequestPlaced,
    TargetLeaving,
    TargetPaused,
    emit,
)

__all__ = ["ForwardedCall", "PromptFinder", "TargetSender"]

# A request whose own limit is this close to the time after which silence counts ends
# without saying anything about its target.
_LIMIT_MARGIN_SECONDS = 0.1
# Say nothing against the target that the request was meant for.
_BLAMELESS_ERRORS = (AnswerOverdueError, RequestWithheldError)


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """Describe a call independently of the target that runs it.

    ``prefixes`` are the keys of the prompt's shared prefixes, the longest first, and
    ``prefix_tokens`` the sizes of the parts that they end with.
    ``limit_at`` is the monotonic time at which the call must have its answer.
    ``version`` of the configuration and its age are those that the checks rested on.
    """

    route: Route
    service: Service
    facts: CallMetadata
    team: str
    priority: int
    method: str
    target: str
    fields: Headers
    body: bytes
    prefixes: tuple[int, ...]
    prefix_tokens: tuple[int, ...]
    limit_at: float
    version: int
    records_age_seconds: float

    @property
    def affinity(self) -> int | None:
        """Return the key that ranks the targets, or None without a prompt."""
        return self.prefixes[0] if self.prefixes else None


class PromptFinder(Protocol):
    """Know which targets keep which prompts."""

    async def find_source(
        self, prefixes: Sequence[int], sizes: Sequence[int], target: FleetTarget
    ) -> FleetTarget | None:
        """Return a target to copy a prompt from that ``target`` is about to read.

        ``prefixes`` are the keys of the shared prefixes, the longest first, ``sizes``
        the tokens of the parts that they end with.
        """


@dataclass(frozen=True, slots=True)
class TargetSender:
    """Send calls to targets and note what each send tells of its target.

    ``warn`` is called with a target that sent no byte since a request, and with the
    time of that request.
    """

    client: HttpClient
    codec: ExchangeCodec
    prompts: PromptFinder
    tallies: AnswerTallies
    times: RouteLatencies
    clock: Clock
    warn: Callable[[FleetTarget, float], None]

    async def send(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        extra_headers: Headers,
        sends: int,
        wait_seconds: float,
        note_write: Callable[[], bool],
    ) -> OpenCall:
        """Return the answer once its headers arrived; raises TargetError.

        ``sends`` counts the sends of the call, this one included. ``note_write`` is
        called when the request is about to be written.
        """
        sent_at = self.clock.monotonic()
        loop = asyncio.get_running_loop()
        target.health.in_flight += 1
        patience = self.choose_first_byte_timeout(call, target)
        alarm = None
        if self._left_seconds(call) > patience + _LIMIT_MARGIN_SECONDS:
            alarm = loop.call_later(patience, self._note_silence, target, sent_at)
        try:
            source = await self._find_prompt_source(call, target)
            self._log_placement(call, target, source, sends)
            answer = await self.client.open(
                call.method,
                target.entry.address,
                call.target,
                headers=self._build_fields(call, target, extra_headers, source),
                body=call.body,
                timeout_seconds=wait_seconds,
                may_repeat=False,
                confirm=lambda: self._confirm(target) and note_write(),
            )
            limit_at = loop.time() + wait_seconds
            facts = await self._match_answer(call, target, answer, limit_at)
        except TargetError as error:
            target.health.in_flight -= 1
            seconds = self.clock.monotonic() - sent_at
            if error.request_written and seconds >= patience:
                self._tally(call, target, seconds, failed=False)
            if seconds >= patience or not isinstance(error, _BLAMELESS_ERRORS):
                suspect_target(target, str(error), self.clock.monotonic())
            raise
        except BaseException:
            target.health.in_flight -= 1
            self._note_unanswered(call, target, sent_at)
            raise
        finally:
            if alarm is not None:
                alarm.cancel()
        self._note_facts(call, target, facts)
        return OpenCall(
            answer,
            target,
            facts,
            sent_at,
            self.clock,
            lambda opened, broken: self._tally_answer(call, opened, broken),
        )

    def choose_first_byte_timeout(
        self, call: ForwardedCall, target: FleetTarget
    ) -> float:
        """Return the seconds after which a silent target is likely to be dark."""
        return self.times.choose_first_byte_timeout(
            call.route.name, target, reads_prompt=call.affinity is not None
        )

    async def _match_answer(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        answer: AnswerStream,
        limit_at: float,
    ) -> AnswerMetadata:
        """Return the facts of the answer that belongs to this request."""
        codec, request_id = self.codec, call.facts.request_id
        facts = codec.read_answer(answer.status, answer.headers)
        while facts.request_id and facts.request_id != request_id:
            emit(
                AnswerOfOtherRequestDropped(
                    request_id, facts.request_id, target.target_id
                )
            )
            await answer.skip_to_next(limit_at)
            facts = codec.read_answer(answer.status, answer.headers)
        if answer.status < HTTPStatus.MULTIPLE_CHOICES and not (
            facts.signed and facts.request_id
        ):
            answer.close()
            raise ConnectionBrokenError(
                "the target's answer lacks its signature; it was dropped",
                request_written=True,
            )
        return facts

    def _confirm(self, target: FleetTarget) -> bool:
        """Tell whether the target still takes requests once it is connected."""
        return target.is_available(self.clock.monotonic())

    def _note_facts(
        self, call: ForwardedCall, target: FleetTarget, facts: AnswerMetadata
    ) -> None:
        if facts.misdirected:
            # What the answer says is about another target.
            return
        now = self.clock.monotonic()
        request_id = call.facts.request_id
        if facts.leaving and target.note_leaving():
            emit(TargetLeaving(target.target_id, request_id))
        if facts.pause_seconds is not None:
            target.note_pause(facts.pause_seconds, now)
            pause_seconds = round(target.read_pause(now), 3)
            emit(TargetPaused(target.target_id, request_id, pause_seconds))
        if facts.load is not None:
            target.health.note_load(facts.load, now)
        if facts.cold_seconds is not None:
            target.note_cold(facts.cold_seconds, now)

    def _note_silence(self, target: FleetTarget, sent_at: float) -> None:
        """Suspect a target that has sent nothing at all since this request."""
        if target.health.last_byte_at < sent_at:
            why = "it sent no byte for the time that is usual"
            suspect_target(target, why, self.clock.monotonic())
            self.warn(target, sent_at)

    def _note_unanswered(
        self, call: ForwardedCall, target: FleetTarget, sent_at: float
    ) -> None:
        """Learn from a request that ended without an answer of a sound target."""
        if target.health.last_byte_at > sent_at:
            seconds = self.clock.monotonic() - sent_at
            self.times.note_unanswered(call.route.name, seconds)

    def _build_fields(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        extra_headers: Headers,
        source: str,
    ) -> Headers:
        replaced = {name.lower() for name, _ in extra_headers}
        kept = [field for field in call.fields if field[0] not in replaced]
        own = self.codec.write_call(
            target.target_id,
            self._left_seconds(call),
            call.team,
            call.priority,
            source,
        )
        return (*kept, *own, *extra_headers)

    def _log_placement(
        self, call: ForwardedCall, target: FleetTarget, source: str, sends: int
    ) -> None:
        now = self.clock.monotonic()
        emit(
            RequestPlaced(
                request_id=call.facts.request_id,
                route=call.route.name,
                team=call.team,
                service=call.service.name,
                target=target.target_id,
                sends=sends,
                left_seconds=round(self._left_seconds(call), 3),
                load=_round(target.health.estimate_load(now)),
                cold=target.is_cold(now),
                prompt_source=source,
                version=call.version,
                records_age_seconds=round(call.records_age_seconds, 2),
            )
        )

    async def _find_prompt_source(
        self, call: ForwardedCall, target: FleetTarget
    ) -> str:
        """Return the address to copy the shared prompt from, or nothing."""
        source = await self.prompts.find_source(
            call.prefixes, call.prefix_tokens, target
        )
        return source.entry.address if source else ""

    def _left_seconds(self, call: ForwardedCall) -> float:
        return max(0.0, call.limit_at - self.clock.monotonic())

    def _tally_answer(
        self, call: ForwardedCall, opened: OpenCall, broken: bool
    ) -> None:
        seconds = opened.first_byte_seconds
        if opened.facts.not_run or seconds is None:
            return
        self.times.note_answer(call.route.name, seconds)
        failed = broken or opened.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._tally(call, opened.target, seconds, failed=failed)

    def _tally(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        seconds: float,
        *,
        failed: bool,
    ) -> None:
        """Count an answer, or its absence, for the comparison of versions."""
        self.tallies.note_answer(
            target,
            call.route,
            failed=failed,
            first_byte_seconds=seconds,
            now=self.clock.monotonic(),
        )


def _round(load: float | None) -> float | None:
    return None if load is None else round(load, 1)
