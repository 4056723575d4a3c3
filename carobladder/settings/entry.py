"""Settings of an instance on an operator platform, read from a TOML file."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec

from carobladder.exceptions import SettingsError

__all__ = [
    "SETTINGS_VARIABLE",
    "EntrySettings",
    "describe_entry_settings",
    "find_entry_settings",
    "load_entry_settings",
]

SETTINGS_VARIABLE = "CAROBLADDER_SETTINGS"

_ADDRESS = r"^[^:\s]+:\d{1,5}$"
Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the validated settings; times are in milliseconds as the operator states.

    ``share_partitions`` is the number of partitions of one topic of the store.
    ``retry_ratio`` and ``retry_slack`` bound the repeats of all instances together
    in a window: a part of the requests and a number besides.
    """

    instance: Name
    data_centre: Name
    listen: Address
    readiness_listen: Address
    metrics_listen: Address
    peer_listen: Address
    store_address: Address
    share_partitions: Count = 12
    entry_renewal_ms: Milliseconds = 1200.0
    key_revocation_ms: Milliseconds = 5000.0
    configuration_ms: Milliseconds = 2000.0
    drain_notice_ms: Milliseconds = 2000.0
    shutdown_grace_ms: Milliseconds = 8000.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    load_multiple: Annotated[float, msgspec.Meta(gt=1)] = 2.0
    log_level: str = "info"


def find_entry_settings(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file; raises SettingsError without one."""
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set; set it to the path of the settings file"
        )
    return Path(path)


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the settings of a file; unknown keys are ignored.

    Raises SettingsError that names the key and the remedy.
    """
    return _convert(path, _read_values(path))


def describe_entry_settings(path: Path) -> list[str]:
    """Return a line for each setting that was read, defaulted or ignored.

    Raises SettingsError as ``load_entry_settings`` does.
    """
    values = _read_values(path)
    settings = _convert(path, values)
    lines = []
    for name in settings.__struct_fields__:
        origin = "read" if name in values else "default"
        lines.append(f"{name} = {getattr(settings, name)!r} ({origin})")
    unknown = sorted(set(values) - set(settings.__struct_fields__))
    return [*lines, *(f"{name} (ignored, not a setting)" for name in unknown)]


def _read_values(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path} is not TOML ({error}); correct the line") from None


def _convert(path: Path, values: dict[str, Any]) -> EntrySettings:
    try:
        return msgspec.convert(values, EntrySettings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}; correct the setting") from None
