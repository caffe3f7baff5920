"""The command line of lagoonlatch."""

from __future__ import annotations

import contextlib
import io
import os
import pkgutil
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence

import defopt
from returns.result import Failure, Result, Success

from lagoonlatch import __version__
from lagoonlatch.environment import variable_of, with_environment
from lagoonlatch.exit_codes import ExitCode

PROGRAM = "lagoonlatch"

_DESCRIPTION = """\
Steer traffic between callers and upstreams over many VMs.

Every flag of a command can also be given as an environment variable:
--platform as LAGOONLATCH_PLATFORM; a flag on the command line wins.
"""

_EPILOGUE = """\
exit codes:
  0  done
  1  failed, nothing is known to have changed
  2  bad input, nothing changed
  3  conflict with another change, nothing changed
  4  accepted, but not confirmed by every VM in time
"""


def version() -> int:
    """Print the program's version."""
    print(f"{PROGRAM} {__version__}")
    return ExitCode.DONE


PLACE_BY_COMMAND = {
    "serve": "lagoonlatch.serving:serve",
    "entry": "lagoonlatch.entry.process:entry",
    "check": "lagoonlatch.operators.commands:check",
    "apply": "lagoonlatch.operators.changes:apply",
    "show": "lagoonlatch.operators.changes:show",
    "status": "lagoonlatch.operators.commands:status",
    "events": "lagoonlatch.operators.commands:events",
    "withdraw": "lagoonlatch.operators.changes:withdraw",
    "drain": "lagoonlatch.operators.commands:drain",
    "load": "lagoonlatch.load.command:load",
    "explain": "lagoonlatch.operators.explain:explain",
    "where": "lagoonlatch.operators.where:where",
    "version": "lagoonlatch.cli:version",
}
"""Modules are loaded when their command is run, so that a daemon holds only its own."""


def find_command(name: str) -> Callable[..., int]:
    """Return the function of a command."""
    return pkgutil.resolve_name(PLACE_BY_COMMAND[name])


def run(arguments: Sequence[str], environment: Mapping[str, str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        The command line without the program's name.
    environment : mapping of str to str, optional
        The environment variables; by default those of the process.

    Returns
    -------
    int
        The exit code, see `ExitCode`.
    """
    variables = os.environ if environment is None else environment
    match _bind(arguments, variables):
        case Success(command):
            return int(command())
        case Failure(code):
            return int(code)


def _bind(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[Callable[[], int], int]:
    name, rest = (arguments[0], list(arguments[1:])) if arguments else ("--help", [])
    added: set[str] = set()
    names = list(PLACE_BY_COMMAND)
    if name in PLACE_BY_COMMAND:
        names = [name]
        given = rest
        rest = with_environment(find_command(name), given, environment)
        added = set(rest) - set(given)
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            return Success(_parse(names, [name, *rest]))
    except SystemExit as stop:
        if stop.code in (None, ExitCode.DONE):
            return Failure(ExitCode.DONE)
        return Failure(_bad_input(_last_line(errors.getvalue(), added)))


def _parse(names: Iterable[str], arguments: list[str]) -> Callable[[], int]:
    return defopt.bind(
        {name: find_command(name) for name in names},
        argv=arguments,
        short={},
        # The other commands' help names defaults where there is something to name.
        show_defaults="serve" in names,
        version=f"{PROGRAM} {__version__}",
        argparse_kwargs={
            "prog": PROGRAM,
            "description": _DESCRIPTION,
            "epilog": _EPILOGUE,
        },
    )


def _last_line(errors: str, added: Iterable[str]) -> str:
    """Return the parser's message without the usage that comes before it."""
    message = errors.strip().splitlines()[-1]
    for argument in added:
        flag = argument.partition("=")[0]
        if f"{flag}:" in message:
            message += f" (from {variable_of(flag)})"
    return message


def _bad_input(message: str) -> ExitCode:
    print(message, file=sys.stderr)
    return ExitCode.BAD_INPUT
