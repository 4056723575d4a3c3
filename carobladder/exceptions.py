"""Typed errors of the package; each message names its remedy."""

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar

from carobladder.memory import MemoryBudget

__all__ = [
    "AnswerOverdueError",
    "AnswerTimeoutError",
    "BadCredentialsError",
    "BodyTooLargeError",
    "CallerError",
    "CallerGoneError",
    "CarobladderError",
    "ChangeUnknownError",
    "ClientError",
    "ConnectionBrokenError",
    "DeadlineExceededError",
    "ForbiddenError",
    "HeaderTooLargeError",
    "IdempotencyKeyError",
    "InternalFaultError",
    "InvalidResourceError",
    "KnowledgeOutdatedError",
    "LogUnavailableError",
    "MalformedRequestError",
    "MemoryExceededError",
    "MemoryShortError",
    "MethodNotAllowedError",
    "MissingResourceError",
    "NoCapacityError",
    "NoTargetError",
    "NotReadyError",
    "OffsetDroppedError",
    "OffsetGapError",
    "Outcome",
    "OutcomeUnknownError",
    "OverloadedError",
    "PeerMessageError",
    "PromptQuarantinedError",
    "RecordVersionError",
    "RequestTimeoutError",
    "RequestWithheldError",
    "RevisionConflictError",
    "SettingsError",
    "ShuttingDownError",
    "SnapshotError",
    "TargetError",
    "TargetFailedError",
    "TargetRefusedError",
    "TargetsBusyError",
    "TargetsLimitedError",
    "TargetsPausedError",
    "UnknownModelError",
    "UnknownOutcomeError",
    "UnknownPathError",
    "UnknownResourceError",
    "WatchExpiredError",
]


class Outcome(StrEnum):
    """Tell a caller what is known about the effect of its request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CarobladderError(Exception):
    """Base of all errors that the package raises on purpose."""


class SettingsError(CarobladderError):
    """Report a setting that is unknown, missing or contradictory."""


class LogUnavailableError(CarobladderError):
    """Report that the platform's log did not answer.

    ``may_have_taken_effect`` is true when an append was sent and its answer lost.
    """

    def __init__(self, message: str, may_have_taken_effect: bool = False) -> None:
        super().__init__(message)
        self.may_have_taken_effect = may_have_taken_effect


class OffsetDroppedError(CarobladderError):
    """Report that the log does not have the requested offset.

    ``era`` is that of the platform's store, None if the log has no eras.
    """

    def __init__(self, oldest_offset: int, era: int | None = None) -> None:
        super().__init__(
            f"log offset is no longer retained; read from {oldest_offset} or a snapshot"
        )
        self.oldest_offset = oldest_offset
        self.era = era


class PeerMessageError(CarobladderError):
    """Report a message from another instance that cannot be used."""


class TargetError(CarobladderError):
    """Base of failures of a call to a target.

    ``request_written`` is true when any byte of the request may have arrived.
    """

    def __init__(self, message: str, request_written: bool) -> None:
        super().__init__(message)
        self.request_written = request_written


class ConnectionBrokenError(TargetError):
    """Report a connection to a target that failed or closed too early.

    ``answer_started`` is true if a byte of the answer had arrived.
    """

    def __init__(
        self, message: str, request_written: bool, answer_started: bool = False
    ) -> None:
        super().__init__(message, request_written)
        self.answer_started = answer_started


class AnswerOverdueError(ConnectionBrokenError):
    """Report that an answer did not go on within the caller's time limit."""


class MemoryExceededError(ConnectionBrokenError):
    """Report an answer that was given up because it needs more memory than is left.

    ``held_bytes`` is what it needs at least, ``used_bytes`` what the process keeps of
    all answers, and ``limit_bytes`` the bound on that.
    """

    def __init__(self, reason: str, held_bytes: int, budget: MemoryBudget) -> None:
        super().__init__(
            f"{reason} at {held_bytes} bytes, while all answers keep "
            f"{budget.used_bytes} of {budget.limit_bytes}; request less at a time",
            request_written=True,
            answer_started=True,
        )
        self.held_bytes = held_bytes
        self.used_bytes = budget.used_bytes
        self.limit_bytes = budget.limit_bytes


