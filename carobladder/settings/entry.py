"""Settings of an instance on an operator platform, read from a TOML file."""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from carobladder.exceptions import SettingsError

__all__ = [
    "SETTINGS_VARIABLE",
    "EntrySettings",
    "SettingsChanges",
    "compare_entry_settings",
    "describe_entry_settings",
    "find_entry_settings",
    "list_defaulted_settings",
    "load_entry_settings",
]

SETTINGS_VARIABLE = "CAROBLADDER_SETTINGS"

_ADDRESS = r"^[^:\s]+:\d{1,5}$"
Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
LogLevel = Literal["debug", "info", "warning", "error"]
Count = Annotated[int, msgspec.Meta(ge=1)]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Validated settings of the entry program, in the units that operators use.

    ``memory_mb`` is the memory that the process may use.
    ``share_partitions`` is the number of partitions of one topic of the store.
    In a window, all instances together may retry at most ``retry_ratio`` times the
    number of requests, plus ``retry_slack``. A faulty version may receive
    at most the fraction ``exposure_share`` of the requests of its service, plus
    ``exposure_slack``. ``hedge_share`` is the part of the requests of a service that
    may also be sent to a second target when their answers are late, within half of the
    retries; 0 sends none. With ``admission_control``, less urgent requests are refused
    first while targets of a service refuse requests or have no free slot.

    ``api_address`` is that of the platform's API, None if this fleet has no duties
    there. ``duties`` names the duties, separated by commas; if it is empty, all are
    performed. The counts of a window of ``usage_window_seconds`` are due
    ``usage_late_seconds`` after its end, and may be wrong by ``usage_tolerance``.
    """

    instance: Name
    data_centre: Name
    listen: Address
    readiness_listen: Address
    metrics_listen: Address
    peer_listen: Address
    store_address: Address
    memory_mb: Count = 256
    share_partitions: Count = 12
    entry_renewal_ms: Milliseconds = 1200.0
    key_revocation_ms: Milliseconds = 5000.0
    configuration_ms: Milliseconds = 2000.0
    drain_notice_ms: Milliseconds = 2000.0
    shutdown_grace_seconds: Annotated[float, msgspec.Meta(gt=0)] = 8.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    load_multiple: Annotated[float, msgspec.Meta(gt=1)] = 2.0
    exposure_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1
    exposure_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    admission_control: bool = True
    hedge_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    api_address: Address | None = None
    api_calls_per_second: Annotated[float, msgspec.Meta(gt=0)] = 50.0
    duties: str = ""
    duty_lease_ms: Annotated[float, msgspec.Meta(ge=500)] = 3000.0
    usage_window_seconds: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    usage_late_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    usage_tolerance: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    log_level: LogLevel = "info"


# Settings that a running instance applies on reload; the others need a restart.
_RELOADABLE = frozenset(
    {
        "shutdown_grace_seconds",
        "retry_ratio",
        "retry_slack",
        "load_multiple",
        "hedge_share",
        "log_level",
    }
)


@dataclass(frozen=True, slots=True)
class SettingsChanges:
    """Names of the changed settings, and the settings in effect after a reload.

    ``in_force`` has the new values of ``applied`` and the old ones of the settings
    in ``after_restart``, which need a restart.
    """

    in_force: EntrySettings
    applied: tuple[str, ...]
    after_restart: tuple[str, ...]


def compare_entry_settings(
    before: EntrySettings, after: EntrySettings
) -> SettingsChanges:
    """Return the changed settings, separated by whether they need a restart."""
    changed = [
        name
        for name in after.__struct_fields__
        if getattr(after, name) != getattr(before, name)
    ]
    applied = tuple(name for name in changed if name in _RELOADABLE)
    values = {name: getattr(after, name) for name in applied}
    return SettingsChanges(
        in_force=msgspec.structs.replace(before, **values),
        applied=applied,
        after_restart=tuple(name for name in changed if name not in _RELOADABLE),
    )


def find_entry_settings(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file.

    Raises SettingsError if the environment variable is not set.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set; set it to the path of the settings file"
        )
    return Path(path)


def load_entry_settings(path: Path) -> EntrySettings:
    """Load the settings from a file, ignoring unknown keys.

    Raises SettingsError, which names the key and the remedy.
    """
    return _validate(path, _read_values(path))


def describe_entry_settings(path: Path) -> list[str]:
    """Return one line per setting: read from the file, default or ignored.

    Raises SettingsError as ``load_entry_settings`` does.
    """
    values = _read_values(path)
    settings = _validate(path, values)
    lines = []
    for name in settings.__struct_fields__:
        source = "read" if name in values else "default"
        lines.append(f"{name} = {getattr(settings, name)!r} ({source})")
    unknown = sorted(set(values) - set(settings.__struct_fields__))
    return [*lines, *(f"{name} (ignored, not a setting)" for name in unknown)]


def list_defaulted_settings(path: Path) -> list[str]:
    """Return the names of the settings that the file does not set.

    Raises SettingsError if the file cannot be read.
    """
    values = _read_values(path)
    return [name for name in EntrySettings.__struct_fields__ if name not in values]


def _read_values(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path} is not TOML ({error}); correct the line") from None


def _validate(path: Path, values: dict[str, Any]) -> EntrySettings:
    try:
        return msgspec.convert(values, EntrySettings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}; correct the setting") from None
