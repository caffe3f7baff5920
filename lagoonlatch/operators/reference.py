"""The reference of the configuration, from its types.

``python -m lagoonlatch.operators.reference`` prints it as Markdown; the page in
docs/operators is this output.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.config import fleet_rules, organisation_rules, rules, service_rules
from lagoonlatch.config.client_blocks import ClientBlockPages
from lagoonlatch.config.model import (
    Configuration,
    DataCentre,
    Link,
    Move,
    Organisation,
    Route,
    Service,
    Upstream,
)
from lagoonlatch.environment import descriptions_of

DATA_CLASSES = (
    Configuration,
    DataCentre,
    Link,
    Organisation,
    Service,
    Route,
    Upstream,
    Move,
    ClientBlockPages,
)

_INTRODUCTION = """\
# Configuration reference

Printed by `python -m lagoonlatch.operators.reference`; do not edit.

The configuration is one JSON document. `lagoonlatch check FILE` checks it,
`lagoonlatch apply FILE` puts it in force, `lagoonlatch show` prints what is accepted.
Write it with the library `lagoonlatch.operators` rather than by hand. Fields that are
not listed here are errors, and so are fields given twice.
"""


def render() -> str:
    """Return the reference as Markdown."""
    sections = [_INTRODUCTION, *map(_section, DATA_CLASSES), _limits()]
    return "\n".join(sections)


def _section(data_class: type) -> str:
    summary = typing.cast(str, data_class.__doc__).splitlines()[0]
    lines = [f"## {data_class.__name__}", "", summary, ""]
    lines += ["| field | type | default | |", "| --- | --- | --- | --- |"]
    description_by_name = descriptions_of(data_class)
    types = typing.get_type_hints(data_class)
    for field in dataclasses.fields(data_class):
        description = description_by_name[field.name].replace("``", "`")
        kind = _type_name(types[field.name])
        lines.append(f"| `{field.name}` | {kind} | {_default(field)} | {description} |")
    return "\n".join([*lines, ""])


def _limits() -> str:
    seconds = service_rules.LONGEST_DEADLINE / MILLIS_PER_SECOND
    delay = fleet_rules.LONGEST_DELAY / MILLIS_PER_SECOND
    rows = (
        ("ids", f"1 to {rules.LONGEST_ID} of a-z 0-9 . _ -"),
        ("rates and caps", f"above 0, at most {rules.HIGHEST_RATE:,.0f} a second"),
        ("bursts, slots, connections", f"1 to {rules.HIGHEST_COUNT:,}"),
        ("weights", f"1 to {organisation_rules.HIGHEST_WEIGHT:,}"),
        ("deadlines", f"above 0, at most {seconds:g} s"),
        ("delays of links", f"0 to {delay:g} s"),
        ("methods", ", ".join(service_rules.METHODS)),
        ("path prefixes", "begin with /; no space, ? or #"),
        ("key digests", "64 lower-case hexadecimal digits, each once in all"),
        ("addresses", "`IP:port` or `[IPv6]:port`, each once in all"),
    )
    lines = ["## Limits", "", "| value | valid |", "| --- | --- |"]
    lines += [f"| {value} | {valid} |" for value, valid in rows]
    return "\n".join([*lines, ""])


def _type_name(hint: typing.Any) -> str:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is Mapping:
        return f"object of {_type_name(arguments[1])} by {_type_name(arguments[0])}"
    if origin is tuple:
        return f"array of {_type_name(arguments[0])}"
    return _JSON_NAME_BY_TYPE.get(hint) or f"[{hint.__name__}](#{_anchor(hint)})"


_JSON_NAME_BY_TYPE = {
    str: "string",
    int: "whole number",
    float: "number",
    bool: "true or false",
    bytes: "base64 string",
}


def _anchor(data_class: type) -> str:
    return data_class.__name__.lower()


def _default(field: dataclasses.Field) -> str:
    if field.default_factory is not dataclasses.MISSING:
        return "empty"
    if field.default is dataclasses.MISSING:
        return "required"
    if field.default in ("", ()):
        return "empty"
    return f"`{field.default}`".replace("False", "false")


if __name__ == "__main__":
    print(render(), end="")