class TargetRefusedError(TargetError):
    """Report that a target answered with a refusal instead of running the request."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message, request_written=True)
        self.status = status


class RequestWithheldError(TargetError):
    """Report a request that was not written because its permit had lapsed."""


class CallerGoneError(CarobladderError):
    """Report a caller that no longer takes its answer."""


@dataclass(eq=False)
class CallerError(CarobladderError):
    """Base of errors that are answered to a caller as JSON."""

    message: str
    retry_after_seconds: float | None = None

    status: ClassVar[int] = 500
    code: ClassVar[str] = "internal_error"
    remedy: ClassVar[str] = "retry later; report the request id if it happens again"
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


class MalformedRequestError(CallerError):
    """Report a request that is not valid HTTP or not a valid body."""

    status = 400
    code = "malformed_request"
    remedy = "send a well-formed HTTP/1.1 request with a JSON body"


class BadCredentialsError(CallerError):
    """Report missing or unknown credentials."""

    status = 401
    code = "bad_credentials"
    remedy = "send the team's key as 'Authorization: Bearer KEY'"


class UnknownModelError(CallerError):
    """Report a model that the team may not use or that does not exist."""

    status = 404
    code = "unknown_model"
    remedy = "use a model that the operator declared for this team"


class UnknownPathError(CallerError):
    """Report a path that no service of the team declares."""

    status = 404
    code = "unknown_path"
    remedy = "use /v1/chat/completions or a path that a service declares"


class RequestTimeoutError(CallerError):
    """Report a caller that did not send its request in time."""

    status = 408
    code = "request_timeout"
    remedy = "send the whole request without long pauses"


class BodyTooLargeError(CallerError):
    """Report a request body over the limit."""

    status = 413
    code = "body_too_large"
    remedy = "shorten the body or ask the operator to raise --max-body-bytes"


class HeaderTooLargeError(CallerError):
    """Report request headers over the limit."""

    status = 431
    code = "header_too_large"
    remedy = "send fewer or shorter headers"


class IdempotencyKeyError(CallerError):
    """Report a missing or unusable idempotency key."""

    status = 400
    code = "idempotency_key"
    remedy = "send a fresh UUIDv7 in the Idempotency-Key header and keep it on retries"


class NoCapacityError(CallerError):
    """Report that the request cannot be served in time."""

    status = 429
    code = "no_capacity"
    remedy = "retry after the time in the Retry-After header"


class NotReadyError(CallerError):
    """Report that the instance or the platform cannot accept the request now."""

    status = 503
    code = "not_ready"
    remedy = "retry after the time in the Retry-After header, on any instance"


class ShuttingDownError(NotReadyError):
    """Report that the instance ends before it could answer the request."""

    code = "shutting_down"


class KnowledgeOutdatedError(NotReadyError):
    """Report that the store was not read recently enough to decide."""

    code = "knowledge_outdated"


class MemoryShortError(NotReadyError):
    """Report that other requests use the memory that this one needs.

    ``retry_after_seconds`` is the time until one of them must have returned some.
    """

    code = "memory_short"


class NoTargetError(NotReadyError):
    """Report that no target of the service may receive the request."""

    code = "no_target"


class TargetsBusyError(NotReadyError):
    """Report that each target asked has stated that it did not run the request."""

    code = "targets_busy"


class OverloadedError(NotReadyError):
    """Report a request that other requests to an overloaded service go before."""

    code = "overloaded"


class TargetsPausedError(NotReadyError):
    """Report that each target of the service has asked for a pause.

    ``retry_after_seconds`` is the time until the first of the pauses is over.
    """

    code = "targets_paused"


class TargetsLimitedError(NotReadyError):
    """Report that the rate limits of the service's targets admit no further request.

    ``retry_after_seconds`` is the time until they admit one.
    """

    code = "targets_limited"


class PromptQuarantinedError(NotReadyError):
    """Report a prompt with a part that has crashed the targets that answered it.

    ``retry_after_seconds`` is the time until a request with the part may be tried.
    """

    code = "prompt_quarantined"


class DeadlineExceededError(CallerError):
    """Report a request whose deadline passed before it was started."""

    status = 504
    code = "deadline_exceeded"
    remedy = "send the request with a later X-Deadline-Ms"


class OutcomeUnknownError(CallerError):
    """Report a call that may have taken effect."""

    status = 502
    code = "outcome_unknown"
    remedy = "ask GET /v1/outcomes/KEY or repeat the call with the same Idempotency-Key"
    outcome = Outcome.UNKNOWN


class RevisionConflictError(CallerError):
    """Report a change whose expected revision is not the current one."""

    status = 409
    code = "revision_conflict"
    remedy = "read the resource again and repeat the change on its current revision"


class InvalidResourceError(CallerError):
    """Report a resource or change that the schema or the fleet's state refuses."""

    status = 422
    code = "invalid_resource"
    remedy = "correct the named field and send the resource again"


