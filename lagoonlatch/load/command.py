"""The operators' command that sends load to a fleet and measures it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.strict import decode_strictly
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.load.generator import DEFAULT_TIMEOUT, run_load
from lagoonlatch.load.plan import LoadPlan
from lagoonlatch.load.report import format_load
from lagoonlatch.operators.accepted import read_accepted
from lagoonlatch.operators.commands import bad_input, complain, read_document
from lagoonlatch.operators.discovery import is_endpoint
from lagoonlatch.platform.client import HttpStore
from lagoonlatch.platform.vm_list import HttpVmList


def load(
    file: str,
    *,
    platform: str,
    vm: Sequence[str] = (),
    timeout: float = DEFAULT_TIMEOUT,
    output: Literal["text", "json"] = "text",
) -> int:
    """Send load to a fleet and print what callers saw of it.

    Requests are sent when they are due, whether or not earlier ones were answered;
    latency counts from then. Refusals are judged against an exact bucket with the
    organisation's accepted rate and burst.

    Parameters
    ----------
    file
        The plan as JSON, see docs/operators/load.md; - reads standard input.
    platform
        IP:port of the platform's service, for the accepted configuration and the
        list of VMs.
    vm
        IP addresses of VMs that callers ask first, instead of the listed ones.
    timeout
        Longest wait for an answer, in milliseconds; 15000 by default.
    output
        A table, or all figures as JSON; text by default.
    """
    if not is_endpoint(platform):
        message = f"--platform {platform!r} is no IP:port; for example 127.0.0.1:2379"
        return bad_input([message])
    read = read_document(file).bind(lambda text: decode_strictly(text, LoadPlan))
    if isinstance(read, Failure):
        return bad_input([f"{file}: {read.failure()}"])
    plan = read.unwrap()
    accepted = read_accepted(HttpStore.from_address(platform))
    if isinstance(accepted, Failure):
        return _failed(accepted.failure().reason)
    checked = _check_plan(plan, accepted.unwrap())
    if isinstance(checked, Failure):
        return bad_input([f"{file}: {checked.failure()}"])
    vms = tuple(vm) or _listed_vms(platform)
    if not vms:
        return _failed("the platform lists no VM, or its list can't be read")
    recorder = run_load(plan, vms, Clock(), timeout)
    figures = recorder.report(accepted.unwrap().organisations_by_id)
    print(_json(figures) if output == "json" else format_load(figures))
    return ExitCode.DONE


def _check_plan(plan: LoadPlan, configuration: Configuration) -> Result[LoadPlan, str]:
    """Return the plan, or a message about the first value that can't be sent."""
    known = {
        "organisation": configuration.organisations_by_id,
        "service": configuration.services_by_id,
    }
    for index, stream in enumerate(plan.streams):
        place = f"$.streams[{index}]"
        for name, items in known.items():
            value = getattr(stream, name)
            if value not in items:
                valid = ", ".join(sorted(items)) or "none is accepted"
                return Failure(f"{place}.{name}: {value!r} is unknown; valid: {valid}")
        if not stream.rate > 0:
            return Failure(f"{place}.rate: {stream.rate} is not valid; valid: above 0")
    if not plan.duration > 0:
        return Failure(f"$.duration: {plan.duration} is not valid; valid: above 0 ms")
    return Success(plan)


def _listed_vms(platform: str) -> tuple[str, ...]:
    listed = HttpVmList.from_address(platform).read_vms().value_or(())
    return tuple(vm.address for vm in listed)


def _json(figures: dict[str, object]) -> str:
    return msgspec.json.encode(figures).decode()


def _failed(reason: str) -> int:
    complain(reason)
    return ExitCode.FAILED
