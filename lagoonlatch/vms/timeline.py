"""The time line of a whole fleet, fetched from its VMs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gevent.pool import Pool
from returns.result import Result, Success

from lagoonlatch.clock import Millis, Stamp
from lagoonlatch.events import Event, merge_events
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert import event_from_thrift, stamp_to_thrift
from lagoonlatch.vms.errors import PeerError

FETCH_DEADLINE: Millis = 3_000.0
FETCHES_AT_ONCE = 32


@dataclass(frozen=True)
class Timeline:
    """The merged events, and why some VMs' events are missing.

    Parameters
    ----------
    events : tuple of Event
        In the order of their stamps.
    error_by_endpoint : dict
        Endpoints that did not answer.
    """

    events: tuple[Event, ...]
    error_by_endpoint: dict[tuple[str, int], PeerError]


def fetch_timeline(
    clients: PeerClients,
    endpoints: Iterable[tuple[str, int]],
    since: Stamp = Stamp(0, 0),  # noqa: B008 - frozen
    deadline: Millis = FETCH_DEADLINE,
) -> Timeline:
    """Fetch the events of VMs and merge them into one time line.

    Parameters
    ----------
    endpoints : iterable of (str, int)
        Address and port of each VM's peer server.
    since : Stamp
        Only later events.
    deadline : Millis
        For each VM's answer.
    """

    def fetch(endpoint):
        return endpoint, _fetch(clients, endpoint, since, deadline)

    logs = []
    error_by_endpoint = {}
    for endpoint, answer in Pool(FETCHES_AT_ONCE).imap(fetch, endpoints):
        match answer:
            case Success(events):
                logs.append(events)
            case _:
                error_by_endpoint[endpoint] = answer.failure()
    return Timeline(merge_events(logs), error_by_endpoint)


def _fetch(clients, endpoint, since, deadline) -> Result:
    answer = clients.call(
        *endpoint, "fetch_events", stamp_to_thrift(since), deadline=deadline
    )
    return answer.map(_known_events)


def _known_events(structs):
    """Return the events of the kinds known here; a newer sender may have more."""
    events = []
    for struct in structs:
        try:
            events.append(event_from_thrift(struct))
        except ValueError:
            continue
    return events
