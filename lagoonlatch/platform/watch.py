"""A watch on the store: a stream of notices that fails when it goes silent."""

from __future__ import annotations

from collections.abc import Iterator

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Millis
from lagoonlatch.platform import gateway
from lagoonlatch.platform.connections import JSON_HEADERS, open_client
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.store import StoreError, StoreUnavailable, WatchNotice

DEFAULT_WATCH_SILENCE: Millis = 10_000.0

_OK = 200

Notice = Result[WatchNotice, StoreError]


def stream_notices(
    endpoint: Endpoint, prefix: str, silence: Millis
) -> Iterator[Notice]:
    """Yield a notice once the watch is open and for each change; then a failure.

    Parameters
    ----------
    prefix : str
        The keys watched.
    silence : Millis
        Longest time between two messages of the store, progress notices
        included, before the connection counts as lost.
    """
    client, _pool = open_client(endpoint, silence, size=1)
    try:
        yield from _read_stream(client, prefix)
    except (OSError, HTTPParseError) as error:
        reason = f"{type(error).__name__}: {error}"
        yield Failure(StoreUnavailable(f"watch lost: {reason}"))
    finally:
        client.close()


def _read_stream(client: HTTPClient, prefix: str) -> Iterator[Notice]:
    create = gateway.WatchCreateRequest(
        key=prefix.encode() or b"\0",
        range_end=gateway.prefix_end(prefix),
        progress_notify=True,
    )
    body = gateway.encode_message(gateway.WatchRequest(create_request=create))
    response = client.request("POST", gateway.WATCH_PATH, body, JSON_HEADERS)
    with response:
        if response.status_code != _OK:
            reason = f"watch refused: HTTP {response.status_code}"
            yield Failure(StoreUnavailable(reason))
            return
        yield from _read_lines(response, prefix)


def _read_lines(response: HTTPSocketPoolResponse, prefix: str) -> Iterator[Notice]:
    while line := response.readline(b"\n"):
        for notice in _notices(line, prefix):
            yield notice
            if isinstance(notice, Failure):
                return
    yield Failure(StoreUnavailable("watch ended by the store"))


def _notices(line: bytes, prefix: str) -> Iterator[Notice]:
    message = gateway.decode_message(line, gateway.WatchResponse)
    if isinstance(message, Failure):
        yield Failure(StoreUnavailable(message.failure()))
        return
    result = message.unwrap().result
    if result is None or result.canceled:
        yield Failure(StoreUnavailable("watch cancelled by the store"))
        return
    if result.created:
        yield Success(WatchNotice(prefix, 0))
    for event in result.events:
        key = event.kv.key.decode(errors="replace")
        yield Success(WatchNotice(key, event.kv.mod_revision))
