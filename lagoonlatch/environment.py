"""Flags of the command line, also read from environment variables.

Each flag ``--some-flag`` of a command can be given as ``LAGOONLATCH_SOME_FLAG``; a
flag on the command line wins. Flags that take several values separate them by
commas in the environment.
"""

from __future__ import annotations

import inspect
import typing
from collections.abc import Callable, Mapping, Sequence
from dataclasses import MISSING, fields
from functools import lru_cache

from lagoonlatch.settings import DaemonSettings

PREFIX = "LAGOONLATCH_"


def variable_of(flag: str) -> str:
    """Return the environment variable of a flag, such as ``--data-centre``."""
    return PREFIX + flag.removeprefix("--").replace("-", "_").upper()


def flags_of(command: Callable) -> tuple[str, ...]:
    """Return the flags of a command: its keyword-only parameters."""
    parameters = inspect.signature(command).parameters.values()
    return tuple(
        "--" + parameter.name.replace("_", "-")
        for parameter in parameters
        if parameter.kind is parameter.KEYWORD_ONLY
    )


def with_environment(
    command: Callable, arguments: Sequence[str], environment: Mapping[str, str]
) -> list[str]:
    """Return `arguments` with the flags that only the environment gives.

    Parameters
    ----------
    command : callable
        The command whose flags are looked for.
    arguments : sequence of str
        The command line after the command's name.
    environment : mapping of str to str
        The environment variables.

    Returns
    -------
    list of str
        The whole command line after the command's name.
    """
    given = {argument.partition("=")[0] for argument in arguments}
    single: list[str] = []
    several: list[str] = []
    for flag in flags_of(command):
        value = environment.get(variable_of(flag))
        if value is None or flag in given:
            continue
        if _takes_several(command, flag):
            several += [flag, *_split(value)]
        else:
            single.append(f"{flag}={value}")
    # A flag with several values would swallow positional arguments behind it.
    return [*single, *arguments, *several]


def settings_command(
    run: Callable[[DaemonSettings], int], name: str, summary: str
) -> Callable[..., int]:
    """Return a command whose flags are the fields of `DaemonSettings`.

    Parameters
    ----------
    run : callable
        Called with the settings; returns the exit code.
    name, summary : str
        The command's name and the first line of its help.
    """

    def command(**values: object) -> int:
        seeds = tuple(values.pop("seeds"))
        return run(DaemonSettings(seeds=seeds, **values))

    parameters = [_parameter(field) for field in fields(DaemonSettings)]
    command.__name__ = name
    command.__signature__ = inspect.Signature(parameters, return_annotation=int)
    command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    command.__doc__ = _documentation(summary)
    return command


def _takes_several(command, flag):
    parameter = inspect.signature(command).parameters[flag[2:].replace("-", "_")]
    return "Sequence" in str(parameter.annotation)


def _split(value):
    return [part.strip() for part in value.split(",") if part.strip()]


def _parameter(field):
    annotation = _field_types()[field.name]
    default = inspect.Parameter.empty if field.default is MISSING else field.default
    if annotation == tuple[str, ...]:
        annotation = Sequence[str]
    return inspect.Parameter(
        field.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=default,
        annotation=annotation,
    )


def _in_millis(field):
    return "Millis" in str(field.type)


@lru_cache(maxsize=1)
def _field_types():
    return typing.get_type_hints(DaemonSettings)


def _documentation(summary):
    lines = [summary, "", "Parameters", "----------"]
    durations = {field.name for field in fields(DaemonSettings) if _in_millis(field)}
    for name, text in descriptions_of(DaemonSettings).items():
        unit = " In milliseconds." if name in durations else ""
        lines += [name, f"    {text}{unit}"]
    return "\n".join(lines)


def descriptions_of(data_class: type) -> dict[str, str]:
    """Return what a data class's docstring says of each of its parameters.

    Parameters
    ----------
    data_class : type
        Documented in numpydoc style.

    Returns
    -------
    dict of str to str
        Each parameter's description on one line.
    """
    text_by_name: dict[str, str] = {}
    names: list[str] = []
    section = inspect.getdoc(data_class).partition("----------\n")[2]
    for line in section.splitlines():
        if line and not line.startswith(" "):
            names = [name.strip() for name in line.partition(" : ")[0].split(",")]
            text_by_name |= dict.fromkeys(names, "")
        elif line.strip():
            for name in names:
                text_by_name[name] = f"{text_by_name[name]} {line.strip()}".strip()
    return text_by_name
