"""Definition of the instance settings for flags, environment and documentation."""

import ipaddress
import re
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    model_validator,
)

__all__ = ["ENVIRONMENT_PREFIX", "InstanceSettings", "flag_name", "variable_name"]

ENVIRONMENT_PREFIX = "CAROBLADDER_"
_CURVE_KEY_CHARACTERS = 40
_IDENTIFIER = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("use IP:PORT, for example 127.0.0.1:8080")
    ipaddress.ip_address(host.strip("[]"))
    return value


def _check_identifier(value: str) -> str:
    if not _IDENTIFIER.fullmatch(value):
        raise ValueError("use 1 to 63 lower-case letters, digits, dots or hyphens")
    return value


def _check_url(value: str) -> str:
    if not value.startswith("http://"):
        raise ValueError("use http://IP:PORT")
    _check_address(value.removeprefix("http://").rstrip("/"))
    return value.rstrip("/")


def _check_level(value: str) -> str:
    if value not in {"debug", "info", "warning", "error"}:
        raise ValueError("use debug, info, warning or error")
    return value


def _check_curve_key(value: SecretStr) -> SecretStr:
    if len(value.get_secret_value()) != _CURVE_KEY_CHARACTERS:
        raise ValueError(
            "use a CURVE key of 40 Z85 characters (see 'carobladder keys')"
        )
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Identifier = Annotated[str, AfterValidator(_check_identifier)]
Url = Annotated[str, AfterValidator(_check_url)]
Level = Annotated[str, AfterValidator(_check_level)]
CurveKey = Annotated[SecretStr, AfterValidator(_check_curve_key)]


class InstanceSettings(BaseModel):
    """Validated settings of ``carobladder serve``."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    instance_id: Identifier = Field(description="Name of this instance on the list.")
    data_centre: Identifier = Field(description="Data centre of this instance.")
    listen: Address = Field(
        default="127.0.0.1:8080", description="Address for callers and operators."
    )
    peer_listen: Address = Field(
        default="127.0.0.1:8090", description="Address for other instances."
    )
    log_url: Url = Field(description="Address of the platform's log service.")
    list_url: Url = Field(description="Address of the platform's instance list.")
    peer_public_key: CurveKey = Field(
        description="CURVE public key shared by the instances."
    )
    peer_secret_key: CurveKey = Field(
        description="CURVE secret key shared by the instances."
    )
    token_secret: SecretStr = Field(
        min_length=16, description="Key that signs chat tokens, shared by the fleet."
    )
    admin_key: SecretStr = Field(
        min_length=16, description="Key of the operator role for the first start."
    )
    log_level: Level = Field(default="info", description="Least level of log lines.")
    max_header_bytes: int = Field(
        default=16_384, ge=1024, le=65_536, description="Limit of a request's headers."
    )
    max_body_bytes: int = Field(
        default=4_194_304, ge=1024, description="Limit of a request's body."
    )
    request_read_seconds: float = Field(
        default=10.0, gt=0, description="Time in which a caller must send a request."
    )
    idle_connection_seconds: float = Field(
        default=75.0, gt=0, description="Time that an idle connection stays open."
    )
    default_deadline_seconds: float = Field(
        default=60.0, gt=0, description="Deadline of a request that states none."
    )
    first_byte_seconds: float = Field(
        default=20.0, gt=0, description="Wait for the first byte of a target's answer."
    )
    stream_gap_seconds: float = Field(
        default=10.0, gt=0, description="Longest pause inside a target's answer."
    )
    load_multiple: float = Field(
        default=1.25, gt=1, description="Load limit of an engine, as multiple of mean."
    )
    heartbeat_seconds: float = Field(
        default=0.25, gt=0, description="Interval between heartbeats to a peer."
    )
    lease_seconds: float = Field(
        default=1.5, gt=0, description="Validity of delegations and allowances."
    )
    list_window_seconds: float = Field(
        default=10.0, gt=0, description="Longest disagreement about the instance list."
    )
    probe_seconds: float = Field(
        default=0.5, gt=0, description="Interval between load reports of a target."
    )
    retry_budget_ratio: float = Field(
        default=0.1, ge=0, le=1, description="Retries allowed for each request."
    )
    claim_window_seconds: float = Field(
        default=1800.0, gt=0, description="Greatest age of an idempotency key."
    )
    claim_linger_seconds: float = Field(
        default=0.02, ge=0, description="Time in which claims join one append."
    )
    drain_notice_seconds: float = Field(
        default=5.0, ge=0, description="Listening time after SIGTERM for the balancer."
    )
    drain_limit_seconds: float = Field(
        default=120.0, gt=0, description="Longest wait for streams when draining."
    )

    @model_validator(mode="after")
    def _check_combinations(self) -> Self:
        if self.lease_seconds < 2 * self.heartbeat_seconds:
            raise ValueError(
                "lease_seconds: must be at least twice heartbeat_seconds, so that "
                "one lost heartbeat does not end a lease"
            )
        if self.list_window_seconds < self.lease_seconds:
            raise ValueError("list_window_seconds: must be at least lease_seconds")
        # Port 0 selects a free port, so two addresses with it do not conflict.
        if self.listen == self.peer_listen and not self.listen.endswith(":0"):
            raise ValueError("peer_listen: must differ from listen")
        return self


def flag_name(field: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + field.replace("_", "-")


def variable_name(field: str) -> str:
    """Return the name of the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field.upper()
