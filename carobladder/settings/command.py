"""Command-line flags of the settings, generated from their definition."""

import dataclasses
from typing import Annotated, Any

import cappa
from pydantic import SecretStr

from carobladder.settings.definition import (
    InstanceSettings,
    flag_name,
    variable_name,
)

__all__ = ["SettingsArguments", "build_settings_arguments"]


class SettingsArguments:
    """Base class of commands that accept every setting as a flag."""

    def read_flags(self) -> dict[str, str | None]:
        """Return the value of each flag by setting, None if it was not given."""
        return {name: getattr(self, name) for name in InstanceSettings.model_fields}


def build_settings_arguments(name: str) -> type[SettingsArguments]:
    """Create a dataclass with one optional flag for each setting."""
    fields: list[Any] = []
    for field_name in InstanceSettings.model_fields:
        argument: cappa.Arg[str | None] = cappa.Arg(
            long=flag_name(field_name),
            default=None,
            help=_format_help(field_name),
            show_default=False,
        )
        annotation = Annotated[str | None, argument]
        fields.append((field_name, annotation, dataclasses.field(default=None)))
    return dataclasses.make_dataclass(name, fields, bases=(SettingsArguments,))


def _format_help(field_name: str) -> str:
    field = InstanceSettings.model_fields[field_name]
    default = (
        "required"
        if field.is_required()
        else f"default {_format_default(field.default)}"
    )
    return f"{field.description} [{variable_name(field_name)}, {default}]"


def _format_default(value: object) -> str:
    return "secret" if isinstance(value, SecretStr) else str(value)
