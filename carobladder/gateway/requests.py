"""Validation of requests and parsing of their headers."""

import uuid
from dataclasses import astuple, dataclass
from urllib.parse import unquote

import h11

from carobladder.exceptions import (
    BadCredentialsError,
    BodyTooLargeError,
    CallerError,
    HeaderTooLargeError,
    MalformedRequestError,
    NotReadyError,
    ShuttingDownError,
)
from carobladder.gateway.ports import Directory, Request, ServerEnd, Team
from carobladder.targets import RequestClass

__all__ = [
    "RequestLimits",
    "authenticate",
    "build_body_too_large_error",
    "build_end_error",
    "build_request",
    "convert_protocol_error",
    "create_parser",
    "create_request_id",
    "is_other_request",
    "read_deadline",
    "read_request_class",
    "validate_head",
]

_HEADER_OVERHEAD_BYTES = 4
_HEADER_TOO_LARGE_STATUS = 431
# Other instances take a caller at once.
_END_RETRY_SECONDS = 0.05
_MAX_REASON_CHARACTERS = 120
_BEARER_SCHEME = "bearer"
# Distinguishes request ids of the fleet from ids that a target creates.
_REQUEST_ID_PREFIX = "cb-"
_MAX_DEADLINE_MS = 3_600_000
_DOT_SEGMENTS = frozenset({".", ".."})


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits of requests and timeouts of caller connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    read_seconds: float = 10.0
    idle_seconds: float = 75.0
    stalled_write_seconds: float = 30.0

    def widen(self, other: "RequestLimits") -> "RequestLimits":
        """Return the wider one of each limit."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return RequestLimits(*(max(pair) for pair in pairs))


def create_parser(limits: RequestLimits) -> h11.Connection:
    """Return a parser of requests whose heads are within the limits."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)


def create_request_id() -> str:
    """Return a unique request id."""
    return _REQUEST_ID_PREFIX + uuid.uuid4().hex


def is_other_request(answer_id: str, request_id: str) -> bool:
    """Return whether a response has the id of another request of the fleet."""
    return answer_id.startswith(_REQUEST_ID_PREFIX) and answer_id != request_id


def validate_head(head: h11.Request, limits: RequestLimits) -> None:
    """Validate a request line and its headers before the body is read.

    Raises MalformedRequestError, HeaderTooLargeError or BodyTooLargeError.
    """
    size = len(head.target)
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names and b"content-length" in names:
        raise MalformedRequestError(
            "the request has both Transfer-Encoding and Content-Length"
        )
    for name, value in head.headers:
        size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
    if size > limits.max_header_bytes:
        raise build_header_too_large_error(limits)
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            raise build_body_too_large_error(limits)


def build_end_error() -> ShuttingDownError:
    """Return the error for a request that is not read whole as the server ends."""
    return ShuttingDownError(
        "the instance ended before the request was complete", _END_RETRY_SECONDS
    )


def build_header_too_large_error(limits: RequestLimits) -> HeaderTooLargeError:
    """Return the error for headers that exceed the limit."""
    return HeaderTooLargeError(f"headers exceed {limits.max_header_bytes} bytes")


def build_body_too_large_error(limits: RequestLimits) -> BodyTooLargeError:
    """Return the error for a body that exceeds the limit."""
    return BodyTooLargeError(f"body exceeds {limits.max_body_bytes} bytes")


def convert_protocol_error(
    error: h11.RemoteProtocolError, limits: RequestLimits
) -> CallerError:
    """Convert a parser error to an error for the caller."""
    if error.error_status_hint == _HEADER_TOO_LARGE_STATUS:
        return build_header_too_large_error(limits)
    # The parser's message may quote a large part of the caller's bytes.
    reason = str(error)
    if len(reason) > _MAX_REASON_CHARACTERS or not reason.isprintable():
        reason = "the bytes are not a valid request"
    return MalformedRequestError(f"request is not valid HTTP/1.1: {reason}")


def build_request(
    head: h11.Request,
    body: bytes,
    request_id: str,
    received: float,
    *,
    server_end: ServerEnd | None = None,
) -> Request:
    """Build the request; raise MalformedRequestError if its path is invalid."""
    headers: dict[str, str] = {}
    fields = tuple(
        (raw_name.decode("ascii"), raw_value.decode("latin-1"))
        for raw_name, raw_value in head.headers
    )
    for name, value in fields:
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    target = head.target.decode("latin-1")
    path, query = _split_request_target(target)
    return Request(
        method=head.method.decode("ascii"),
        path=path,
        query=query,
        headers=headers,
        body=body,
        request_id=request_id,
        received=received,
        fields=fields,
        target=target,
        server_end=server_end,
    )


def authenticate(request: Request, directory: Directory) -> Team:
    """Return the team that the request's key belongs to.

    Raises NotReadyError if no configuration is active, and BadCredentialsError if the
    key is missing or unknown.
    """
    scheme, _, credential = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != _BEARER_SCHEME or not credential.strip():
        raise BadCredentialsError("the request has no bearer key")
    if not directory.ready:
        raise NotReadyError("no configuration is active yet")
    team = directory.find_team(credential.strip())
    if team is None:
        raise BadCredentialsError("no team has this key")
    return team


def read_request_class(request: Request, default: RequestClass) -> RequestClass:
    """Return the request class in the headers, or the default."""
    text = request.headers.get("x-request-class")
    if text is None:
        return default
    try:
        return RequestClass(text.strip().lower())
    except ValueError:
        names = ", ".join(RequestClass)
        raise MalformedRequestError(f"X-Request-Class must be one of {names}") from None


def read_deadline(request: Request, default_seconds: float) -> float:
    """Return the deadline in monotonic seconds.

    X-Deadline-Ms is relative to the first byte of the request, because the clocks of
    callers and instances differ.
    """
    text = request.headers.get("x-deadline-ms")
    if text is None:
        return request.received + default_seconds
    try:
        milliseconds = int(text)
    except ValueError:
        raise MalformedRequestError(
            "X-Deadline-Ms must be a whole number of milliseconds"
        ) from None
    return request.received + min(milliseconds, _MAX_DEADLINE_MS) / 1000


def _split_request_target(target: str) -> tuple[str, str]:
    if not target.startswith("/"):
        target = _strip_authority(target)
    path, _, query = target.partition("?")
    # A service that resolves dot segments would serve a path outside the prefix that
    # the team was authorised for.
    if not _DOT_SEGMENTS.isdisjoint(unquote(path).replace("\\", "/").split("/")):
        raise MalformedRequestError("the path must not contain dot segments")
    return path, query


def _strip_authority(target: str) -> str:
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() != "http":
        raise MalformedRequestError("the request target must be a path")
    _, _, path = rest.partition("/")
    return f"/{path}"
