"""Reference page of the entry settings, generated from their definition."""

import msgspec

from carobladder.settings.entry import EntrySettings

__all__ = ["render_entry_settings"]

_HEADER = """# Settings of the entry program

`python3 -m carobladder.entry` reads a TOML file whose path is in
`CAROBLADDER_SETTINGS`; on the operator platform the file is made from
`deploy/settings.template`. SIGHUP reads it again. Unknown keys are ignored; a wrong
value ends the start with one line that names the key. `carobladder check-entry FILE`
prints what was read, what took its default and what was ignored. This page is
generated: `make docs`.

| key | type | default |
| --- | --- | --- |
"""


def render_entry_settings() -> str:
    """Return the reference page in Markdown."""
    rows = []
    for field in msgspec.structs.fields(EntrySettings):
        field_type = msgspec.inspect.type_info(field.type)
        type_name = type(field_type).__name__.removesuffix("Type").lower()
        default = "required" if field.required else repr(field.default)
        rows.append(f"| `{field.name}` | {type_name} | {default} |\n")
    return _HEADER + "".join(rows)


if __name__ == "__main__":
    print(render_entry_settings(), end="")
