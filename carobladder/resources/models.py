"""Schema of the resources that operators declare."""

import ipaddress
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from itertools import pairwise
from typing import Annotated, Any, ClassVar, Literal, Self

from pydantic import (
    AfterValidator,
    AwareDatetime,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from carobladder.exceptions import InvalidResourceError
from carobladder.moves.datacentres import DEFAULT_REFILL_STEPS
from carobladder.moves.versions import DEFAULT_STEPS, FIRST_SHARE_MAX
from carobladder.targets import RequestClass

__all__ = [
    "KINDS",
    "DataCentreMoveSpec",
    "DataCentreSpec",
    "ModelSpec",
    "MoveSpec",
    "OperatorSpec",
    "Resource",
    "ServiceSpec",
    "Spec",
    "TargetSpec",
    "TeamSpec",
    "VersionMoveSpec",
    "Window",
    "parse_spec",
]

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_SHARE_TOLERANCE = 1e-6


def _check_name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise ValueError(
            "use 1 to 63 lower-case letters, digits, dots, hyphens or underscores"
        )
    return value


def _check_digest(value: str) -> str:
    if not _SHA256.fullmatch(value):
        raise ValueError(
            "use the SHA-256 of the credential as 64 lower-case hex digits, "
            "never the credential itself"
        )
    return value


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) <= 65535:
        raise ValueError("use IP:PORT, for example 127.0.0.1:9001")
    ipaddress.ip_address(host.strip("[]"))
    return value


def _check_prefix(value: str) -> str:
    if not value.startswith("/") or (value != "/" and value.endswith("/")):
        raise ValueError("start the path with / and do not end it with /")
    return value


def _check_lookup(value: str) -> str:
    if value and (not value.startswith("/") or "{key}" not in value):
        raise ValueError("use a path with {key}, for example /orders/{key}")
    return value


Name = Annotated[str, AfterValidator(_check_name)]
Digest = Annotated[str, AfterValidator(_check_digest)]
Address = Annotated[str, AfterValidator(_check_address)]
PathPrefix = Annotated[str, AfterValidator(_check_prefix)]
LookupPath = Annotated[str, AfterValidator(_check_lookup)]
Share = Annotated[float, Field(ge=0, le=1)]


class Spec(BaseModel):
    """Base of the specifications; unknown fields are refused."""

    model_config = ConfigDict(
        frozen=True, extra="forbid", validate_by_name=True, validate_by_alias=True
    )

    kind: ClassVar[str] = ""

    def to_plain(self) -> dict[str, Any]:
        """Return the specification as JSON values, without defaults left out."""
        return self.model_dump(mode="json", by_alias=True)


class TeamSpec(Spec):
    """Declare a team; credentials are SHA-256 digests in hex."""

    kind = "team"

    weight: float = Field(default=1.0, gt=0, le=1000)
    credentials: tuple[Digest, ...] = ()
    administrators: tuple[Digest, ...] = ()
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    max_in_flight: int | None = Field(default=None, ge=1)


class OperatorSpec(Spec):
    """Declare credentials of the operator role."""

    kind = "operator"

    credentials: tuple[Digest, ...] = Field(min_length=1)


class ModelSpec(Spec):
    """Declare a model, its versions and the share of traffic of each."""

    kind = "model"

    versions: tuple[Name, ...] = Field(min_length=1)
    shares: dict[Name, Share]
    default_class: RequestClass = RequestClass.QUICK

    @model_validator(mode="after")
    def _check_shares(self) -> Self:
        unknown = sorted(set(self.shares) - set(self.versions))
        if unknown:
            raise ValueError(f"shares: add {unknown[0]} to versions or remove it")
        if not math.isclose(sum(self.shares.values()), 1, abs_tol=_SHARE_TOLERANCE):
            raise ValueError("shares: must sum to 1")
        return self


class ServiceSpec(Spec):
    """Declare a plain service under a path prefix.

    Calls of ``repeatable_methods`` may repeat even if ``repeatable`` is false.
    """

    kind = "service"

    path_prefix: PathPrefix
    repeatable: bool = False
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    lookup_path: LookupPath = ""


class TargetSpec(Spec):
    """Declare a target of the pool of a model or service."""

    kind = "target"

    pool: Name
    version: Name = "v1"
    data_centre: Name
    address: Address
    slots: int = Field(default=32, ge=1)
    cold_slots: int = Field(default=4, ge=1)
    checks_fencing: bool = False
    leaving: bool = False

    @model_validator(mode="after")
    def _check_slots(self) -> Self:
        if self.cold_slots > self.slots:
            raise ValueError("cold_slots: must be at most slots")
        return self


