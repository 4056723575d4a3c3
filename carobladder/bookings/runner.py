"""Service calls that run at most once for each idempotency key."""

import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from carobladder.bookings.claims import (
    MAX_RECORDED_BODY_BYTES,
    Claim,
    Completion,
    Withdrawal,
)
from carobladder.bookings.keys import BookingKey, parse_key
from carobladder.bookings.ledger import LedgerEntry
from carobladder.bookings.reader import ClaimReader
from carobladder.bookings.writer import ClaimWriter
from carobladder.clock import Clock, run_with_timeout
from carobladder.exceptions import (
    IdempotencyKeyError,
    LogUnavailableError,
    NotReadyError,
    OutcomeUnknownError,
    TargetError,
)
from carobladder.gateway.ports import ServiceAnswer, ServiceRoute, Team
from carobladder.telemetry import log_event

__all__ = ["BODY_OMITTED_HEADER", "BookingRunner", "OutcomeLookup"]

BODY_OMITTED_HEADER = "x-body-omitted"

_RETRY_AFTER_SECONDS = 1.0


class OutcomeLookup(Protocol):
    """Interface to ask a service for the booking that it made under a key."""

    def find_route(self, service: str) -> ServiceRoute | None:
        """Return the route of a service by its name, or None."""

    async def look_up(self, route: ServiceRoute, key: str) -> ServiceAnswer | None:
        """Return the service's response, or None if it has no such booking."""


@dataclass(frozen=True, slots=True)
class _Call:
    """One call of ``run_once`` with its claim; ``started`` is in monotonic seconds."""

    route: ServiceRoute
    key: BookingKey
    claim: Claim
    started: float


