"""Load settings and report an invalid one in one line with its remedy."""

from collections.abc import Mapping

from pydantic import SecretStr, ValidationError

from carobladder.exceptions import SettingsError
from carobladder.settings.definition import (
    ENVIRONMENT_PREFIX,
    InstanceSettings,
    flag_name,
    variable_name,
)

__all__ = ["describe_settings", "load_settings"]

_MASK = "********"

# Variables of the operator's client, which may be set in the same environment.
_CLIENT_VARIABLES = frozenset({"CAROBLADDER_SERVER", "CAROBLADDER_KEY"})


def load_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> InstanceSettings:
    """Return validated settings; a flag overrides its environment variable.

    Raises SettingsError, which names the flag, the variable and the remedy.
    """
    _reject_unknown_variables(environment)
    values = _merge_sources(flags, environment)
    try:
        return InstanceSettings.model_validate(values)
    except ValidationError as error:
        raise SettingsError(_format_error(error)) from None


def describe_settings(settings: InstanceSettings) -> list[str]:
    """Return one 'flag=value' line for each resolved setting, with secrets masked."""
    lines = []
    for name in InstanceSettings.model_fields:
        value = getattr(settings, name)
        shown = _MASK if isinstance(value, SecretStr) else value
        lines.append(f"{flag_name(name)}={shown}")
    return lines


def _reject_unknown_variables(environment: Mapping[str, str]) -> None:
    known = {variable_name(name) for name in InstanceSettings.model_fields}
    known |= _CLIENT_VARIABLES
    for variable in sorted(environment):
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known:
            raise SettingsError(
                f"unknown environment variable {variable}; unset it or correct its "
                "name (see 'carobladder serve --help')"
            )


def _merge_sources(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> dict[str, str]:
    values = {}
    for name in InstanceSettings.model_fields:
        flag_value = flags.get(name)
        value = (
            environment.get(variable_name(name)) if flag_value is None else flag_value
        )
        if value is not None:
            values[name] = value
    return values


def _format_error(error: ValidationError) -> str:
    first = error.errors()[0]
    message = first["msg"].removeprefix("Value error, ")
    name = str(first["loc"][0]) if first["loc"] else message.partition(":")[0]
    if not first["loc"]:
        message = message.partition(": ")[2]
    if first["type"] == "missing":
        message = "is missing; set it"
    return f"setting {flag_name(name)} ({variable_name(name)}): {message}"
