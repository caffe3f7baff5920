"""A client of the fault proxy's control server, for tests."""

from __future__ import annotations

import json
import urllib.request
from typing import Any

from lagoonlatch.clock import Millis

CONTROL_TIMEOUT_SECONDS = 10


class FaultControl:
    """Sets up a running fault proxy.

    Parameters
    ----------
    control : str
        ``IP:port`` that the proxy printed when it started.
    """

    def __init__(self, control: str) -> None:
        self._control = control

    def set_sources(self, group_by_address: dict[str, str]) -> None:
        """Set the groups of source addresses."""
        self._request("PUT", "sources", group_by_address)

    def forward(self, name: str, listen: str, target: str, group: str) -> None:
        """Start a forward from `listen` to `target`, which is in `group`."""
        body = {"listen": listen, "target": target, "group": group}
        self._request("PUT", f"forwards/{name}", body)

    def rule(
        self,
        name: str,
        source: str,
        target: str,
        both_ways: bool = True,
        **fault: Any,
    ) -> None:
        """Apply a fault between two groups; see `lagoonlatch.standins.faults`."""
        body = {
            "source": source,
            "target": target,
            "both_ways": both_ways,
            "fault": fault,
        }
        self._request("PUT", f"rules/{name}", body)

    def cut(self, source: str, target: str) -> None:
        """Cut two groups off from each other, silently, old and new connections."""
        self.rule(f"cut-{source}-{target}", source, target, swallow="all")

    def heal(self, source: str, target: str) -> None:
        """End `cut`."""
        self.end_rule(f"cut-{source}-{target}")

    def delay(self, source: str, target: str, delay: Millis) -> None:
        """Delay all bytes between two groups, one way each."""
        self.rule(f"delay-{source}-{target}", source, target, delay=delay)

    def end_rule(self, name: str) -> None:
        """End a rule."""
        self._request("DELETE", f"rules/{name}")

    def state(self) -> dict[str, dict[str, int]]:
        """Return open and accepted connections by forward name."""
        return self._request("GET", "state")

    def _request(self, method, path, body=None):
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self._control}/{path}", data=data, method=method
        )
        with urllib.request.urlopen(request, timeout=CONTROL_TIMEOUT_SECONDS) as answer:
            return json.loads(answer.read())
