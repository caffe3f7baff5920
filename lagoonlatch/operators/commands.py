"""The operators' commands that look at or drain VMs; each returns an exit code.

What a command was asked for goes to standard output, everything else to standard
error, so that output can be piped. The docstrings are the commands' help; their
parameters are described without types, which the command line takes from the
signatures.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis, Stamp
from lagoonlatch.config import codec
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.validation import validate
from lagoonlatch.events import merge_events
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.operators.admin_client import DEFAULT_TIMEOUT, AdminClient
from lagoonlatch.operators.discovery import (
    BadFlag,
    Daemon,
    DiscoveryError,
    ask_all,
    find_daemons,
)
from lagoonlatch.operators.reports import format_events, format_statuses
from lagoonlatch.settings import DEFAULT_OPERATORS_PORT

STANDARD_INPUT = "-"

Format = Literal["text", "json"]


def check(file: str) -> int:
    """Check a configuration without changing anything.

    Parameters
    ----------
    file
        The configuration as JSON; - reads standard input.
    """
    match read_configuration(file):
        case Success(configuration):
            print(f"{file}: valid; {_summary(configuration)}")
            return ExitCode.DONE
        case Failure(problems):
            return bad_input(problems)


def status(
    *,
    platform: str = "",
    vm: Sequence[str] = (),
    operators_port: int = DEFAULT_OPERATORS_PORT,
    timeout: float = DEFAULT_TIMEOUT,
    output: Format = "text",
) -> int:
    """Print a table of the fleet.

    Exits with 1 if a VM does not answer.

    Parameters
    ----------
    platform
        IP:port of the platform's service, whose list names the VMs.
    vm
        IP:port of daemons' operators ports, asked instead of the listed VMs.
    operators_port
        The operators port of the listed VMs, 8082 by default.
    timeout
        How long a VM may take to answer, in milliseconds; 2000 by default.
    output
        A table, or JSON by VM; text by default.
    """
    found = find_daemons(platform, vm, operators_port, timeout)
    if isinstance(found, Failure):
        return _undiscovered(found.failure())
    status_by_vm = ask_all(found.unwrap(), AdminClient.status)
    if output == "json":
        _print_json({name: _plain(answer) for name, answer in status_by_vm.items()})
    else:
        print(format_statuses(status_by_vm))
    return _all_answered(status_by_vm)


def events(
    *,
    platform: str = "",
    vm: Sequence[str] = (),
    operators_port: int = DEFAULT_OPERATORS_PORT,
    timeout: float = DEFAULT_TIMEOUT,
    last: float | None = None,
    output: Format = "text",
) -> int:
    """Print one time line of the events of all VMs, oldest first.

    Exits with 1 if a VM does not answer; the events of the others are printed.

    Parameters
    ----------
    platform
        IP:port of the platform's service, whose list names the VMs.
    vm
        IP:port of daemons' operators ports, asked instead of the listed VMs.
    operators_port
        The operators port of the listed VMs, 8082 by default.
    timeout
        How long a VM may take to answer, in milliseconds; 2000 by default.
    last
        Only events of the last so many seconds; all kept ones by default.
    output
        One event a line, or a JSON array; text by default.
    """
    found = find_daemons(platform, vm, operators_port, timeout)
    if isinstance(found, Failure):
        return _undiscovered(found.failure())
    since = _stamp_before(last)
    events_by_vm = ask_all(found.unwrap(), lambda client: client.events(since))
    merged = merge_events(answer.value_or(()) for answer in events_by_vm.values())
    if output == "json":
        _print_json(merged)
    else:
        print(format_events(merged))
    for name, answer in events_by_vm.items():
        if isinstance(answer, Failure):
            complain(f"{name}: no answer: {answer.failure().reason}")
    return _all_answered(events_by_vm)


def drain(
    vm: str,
    *,
    platform: str = "",
    operators_port: int = DEFAULT_OPERATORS_PORT,
    timeout: float = DEFAULT_TIMEOUT,
) -> int:
    """Begin the planned stop of one VM's daemon.

    The daemon takes no new work, hands over what it owns, answers the requests in
    flight and ends. Repeating the command does no harm.

    Parameters
    ----------
    vm
        The VM's id in the platform's list, or IP:port of its operators port.
    platform
        IP:port of the platform's service; needed when the VM is given by id.
    operators_port
        The operators port of the listed VMs, 8082 by default.
    timeout
        How long the VM may take to answer, in milliseconds; 2000 by default.
    """
    endpoints = [vm] if ":" in vm else []
    found = find_daemons(platform, endpoints, operators_port, timeout)
    if isinstance(found, Failure):
        return _undiscovered(found.failure())
    chosen = _choose(found.unwrap(), vm)
    if isinstance(chosen, Failure):
        return bad_input([chosen.failure()])
    match chosen.unwrap().client.drain():
        case Success(answer):
            print(f"{answer.vm}: leaving, {answer.in_flight} requests in flight")
            return ExitCode.DONE
        case Failure(error):
            complain(f"{vm}: no answer: {error.reason}")
            return ExitCode.FAILED


def read_document(file: str) -> Result[bytes, str]:
    """Return the content of a file, or of standard input for ``-``."""
    try:
        if file == STANDARD_INPUT:
            return Success(sys.stdin.buffer.read())
        return Success(Path(file).read_bytes())
    except OSError as error:
        return Failure(error.strerror)


def read_configuration(file: str) -> Result[Configuration, list[str]]:
    """Return the valid configuration in a file, or what is wrong with it."""
    decoded = read_document(file).bind(codec.decode)
    if isinstance(decoded, Failure):
        return Failure([f"{file}: {decoded.failure()}"])
    problems = validate(decoded.unwrap())
    if problems:
        return Failure([f"{file}: {problem}" for problem in problems])
    return decoded


def _choose(daemons: Sequence[Daemon], vm: str) -> Result[Daemon, str]:
    for daemon in daemons:
        if daemon.vm == vm:
            return Success(daemon)
    valid = ", ".join(daemon.vm for daemon in daemons)
    return Failure(f"vm {vm!r} is not listed; valid: {valid}")


def _stamp_before(seconds: float | None) -> Stamp:
    if seconds is None:
        return Stamp(0, 0)
    age: Millis = seconds * MILLIS_PER_SECOND
    return Stamp(max(0, int(Clock().wall() - age)), 0)


def _summary(configuration: Configuration) -> str:
    counts = {
        "data centres": configuration.data_centres_by_id,
        "organisations": configuration.organisations_by_id,
        "services": configuration.services_by_id,
        "moves": configuration.moves_by_id,
        "client blocks": configuration.client_blocks,
    }
    return ", ".join(f"{len(items)} {name}" for name, items in counts.items())


def _plain(answer: Result) -> object:
    if isinstance(answer, Success):
        return answer.unwrap()
    return {"error": answer.failure().reason}


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode())


def _all_answered(answers_by_vm: dict[str, Result]) -> ExitCode:
    if any(isinstance(answer, Failure) for answer in answers_by_vm.values()):
        return ExitCode.FAILED
    return ExitCode.DONE


def _undiscovered(error: DiscoveryError) -> ExitCode:
    if isinstance(error, BadFlag):
        return bad_input([error.message])
    complain(error.message)
    return ExitCode.FAILED


def bad_input(problems: Sequence[str]) -> ExitCode:
    """Print each problem to standard error and return the exit code."""
    for problem in problems:
        complain(problem)
    return ExitCode.BAD_INPUT


def complain(message: str) -> None:
    """Print one line to standard error."""
    print(f"lagoonlatch: error: {message}", file=sys.stderr)