class ForbiddenError(CallerError):
    """Report an operator request outside the scope of its credentials."""

    status = 403
    code = "forbidden"
    remedy = "use credentials of the operator role or of the team's administrators"


class UnknownResourceError(CallerError):
    """Report a resource, kind or change that does not exist."""

    status = 404
    code = "unknown_resource"
    remedy = "list the kind to see its names"


class WatchExpiredError(CallerError):
    """Report a watch cursor that is older than the retained events."""

    status = 410
    code = "watch_expired"
    remedy = "list the resources and watch from the revision of the list"


class ChangeUnknownError(OutcomeUnknownError):
    """Report a configuration change that may have been accepted."""

    code = "change_unknown"
    remedy = "ask GET /admin/v1/changes/CHANGE-ID or repeat it with the same change id"


class ClientError(CarobladderError):
    """Report an operator command that cannot be carried out."""


class MissingResourceError(ClientError):
    """Report to an operator command that a resource does not exist."""


class RecordVersionError(CarobladderError):
    """Report a configuration record that this version cannot read."""


class SnapshotError(CarobladderError):
    """Report snapshot parts that do not form a whole snapshot."""


class OffsetGapError(CarobladderError):
    """Report a record that does not follow the last applied one."""

    def __init__(self, expected: int, offset: int) -> None:
        super().__init__(
            f"record at offset {offset} does not follow; read again from {expected}"
        )
        self.expected = expected
        self.offset = offset


@dataclass(eq=False)
class MethodNotAllowedError(CallerError):
    """Report a known path with a method that it does not serve."""

    allowed: str = ""

    status = 405
    code = "method_not_allowed"
    remedy = "use the method that the Allow header names"


class UnknownOutcomeError(CallerError):
    """Report an idempotency key of the team that has no recorded answer."""

    status = 404
    code = "unknown_outcome"
    remedy = "check the key, or repeat the call with the same Idempotency-Key"
    outcome = Outcome.UNKNOWN


class AnswerTimeoutError(CallerError):
    """Report a request that was started but not answered by its deadline."""

    status = 504
    code = "answer_timeout"
    remedy = "send the request again with a later X-Deadline-Ms"
    outcome = Outcome.UNKNOWN


class TargetFailedError(CallerError):
    """Report targets that failed after the request was written to one of them."""

    status = 502
    code = "target_failed"
    remedy = "send the request again"
    outcome = Outcome.UNKNOWN


class InternalFaultError(CallerError):
    """Report a fault of the instance itself."""

    outcome = Outcome.UNKNOWN
