"""A TCP proxy that injects faults between groups of endpoints.

``python -m lagoonlatch.standins.faults --control 127.0.0.1:9900`` starts it; the
rest is set over HTTP on the control address, with JSON bodies:

- ``PUT /sources`` ``{"127.0.1.1": "norte-1", ...}``: the group (say the data
  centre) of connections that come from an address.
- ``PUT /forwards/<name>`` ``{"listen": "127.0.1.1:8081", "target":
  "127.0.1.1:18081", "group": "norte-1"}``: listen, and pass connections on to
  the target, which is in the group. Outgoing connections are bound to the
  address that the incoming one came from.
- ``PUT /rules/<name>`` ``{"source": "norte-1", "target": "norte-2", "fault":
  {...}}``: apply a `Fault` to connections from one group to another; ``*`` is
  every group. With ``"both_ways": true``, the default, also from the second
  to the first. A rule replaces the one of the same name.
- ``DELETE /rules/<name>`` ends a rule.
- ``GET /state`` returns the connections open for each forward.

The parts of a fault add up over the rules that match a connection. The longest
delay and the smallest bandwidth hold.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from enum import Enum

import defopt
import msgspec
from gevent import pywsgi
from gevent.event import Event

from lagoonlatch.clock import Millis
from lagoonlatch.standins.fault_relay import Relay, RelayedConnection

ANY_GROUP = "*"


class Swallow(Enum):
    """Which connections lose all bytes both ways, without being closed."""

    NOTHING = "nothing"
    EXISTING = "existing"
    ALL = "all"


@dataclass(frozen=True, kw_only=True)
class Fault:
    """What happens to the connections that a rule matches.

    Parameters
    ----------
    delay : Millis
        Added to every byte, one way; opening a connection costs two more.
    mbit : float
        Megabits a second of each connection and direction; 0: unbounded.
    refuse : bool
        Reset new connections.
    cut : bool
        Reset existing connections when the rule begins, and new ones.
    swallow : Swallow
        Lose all bytes for good. A connection that lost bytes stays silent after
        the rule has ended.
    lose_after : int
        Lose all bytes of a direction after this many; -1: never.
    half_open : bool
        Do not pass on that one end has closed.
    """

    delay: Millis = 0.0
    mbit: float = 0.0
    refuse: bool = False
    cut: bool = False
    swallow: Swallow = Swallow.NOTHING
    lose_after: int = -1
    half_open: bool = False


@dataclass(frozen=True, kw_only=True)
class Forward:
    """A listening address, the target behind it and the target's group."""

    listen: str
    target: str
    group: str


@dataclass(frozen=True, kw_only=True)
class Rule:
    """A fault on the connections from one group to another."""

    source: str
    target: str
    fault: Fault
    both_ways: bool = True

    def matches(self, source: str, target: str) -> bool:
        """Tell whether the rule holds for a connection between two groups."""
        if self._matches_one_way(source, target):
            return True
        return self.both_ways and self._matches_one_way(target, source)

    def _matches_one_way(self, source, target):
        return self.source in (ANY_GROUP, source) and self.target in (
            ANY_GROUP,
            target,
        )


