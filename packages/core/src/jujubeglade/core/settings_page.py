"""Renders the reference page of the settings from their fields.

python -m jujubeglade.core.settings_page > docs/SETTINGS.md
"""

import dataclasses
import sys

from jujubeglade.core import _settings_direct as direct
from jujubeglade.core import _settings_inbound as inbound_
from jujubeglade.core import _settings_records as records
from jujubeglade.core import _settings_rules as rules

_INTRODUCTION = """\
# Settings

A process reads one file of JSON with comments, named on its command line.
`jujubeglade check FILE...` shows all mistakes of the files in one run. This page is
rendered from the fields that the check uses (`make docs`).

Addresses are written `"HOST:PORT"` with an IP number. Port 0 of an address to listen
on lets the system choose one. Operators may also change the limits marked `set limit`
by a command of [their language](LANGUAGE.md), which overrides the file.
"""

_SHAPES = {
    "integer": "whole number",
    "number": "number",
    "name": "name",
    "choice": "word",
    "secret": "secret",
    "secrets": "names to secrets",
    "listener": "address",
    "url": "URL",
    "loopback": "loopback address",
    "peers": "names to addresses",
    "hosts": "list of hosts",
    "record": "object",
}


def render():
    """Render the page.

    Returns:
      A string of Markdown.
    """
    common = dataclasses.fields(records.Settings)
    sections = [_INTRODUCTION, _section("Every process", common)]
    for role, record in records.ROLES.items():
        sections.append(_section(f"Role `{role}`", _own(record, common)))
    direct_common = dataclasses.fields(direct.DirectSettings)
    sections.append(_section("Every process of direct jobs", direct_common))
    for role, record in direct.ROLES.items():
        sections.append(_section(f"Role `{role}`", _own(record, direct_common)))
    sections.append(_section("`store`", dataclasses.fields(records.Store)))
    sections.append(_section("`limits`", dataclasses.fields(records.Limits)))
    sections.append(_section("`inbound`", dataclasses.fields(inbound_.Inbound)))
    return "\n".join(sections)


def _own(record, common):
    """Return the fields of a role that are not common to all roles."""
    fields = dataclasses.fields(record)
    return [field for field in fields if field.name not in _names(common)]


def _names(fields):
    return {field.name for field in fields}


def _section(title, fields):
    """Render one table."""
    rows = [_row(field) for field in fields]
    head = ["| setting | value | default | meaning |", "|---|---|---|---|"]
    return "\n".join([f"## {title}", "", *head, *rows, ""])


def _row(field):
    rule = rules.rule_of(field)
    doc = f"{rule.doc} (`set limit`)" if rule.live else rule.doc
    return f"| `{field.name}` | {_value(rule)} | {_default(field)} | {doc} |"


def _value(rule):
    """Describe the allowed values."""
    shape = _SHAPES[rule.kind]
    if rule.choices:
        return ", ".join(f"`{choice}`" for choice in rule.choices)
    if rule.kind in ("integer", "number"):
        return f"{rule.low} to {rule.high}"
    if rule.kind in ("secret", "secrets"):
        unit = "character" if rule.low == 1 else "characters"
        return f"{shape} of {rule.low} {unit} or more"
    return shape


def _default(field):
    """Describe the value that applies when the setting is absent."""
    if rules.is_required(field):
        return "required"
    if field.default in (dataclasses.MISSING, None, ""):
        return ""
    return f"`{field.default}`"


if __name__ == "__main__":
    sys.stdout.write(render())
