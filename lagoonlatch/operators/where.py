"""The command that asks an entry VM where it would send a request."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus
from http.client import HTTPException
from urllib.parse import urlencode

import msgspec
from geventhttpclient import HTTPClient
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.entry.placement_query import WHERE_PATH
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.operators.admin_client import DEFAULT_TIMEOUT
from lagoonlatch.operators.commands import bad_input, complain, read_document
from lagoonlatch.operators.discovery import is_endpoint
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.steering.explanation import (
    Decision,
    Explanation,
    ServiceExplanation,
    UpstreamExplanation,
)


def where(
    vm: str,
    host: str,
    path: str,
    *,
    object: str = "",
    key_file: str = "",
    timeout: float = DEFAULT_TIMEOUT,
    json: bool | None = None,
) -> int:
    """Print where an entry VM would send a request now, and why.

    Nothing is sent to an upstream, and no state of the VM changes.

    Parameters
    ----------
    vm
        IP:port of the VM's metrics.
    host
        The host of the request.
    path
        The path of the request.
    object
        The object of the request, as its cookie names it.
    key_file
        A file with the organisation's key; - reads standard input.
    timeout
        How long the VM may take to answer, in milliseconds; 2000 by default.
    json
        Print JSON.
    """
    if not is_endpoint(vm):
        return bad_input([f"vm {vm!r} is no IP:port; for example 127.0.0.1:9464"])
    key = _read_key(key_file)
    if isinstance(key, Failure):
        return bad_input([key.failure()])
    parameters = {"host": host, "path": path, "object": object}
    try:
        status, body = _ask(vm, parameters, key.unwrap(), timeout)
    except (OSError, HTTPException) as error:
        complain(f"{vm}: no answer: {error or type(error).__name__}")
        return ExitCode.FAILED
    text = body.decode(errors="replace")
    if status == HTTPStatus.BAD_REQUEST:
        return bad_input([text])
    if status != HTTPStatus.OK:
        complain(f"{vm}: unexpected answer: HTTP status {status}")
        return ExitCode.FAILED
    try:
        explanation = msgspec.json.decode(body, type=Explanation)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        complain(f"{vm}: unexpected answer: {error}")
        return ExitCode.FAILED
    print(text if json else format_explanation(explanation))
    return ExitCode.DONE


def _read_key(file: str) -> Result[str, str]:
    """Return the key in a file; empty without a file. No message has the key."""
    if not file:
        return Success("")
    content = read_document(file)
    if isinstance(content, Failure):
        return Failure(f"{file}: {content.failure()}")
    key = content.unwrap().strip().decode("latin-1")
    if not key or not key.isprintable():
        return Failure(f"{file}: no key; valid: one line of printable characters")
    return Success(key)


def _ask(
    vm: str, parameters: dict[str, str], key: str, timeout: Millis
) -> tuple[int, bytes]:
    endpoint = Endpoint.from_address(vm)
    seconds = timeout / MILLIS_PER_SECOND
    client = HTTPClient(
        endpoint.host,
        endpoint.port,
        connection_timeout=seconds,
        network_timeout=seconds,
    )
    headers = {"Authorization": f"Token {key}"} if key else {}
    try:
        target = f"{WHERE_PATH}?{urlencode(parameters)}"
        response = client.request("GET", target, headers=headers)
        return response.status_code, bytes(response.read())
    finally:
        client.close()


def format_explanation(explanation: Explanation) -> str:
    """Return an explanation as text for people."""
    return "\n".join(_lines(explanation))


def _lines(explanation: Explanation) -> Iterator[str]:
    about = f" object {explanation.object_name}" if explanation.object_name else ""
    yield f"request       {explanation.host}{explanation.path}{about}"
    yield f"vm            {explanation.vm}, configuration {explanation.configuration}"
    if explanation.route:
        yield f"route         {explanation.route}"
    if explanation.organisation:
        yield f"organisation  {explanation.organisation}"
    if explanation.allowance:
        yield f"allowance     {explanation.allowance}"
    if explanation.refusal is not None:
        yield f"decision      {_describe_decision(explanation.refusal)}"
    for service in explanation.services:
        yield ""
        yield from _service_lines(service, explanation.refusal is not None)


def _service_lines(service: ServiceExplanation, is_refused: bool) -> Iterator[str]:
    yield f"service       {service.service}, {service.share:.0%} of the requests"
    name = "otherwise" if is_refused else "decision"
    yield f"{name:<14}{_describe_decision(service.decision)}"
    yield "candidates" if service.candidates else "candidates    none"
    for number, upstream in enumerate(service.candidates, 1):
        yield f"  {number}. {_describe_upstream(upstream)}"
    if service.skipped:
        yield f"skipped       {service.skipped_count}"
    for upstream in service.skipped:
        yield f"  -  {_describe_upstream(upstream)}"
    unlisted = service.skipped_count - len(service.skipped)
    if unlisted:
        yield f"  {unlisted} more aren't listed"


def _describe_upstream(upstream: UpstreamExplanation) -> str:
    return (
        f"{upstream.id}  {upstream.region}/{upstream.data_centre}  "
        f"load {upstream.load}/{upstream.slots}  "
        f"expected wait {upstream.expected_wait_ms} ms  "
        f"{'; '.join(upstream.states) or 'has room'}"
    )


def _describe_decision(decision: Decision) -> str:
    match decision.action:
        case "send":
            return f"sent to {decision.upstream}: {decision.reason}"
        case "wait":
            text = (
                f"waits up to {decision.max_wait_ms} ms for {decision.upstream}: "
                f"{decision.reason}"
            )
            if decision.fallback:
                text += (
                    f"; after {decision.fallback_after_ms} ms {decision.fallback} "
                    "may serve it"
                )
            return text
    delay = decision.retry_after_ms
    retry_after = (
        "" if delay is None else f", Retry-After {delay / MILLIS_PER_SECOND:g}"
    )
    return f"refused with {decision.status}{retry_after}: {decision.reason}"