class Window(BaseModel):
    """State when the landlord takes a data centre out of service."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    start: AwareDatetime
    end: AwareDatetime

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.end <= self.start:
            raise ValueError("end: must be later than start")
        return self


class DataCentreSpec(Spec):
    """Declare a data centre, its state and its maintenance windows."""

    kind = "data-centre"

    region: Name
    state: Literal["open", "closed"] = "open"
    windows: tuple[Window, ...] = ()


class MoveSpec(Spec):
    """Base of moves; ``intent`` is what operators ask of the driver."""

    finish_by: AwareDatetime
    intent: Literal["run", "pause", "back"] = "run"


class VersionMoveSpec(MoveSpec):
    """Declare that a model moves to a version by a time.

    ``steps`` are the growing shares of the new version; the last one stays below
    1 while it bakes, so that the old version gives evidence of the same period.
    A version is faulty if its error rate, or its rate of slow answers, passes the
    threshold. Without ``start`` the move begins when it is accepted.
    """

    kind = "version-move"

    model: Name
    from_version: Name = Field(alias="from")
    to_version: Name = Field(alias="to")
    start: AwareDatetime | None = None
    steps: tuple[Annotated[float, Field(gt=0, lt=1)], ...] = Field(
        default=DEFAULT_STEPS, min_length=1
    )
    step_seconds: float = Field(default=60.0, gt=0)
    step_requests: int = Field(default=20, ge=0)
    max_error_rate: float = Field(default=0.02, gt=0, lt=1)
    max_slow_rate: float = Field(default=0.05, gt=0, lt=1)
    bake_seconds: float = Field(default=1800.0, ge=0)

    @model_validator(mode="after")
    def _check_plan(self) -> Self:
        if self.from_version == self.to_version:
            raise ValueError("to: must differ from 'from'")
        _check_growth(self.steps)
        if self.steps[0] > FIRST_SHARE_MAX:
            raise ValueError(f"steps: the first share must be <= {FIRST_SHARE_MAX}")
        if self.start is not None:
            seconds = len(self.steps) * self.step_seconds + self.bake_seconds
            if self.start + timedelta(seconds=seconds) > self.finish_by:
                raise ValueError(
                    f"finish_by: must be {seconds:g} s or more after start"
                )
        return self


class DataCentreMoveSpec(MoveSpec):
    """Declare that a data centre leaves or returns by a time.

    ``refill_steps`` are the shares of its usual work while it returns.
    """

    kind = "data-centre-move"

    data_centre: Name
    direction: Literal["leave", "return"]
    drain_seconds: float = Field(default=300.0, ge=0)
    refill_steps: tuple[Annotated[float, Field(gt=0, le=1)], ...] = Field(
        default=DEFAULT_REFILL_STEPS, min_length=1
    )
    step_seconds: float = Field(default=180.0, gt=0)

    @model_validator(mode="after")
    def _check_plan(self) -> Self:
        _check_growth(self.refill_steps)
        if self.refill_steps[-1] != 1:
            raise ValueError("refill_steps: the last share must be 1")
        return self


def _check_growth(steps: tuple[float, ...]) -> None:
    if any(after <= before for before, after in pairwise(steps)):
        raise ValueError("steps: each share must be greater than the one before")


KINDS: Mapping[str, type[Spec]] = {
    spec.kind: spec
    for spec in (
        TeamSpec,
        OperatorSpec,
        ModelSpec,
        ServiceSpec,
        TargetSpec,
        DataCentreSpec,
        VersionMoveSpec,
        DataCentreMoveSpec,
    )
}


@dataclass(frozen=True, slots=True)
class Resource:
    """Hold a declared resource; ``revision`` is the offset of its last change."""

    kind: str
    name: str
    spec: Spec
    revision: int


def parse_spec(kind: str, name: str, spec: Any) -> Spec:
    """Return the validated specification.

    Raises InvalidResourceError that names the field and its remedy.
    """
    if kind not in KINDS:
        raise InvalidResourceError(
            f"unknown kind {kind!r}; use one of {', '.join(KINDS)}"
        )
    if not _NAME.fullmatch(name):
        raise InvalidResourceError(
            f"{kind} name {name!r}: use 1 to 63 lower-case letters, digits, dots, "
            "hyphens or underscores"
        )
    try:
        # Records and requests carry JSON, so that arrays are read as tuples.
        return KINDS[kind].model_validate(spec)
    except ValidationError as error:
        raise InvalidResourceError(f"{kind}/{name}: {_explain(error)}") from None


def _explain(error: ValidationError) -> str:
    parts = []
    for fault in error.errors(include_url=False, include_input=False):
        field = ".".join(str(step) for step in fault["loc"])
        message = fault["msg"].removeprefix("Value error, ")
        if fault["type"] == "missing":
            message = "is missing; set it"
        elif fault["type"] == "extra_forbidden":
            message = "is not a field of this kind; remove it"
        parts.append(f"{field}: {message}" if field else message)
    return "; ".join(parts)
