"""Events of a trace and the outcomes that are stated beside it.

A trace holds one JSON object on each line: what the decision code was given, in
the order of the calls. Times are monotonic seconds of the recording process.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

__all__ = [
    "Acquire",
    "Ask",
    "Boot",
    "Bounds",
    "Check",
    "ClaimRecordRead",
    "Claimed",
    "ConfigRead",
    "Event",
    "Listed",
    "Look",
    "Message",
    "Outcome",
    "Probe",
    "Release",
    "Request",
    "Served",
    "Start",
    "Targets",
    "Tick",
    "TraceError",
    "read_outcomes",
    "read_trace",
    "write_lines",
]

# Wanted slots and unit of each target for which requests wait.
Demands = dict[str, tuple[int, int]]


class TraceError(ValueError):
    """Report a trace or its outcomes that cannot be read."""


class _Event(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="event"):
    instance: str


class Start(_Event, frozen=True, tag="start"):
    """Start an instance with the times of the protocol."""

    at: float
    incarnation: int
    timing: dict[str, float]
    token_secret: str


class Targets(_Event, frozen=True, tag="targets"):
    """Declare the targets: fields of the state, cold slots, balanced or not."""

    declared: list[tuple[dict[str, Any], int, bool]]


class Listed(_Event, frozen=True, tag="list"):
    """Take an answer of the platform's list."""

    at: float
    instances: list[dict[str, Any]]


class ConfigRead(_Event, frozen=True, tag="config"):
    """Note that the configuration was read up to an offset."""

    at: float
    offset: int


class Probe(_Event, frozen=True, tag="probe"):
    """Take a load report; None means no answer."""

    at: float
    target: str
    report: dict[str, Any] | None = None


class Message(_Event, frozen=True, tag="message"):
    """Take a message of a peer in its wire form."""

    at: float
    frame: bytes
    demands: Demands = {}


class Tick(_Event, frozen=True, tag="tick"):
    """Send what is due and serve the owned targets."""

    at: float
    demands: Demands = {}


class Ask(_Event, frozen=True, tag="ask"):
    """Ask the owners of targets for slots."""

    at: float
    targets: list[str]


class Look(_Event, frozen=True, tag="look"):
    """List the owned targets, as before a round of probes."""

    at: float


class Boot(_Event, frozen=True, tag="boot"):
    """Take the boot id of a target's answer."""

    target: str
    boot_id: str


class Request(_Event, frozen=True, tag="request"):
    """Rank the targets of a chat; ``wall`` is Unix time.

    ``targets`` names the candidates with boot id, ready and leaving.
    """

    number: int
    wall: float
    team: str
    model: str
    request_class: str
    chat_id: str
    token: str
    turns: list[tuple[str, str]]
    shares: dict[str, float]
    targets: list[tuple[str, str, str, bool, bool]]


class Acquire(_Event, frozen=True, tag="acquire"):
    """Try to take slots of a target."""

    at: float
    permit: int
    target: str
    weight: int


class Check(_Event, frozen=True, tag="check"):
    """Check a permit again before the write."""

    at: float
    permit: int


class Release(_Event, frozen=True, tag="release"):
    """Give the slots of a permit back."""

    at: float
    permit: int
    failed: bool = False
    first_byte_seconds: float | None = None


class Served(_Event, frozen=True, tag="served"):
    """Note which permit a request got, or that it was refused."""

    number: int
    permit: int = 0


class ClaimRecordRead(_Event, frozen=True, tag="claim-record"):
    """Apply a record of the claims stream."""

    offset: int
    data: bytes


class Claimed(_Event, frozen=True, tag="claimed"):
    """Decide whether a claim that was read may send."""

    team: str
    key: str
    claim_id: str


Event = (
    Start
    | Targets
    | Listed
    | ConfigRead
    | Probe
    | Message
    | Tick
    | Ask
    | Look
    | Boot
    | Request
    | Acquire
    | Check
    | Release
    | Served
    | ClaimRecordRead
    | Claimed
)


class Outcome(msgspec.Struct, frozen=True):
    """State what the decision at one line of the trace must be."""

    line: int
    decision: Any


class Bounds(msgspec.Struct, frozen=True):
    """State what the whole trace must show.

    ``with_token`` counts the requests with a usable token and ``reused`` those that
    were served where it says; ``excess_max`` is the most slots above the load
    multiple of the mean and one request.
    """

    requests: int
    refused: int
    with_token: int
    reused: int
    bookings: int
    excess_max: float = 0.0
    doubled_bookings: int = 0


_event_decoder = msgspec.json.Decoder(Event)
_outcome_decoder = msgspec.json.Decoder(Outcome)
_bounds_decoder = msgspec.json.Decoder(Bounds)


def read_trace(path: Path) -> Iterator[Event]:
    """Yield the events of a trace; raises TraceError for an unreadable line."""
    for number, line in enumerate(_read_lines(path), start=1):
        try:
            yield _event_decoder.decode(line)
        except msgspec.DecodeError as error:
            raise TraceError(f"{path}:{number}: {error}") from error


def read_outcomes(path: Path) -> tuple[Bounds, list[Outcome]]:
    """Return the bounds, on the first line, and the stated outcomes."""
    lines = _read_lines(path)
    try:
        bounds = _bounds_decoder.decode(lines[0])
        return bounds, [_outcome_decoder.decode(line) for line in lines[1:]]
    except (msgspec.DecodeError, IndexError) as error:
        raise TraceError(f"{path}: no stated outcomes: {error}") from error


def write_lines(path: Path, items: Iterable[msgspec.Struct]) -> None:
    """Write one JSON object on each line."""
    path.write_bytes(b"".join(msgspec.json.encode(item) + b"\n" for item in items))


def _read_lines(path: Path) -> list[bytes]:
    try:
        return path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error
