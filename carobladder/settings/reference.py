"""Reference page of the settings, generated from their definition."""

from pydantic import SecretStr

from carobladder.settings.definition import (
    InstanceSettings,
    flag_name,
    variable_name,
)

__all__ = ["render_reference"]

_HEADER = """# Settings

Settings of `carobladder serve` and `carobladder check`, generated from their
definition by `make docs`. A flag goes before its environment variable. A
setting that is unknown, missing or contradictory ends the start with exit
status 2 and one line that names the flag, the variable and the remedy.

| flag | environment variable | default | meaning |
| --- | --- | --- | --- |
"""


def render_reference() -> str:
    """Return the reference page in Markdown."""
    rows = [_render_row(name) for name in InstanceSettings.model_fields]
    return _HEADER + "\n".join(rows) + "\n"


def _render_row(name: str) -> str:
    field = InstanceSettings.model_fields[name]
    default = "required" if field.is_required() else f"`{field.default}`"
    if field.annotation is SecretStr and field.is_required():
        default = "required, secret"
    cells = [f"`{flag_name(name)}`", f"`{variable_name(name)}`", default]
    return f"| {' | '.join(cells)} | {field.description} |"


if __name__ == "__main__":
    print(render_reference(), end="")
