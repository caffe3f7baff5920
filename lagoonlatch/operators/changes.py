"""The operators' commands that change the accepted configuration."""

from __future__ import annotations

import sys
import uuid
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.codec import encode
from lagoonlatch.config.publish import (
    ChangeIdReused,
    ConfigurationRefused,
    HeadTooLarge,
    PublishConflict,
    Publisher,
    PublishError,
    PublishOutcomeUnknown,
    PublishUnavailable,
)
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.operators.accepted import Unreadable, read_accepted
from lagoonlatch.operators.admin_client import DEFAULT_TIMEOUT
from lagoonlatch.operators.builder import digest_key
from lagoonlatch.operators.commands import (
    STANDARD_INPUT,
    bad_input,
    complain,
    read_configuration,
)
from lagoonlatch.operators.confirmation import AcceptedChanges, await_change
from lagoonlatch.operators.discovery import (
    Daemon,
    DiscoveryError,
    find_daemons,
    is_endpoint,
)
from lagoonlatch.operators.withdrawal import NoSuchKey, withdraw_key
from lagoonlatch.platform.client import HttpStore
from lagoonlatch.settings import DEFAULT_OPERATORS_PORT

DEFAULT_WAIT: Millis = 6_000.0

_TRY_LATER = "nothing was changed; try again later"


def show(*, platform: str) -> int:
    """Print the accepted configuration as canonical JSON.

    Its version is what --based-on of the next apply takes.

    Parameters
    ----------
    platform
        IP:port of the platform's service.
    """
    if not is_endpoint(platform):
        return _bad_platform(platform)
    match read_accepted(HttpStore.from_address(platform)):
        case Success(configuration):
            print(encode(configuration).decode())
            return ExitCode.DONE
        case Failure(error):
            complain(error.reason)
            return ExitCode.FAILED


def apply(
    file: str,
    *,
    platform: str,
    based_on: int | None = None,
    change_id: str = "",
    vm: Sequence[str] = (),
    operators_port: int = DEFAULT_OPERATORS_PORT,
    timeout: float = DEFAULT_TIMEOUT,
    wait: float = DEFAULT_WAIT,
) -> int:
    """Put a configuration in force on every VM.

    The configuration is checked, accepted by the platform's store in one step, or
    not at all, and the VMs are asked until all have it in force.

    Parameters
    ----------
    file
        The configuration as JSON; - reads standard input.
    platform
        IP:port of the platform's service.
    based_on
        The version that the change was made from; by default the version in the
        file, which is 0 for the first configuration. If another change was accepted
        since, the command exits with 3 and changes nothing.
    change_id
        Names the change, so that the command can be repeated after an unknown
        outcome; random by default.
    vm
        IP:port of daemons' operators ports, asked instead of the listed VMs.
    operators_port
        The operators port of the listed VMs, 8082 by default.
    timeout
        How long a VM may take to answer, in milliseconds; 2000 by default.
    wait
        How long to wait for every VM, in milliseconds; 6000 by default.
    """
    if not is_endpoint(platform):
        return _bad_platform(platform)
    read = read_configuration(file)
    if isinstance(read, Failure):
        return bad_input(read.failure())
    configuration = read.unwrap()
    base = configuration.version if based_on is None else based_on
    name = change_id or f"apply-{uuid.uuid4().hex}"
    store = HttpStore.from_address(platform)
    publisher = Publisher(store, Clock())
    published = publisher.publish(configuration, name, base)
    if isinstance(published, Failure):
        return _report_error(published.failure())
    version = published.unwrap().version
    print(f"version {version} is accepted (change {name})", flush=True)
    daemons = find_daemons(platform, vm, operators_port, timeout)
    return _confirm(daemons, AcceptedChanges(store, version, name), wait)