class FaultProxy:
    """Forwards connections and applies the rules to them."""

    def __init__(self) -> None:
        self._group_by_address: dict[str, str] = {}
        self._relays_by_name: dict[str, Relay] = {}
        self._rules_by_name: dict[str, Rule] = {}

    def set_sources(self, group_by_address: dict[str, str]) -> None:
        """Set the groups of the addresses that connections come from."""
        self._group_by_address = group_by_address

    def set_forward(self, name: str, forward: Forward) -> None:
        """Start a forward, in place of one of the same name."""
        if name in self._relays_by_name:
            self._relays_by_name.pop(name).stop()
        relay = Relay(forward.listen, forward.target, self._admit(forward.group))
        relay.start()
        self._relays_by_name[name] = relay

    def set_rule(self, name: str, rule: Rule) -> None:
        """Apply a rule, to existing connections too."""
        self._rules_by_name[name] = rule
        for connection in self._connections():
            if not rule.matches(connection.source_group, connection.target_group):
                continue
            if rule.fault.cut:
                connection.reset()
            if rule.fault.swallow is not Swallow.NOTHING:
                connection.silence()
        self._shape_all()

    def end_rule(self, name: str) -> None:
        """End a rule; what it silenced stays silent."""
        self._rules_by_name.pop(name, None)
        self._shape_all()

    def stop(self) -> None:
        """Stop all forwards."""
        for relay in self._relays_by_name.values():
            relay.stop()
        self._relays_by_name.clear()

    def state(self) -> dict[str, dict[str, int]]:
        """Return open and accepted connections by forward name."""
        return {
            name: {"open": len(relay.connections), "accepted": relay.accepted}
            for name, relay in self._relays_by_name.items()
        }

    def _connections(self):
        for relay in self._relays_by_name.values():
            yield from tuple(relay.connections)

    def _admit(self, target_group):
        def admit(connection: RelayedConnection) -> bool:
            connection.source_group = self._group_by_address.get(
                connection.source_address, ""
            )
            connection.target_group = target_group
            faults = self._faults_of(connection)
            if any(fault.refuse or fault.cut for fault in faults):
                return False
            if any(fault.swallow is Swallow.ALL for fault in faults):
                connection.silence()
            _shape(connection, faults)
            return True

        return admit

    def _faults_of(self, connection):
        groups = (connection.source_group, connection.target_group)
        return [
            rule.fault for rule in self._rules_by_name.values() if rule.matches(*groups)
        ]

    def _shape_all(self):
        for connection in self._connections():
            _shape(connection, self._faults_of(connection))


def _shape(connection: RelayedConnection, faults: list[Fault]) -> None:
    connection.delay = max((fault.delay for fault in faults), default=0.0)
    rates = [fault.mbit for fault in faults if fault.mbit > 0]
    connection.mbit = min(rates, default=0.0)
    limits = [fault.lose_after for fault in faults if fault.lose_after >= 0]
    connection.lose_after = min(limits, default=-1)
    connection.half_open = any(fault.half_open for fault in faults)


class ControlApp:
    """The WSGI application that sets up a `FaultProxy`."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy

    def __call__(self, environ, start_response):
        """Answer one request."""
        body = environ["wsgi.input"].read()
        method = environ["REQUEST_METHOD"]
        _, kind, name = (environ["PATH_INFO"] + "/").split("/", 2)
        try:
            answer = self._handle(method, kind, name.strip("/"), body)
            status = "200 OK"
        except (msgspec.MsgspecError, OSError, LookupError) as error:
            answer = {"error": str(error)}
            status = "400 Bad Request"
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def _handle(self, method, kind, name, body):
        match method, kind:
            case "PUT", "sources":
                decoded = msgspec.json.decode(body, type=dict[str, str])
                self._proxy.set_sources(decoded)
            case "PUT", "forwards":
                decoded = msgspec.json.decode(body, type=Forward)
                self._proxy.set_forward(name, decoded)
            case "PUT", "rules":
                self._proxy.set_rule(name, msgspec.json.decode(body, type=Rule))
            case "DELETE", "rules":
                self._proxy.end_rule(name)
            case "GET", "state":
                return self._proxy.state()
            case _:
                raise LookupError(f"no such call: {method} /{kind}")
        return {}


def main(*, control: str) -> None:
    """Run the proxy until it is ended.

    Parameters
    ----------
    control : str
        ``IP:port`` of the control server; with port 0 a free one is taken. The
        address is printed once it listens.
    """
    address, _, port = control.rpartition(":")
    server = pywsgi.WSGIServer(
        (address, int(port)), ControlApp(FaultProxy()), log=None, error_log=sys.stderr
    )
    server.start()
    print(f"{address}:{server.server_port}", flush=True)
    Event().wait()


if __name__ == "__main__":
    defopt.run(main)