class BookingRunner:
    """Run calls at most once; implements ``gateway.ports.Bookings``.

    Only the instance with the first claim of a key, in log order, may send. No other
    one sends for that key unless the claim is withdrawn. An instance that stops or
    is paused therefore leaves an unknown outcome but causes no second call.
    """

    def __init__(
        self,
        instance_id: str,
        clock: Clock,
        reader: ClaimReader,
        writer: ClaimWriter,
        lookup: OutcomeLookup,
        window: timedelta,
        claim_seconds: float = 5.0,
        outcome_wait_seconds: float = 5.0,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._reader = reader
        self._writer = writer
        self._lookup = lookup
        self._window = window
        self._claim_seconds = claim_seconds
        self._outcome_wait_seconds = outcome_wait_seconds

    async def run_once(
        self,
        team: Team,
        route: ServiceRoute,
        key: str,
        call: Callable[[], Awaitable[ServiceAnswer]],
        fingerprint: str = "",
    ) -> ServiceAnswer:
        """Return the response to the only call of the key.

        Raises IdempotencyKeyError for an unusable key, NotReadyError if the call did
        not run and OutcomeUnknownError if it may have run.
        """
        booking_key = parse_key(team.name, key)
        booking_key.check_age(self._clock.now(), self._window)
        if not self._reader.caught_up:
            raise NotReadyError(
                "the claims stream is not read yet", _RETRY_AFTER_SECONDS
            )
        attempt = self._build_call(booking_key, route, fingerprint)
        existing = self._find_entry(booking_key)
        if existing is not None and not existing.withdrawn:
            return await self._wait_for_answer(attempt, existing)
        entry = await self._claim(attempt)
        if entry.holder.claim_id != attempt.claim.claim_id:
            return await self._wait_for_answer(attempt, entry)
        return await self._send(attempt, call)

    async def find_outcome(self, team: Team, key: str) -> ServiceAnswer | None:
        """Return the response to the call of a key, or None if none was made with it.

        Raises OutcomeUnknownError if a call was claimed and neither the log nor the
        service has its response, and NotReadyError before the claims stream is read.
        """
        entry = self._find_entry(parse_key(team.name, key))
        if not self._reader.caught_up:
            raise NotReadyError(
                "the claims stream is not read yet", _RETRY_AFTER_SECONDS
            )
        if entry is None or entry.withdrawn:
            return None
        if entry.completion is not None:
            return _restore_answer(entry.completion)
        route = self._lookup.find_route(entry.holder.service)
        return await self._resolve_unknown(route, entry.holder.key, None)

    def _build_call(
        self, key: BookingKey, route: ServiceRoute, fingerprint: str
    ) -> _Call:
        claim = Claim(
            team=key.team,
            key=key.value,
            claim_id=uuid.uuid4().hex,
            instance=self._instance_id,
            service=route.service,
            fingerprint=fingerprint,
            claimed_at_ms=int(self._clock.now().timestamp() * 1000),
        )
        return _Call(route, key, claim, self._clock.monotonic())

    def _find_entry(self, key: BookingKey) -> LedgerEntry | None:
        return self._reader.ledger.find(key.team, key.value)

    async def _claim(self, attempt: _Call) -> LedgerEntry:
        """Append the claim and return the key's entry once the claim is applied.

        Whether the claim holds the key is known only when its own offset is applied,
        as an earlier claim may be withdrawn before that offset.
        """
        try:
            return await run_with_timeout(
                self._clock, self._append_and_read(attempt), self._claim_seconds
            )
        except (LogUnavailableError, TimeoutError) as error:
            self._withdraw(attempt)
            raise NotReadyError(
                "this call was not run, earlier calls with the key are not affected; "
                f"the claim could not be written: {error}",
                _RETRY_AFTER_SECONDS,
            ) from error

    async def _append_and_read(self, attempt: _Call) -> LedgerEntry:
        offset = await self._writer.append(attempt.claim)
        while self._reader.ledger.next_offset <= offset:
            await self._reader.wait_for_change()
        entry = self._find_entry(attempt.key)
        if entry is None:
            raise LogUnavailableError("the claim was dropped before it was read")
        return entry

    def _withdraw(self, attempt: _Call) -> None:
        """Withdraw a claim under which nothing was sent, so that the key is free."""
        claim = attempt.claim
        withdrawal = Withdrawal(claim.team, claim.key, claim.claim_id)
        try:
            self._writer.append_in_background(withdrawal)
        except LogUnavailableError as error:
            log_event("withdrawal not queued", key=claim.key, error=str(error))

    async def _send(
        self, attempt: _Call, call: Callable[[], Awaitable[ServiceAnswer]]
    ) -> ServiceAnswer:
        if self._clock.monotonic() > attempt.started + self._claim_seconds:
            # The process was paused, and the caller has probably timed out or retried
            # at another instance.
            self._withdraw(attempt)
            raise NotReadyError(
                "the claim expired before the call was sent", _RETRY_AFTER_SECONDS
            )
        try:
            answer = await call()
        except TargetError as error:
            if not error.request_written:
                self._withdraw(attempt)
                raise NotReadyError(
                    f"the service could not be reached: {error}", _RETRY_AFTER_SECONDS
                ) from error
            return await self._resolve_unknown(attempt.route, attempt.key.value, error)
        self._record_answer(attempt.claim, answer)
        return answer

    async def _resolve_unknown(
        self, route: ServiceRoute | None, key: str, error: Exception | None
    ) -> ServiceAnswer:
        """Return the response from the service's lookup.

        Raises OutcomeUnknownError if it has none: the call may still be running.
        """
        answer = None
        if route is not None and route.lookup_path:
            answer = await self._look_up(route, key)
        if answer is None:
            raise OutcomeUnknownError(
                "the service may have run the call but its answer is not known"
            ) from error
        return answer

    async def _look_up(self, route: ServiceRoute, key: str) -> ServiceAnswer | None:
        try:
            return await self._lookup.look_up(route, key)
        except TargetError as error:
            log_event("booking lookup failed", key=key, error=str(error))
            return None

    def _record_answer(self, claim: Claim, answer: ServiceAnswer) -> None:
        omitted = len(answer.body) > MAX_RECORDED_BODY_BYTES
        completion = Completion(
            team=claim.team,
            key=claim.key,
            claim_id=claim.claim_id,
            status=answer.status,
            headers=answer.headers,
            body=b"" if omitted else answer.body,
            body_omitted=omitted,
        )
        try:
            self._writer.append_in_background(completion)
        except LogUnavailableError as error:
            log_event("completion not queued", key=claim.key, error=str(error))

    async def _wait_for_answer(
        self, attempt: _Call, entry: LedgerEntry
    ) -> ServiceAnswer:
        """Return the response to the call of the claim that holds the key.

        Raises IdempotencyKeyError if that call was another request, NotReadyError if
        the claim is withdrawn and OutcomeUnknownError without a response in time.
        """
        if entry.holder.fingerprint != attempt.claim.fingerprint:
            raise IdempotencyKeyError("the key was already used with another request")
        deadline = self._clock.monotonic() + self._outcome_wait_seconds
        while entry.completion is None and not entry.withdrawn:
            if not await self._wait_for_change(deadline):
                return await self._resolve_unknown(
                    attempt.route, attempt.key.value, None
                )
            entry = self._find_entry(attempt.key) or entry
        if entry.completion is None:
            raise NotReadyError(
                "the first call with the key was not run", _RETRY_AFTER_SECONDS
            )
        return _restore_answer(entry.completion)

    async def _wait_for_change(self, deadline: float) -> bool:
        """Wait until the ledger changes; return False at the deadline."""
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return False
        try:
            await run_with_timeout(
                self._clock, self._reader.wait_for_change(), remaining
            )
        except TimeoutError:
            return False
        return True


def _restore_answer(completion: Completion) -> ServiceAnswer:
    headers = completion.headers
    if completion.body_omitted:
        headers = (*headers, (BODY_OMITTED_HEADER, "true"))
    return ServiceAnswer(completion.status, headers, completion.body)