def withdraw(
    organisation: str,
    key_digest: str,
    *,
    platform: str,
    vm: Sequence[str] = (),
    operators_port: int = DEFAULT_OPERATORS_PORT,
    timeout: float = DEFAULT_TIMEOUT,
    wait: float = DEFAULT_WAIT,
) -> int:
    """Withdraw one key of an organisation on every VM.

    Repeating the command with the whole digest does no harm.

    Parameters
    ----------
    organisation
        The organisation's id.
    key_digest
        SHA-256 of the key in hexadecimal, or 8 or more of its first digits; - reads
        the key itself from standard input.
    platform
        IP:port of the platform's service.
    vm
        IP:port of daemons' operators ports, asked instead of the listed VMs.
    operators_port
        The operators port of the listed VMs, 8082 by default.
    timeout
        How long a VM may take to answer, in milliseconds; 2000 by default.
    wait
        How long to wait for every VM, in milliseconds; 6000 by default.
    """
    if not is_endpoint(platform):
        return _bad_platform(platform)
    if key_digest == STANDARD_INPUT:
        key_digest = digest_key(sys.stdin.read().strip())
    store = HttpStore.from_address(platform)
    outcome = withdraw_key(store, Publisher(store, Clock()), organisation, key_digest)
    if isinstance(outcome, Failure):
        return _report_error(outcome.failure())
    withdrawn = outcome.unwrap()
    done = "was withdrawn before" if withdrawn.repeated else "is withdrawn"
    shown = f"{withdrawn.digest[:12]}..."
    print(f"key {shown} {done}, version {withdrawn.version}", flush=True)
    daemons = find_daemons(platform, vm, operators_port, timeout)
    accepted = AcceptedChanges(store, withdrawn.version, withdrawn.change_id)
    return _confirm(daemons, accepted, wait)


def _confirm(
    daemons: Result[tuple[Daemon, ...], DiscoveryError],
    accepted: AcceptedChanges,
    wait: Millis,
) -> ExitCode:
    if isinstance(daemons, Failure):
        complain(f"accepted, but not confirmed: {daemons.failure().message}")
        return ExitCode.UNCONFIRMED
    if not daemons.unwrap():
        complain("accepted, but not confirmed: the platform lists no VM")
        return ExitCode.UNCONFIRMED
    confirmation = await_change(daemons.unwrap(), accepted, wait, Clock())
    print(confirmation)
    seconds = confirmation.duration / MILLIS_PER_SECOND
    if confirmation.complete:
        print(f"in force on every VM asked, seen after {seconds:.1f} s")
        return ExitCode.DONE
    complain(f"accepted, but not in force on every VM after {seconds:.1f} s")
    return ExitCode.UNCONFIRMED


def _report_error(error: PublishError | Unreadable | NoSuchKey) -> ExitCode:
    match error:
        case NoSuchKey(message):
            return bad_input([message])
        case ConfigurationRefused(reason):
            return bad_input([reason])
        case PublishConflict(based_on, current):
            complain(
                f"conflict: this change is based on version {based_on}, but the "
                f"accepted version is {current.version}"
                f"{f' (change {current.change_id})' if current.change_id else ''}; "
                "see `lagoonlatch show`; nothing was changed"
            )
            return ExitCode.CONFLICT
        case ChangeIdReused(accepted):
            complain(
                f"conflict: change id {accepted.change_id} names version "
                f"{accepted.version} with other content; nothing was changed"
            )
            return ExitCode.CONFLICT
        case PublishOutcomeUnknown(change_id, reason):
            complain(
                f"the outcome is unknown: {reason}; repeat the command with "
                f"--change-id {change_id}"
            )
        case HeadTooLarge(size, limit):
            complain(
                f"the configuration has too many parts: its head takes {size} bytes; "
                f"valid: at most {limit}; nothing was changed"
            )
        case PublishUnavailable(reason) | Unreadable(reason):
            complain(f"the platform can't be used: {reason}; {_TRY_LATER}")
        case _:
            raise AssertionError(f"no word for {error!r}")
    return ExitCode.FAILED


def _bad_platform(platform: str) -> ExitCode:
    message = f"--platform {platform!r} is no IP:port; for example 127.0.0.1:2379"
    return bad_input([message])
