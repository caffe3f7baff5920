"""Client of the daemons' operators API."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException
from typing import TypeVar

import msgspec
from geventhttpclient import HTTPClient
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis, Stamp
from lagoonlatch.events import Event
from lagoonlatch.operators.status import (
    Status,
    decode_events,
    decode_status,
    format_stamp,
)

DEFAULT_TIMEOUT: Millis = 2_000.0

T = TypeVar("T")


@dataclass(frozen=True)
class AdminError:
    """A daemon did not answer, or not as expected."""

    endpoint: str
    reason: str


@dataclass(frozen=True)
class AdminClient:
    """The operators API of one daemon.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        The daemon's port for operators.
    timeout : Millis
        How long each step of a call may take.
    """

    host: str
    port: int
    timeout: Millis = DEFAULT_TIMEOUT

    @classmethod
    def from_endpoint(
        cls, endpoint: str, timeout: Millis = DEFAULT_TIMEOUT
    ) -> AdminClient:
        """Return the client of the daemon at ``IP:port``."""
        host, _, port = endpoint.rpartition(":")
        return cls(host.strip("[]"), int(port), timeout)

    @property
    def endpoint(self) -> str:
        """``IP:port`` of the daemon."""
        return f"{self.host}:{self.port}"

    def status(self) -> Result[Status, AdminError]:
        """Return the daemon's status."""
        return self._call("GET", "/v1/status", decode_status)

    def events(self, since: Stamp) -> Result[tuple[Event, ...], AdminError]:
        """Return the daemon's events later than `since`."""
        path = f"/v1/events?since={format_stamp(since)}"
        return self._call("GET", path, decode_events)

    def drain(self) -> Result[Status, AdminError]:
        """Begin the planned stop of the daemon."""
        return self._call("POST", "/v1/drain", decode_status)

    def _call(
        self, method: str, path: str, decode: Callable[[bytes], T]
    ) -> Result[T, AdminError]:
        client = HTTPClient(
            self.host,
            self.port,
            connection_timeout=self.timeout / MILLIS_PER_SECOND,
            network_timeout=self.timeout / MILLIS_PER_SECOND,
        )
        try:
            response = client.request(method, path)
            body = bytes(response.read())
            if response.status_code >= 300:
                return self._failure(f"HTTP status {response.status_code}")
            return Success(decode(body))
        except (OSError, HTTPException) as error:
            return self._failure(str(error) or type(error).__name__)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return self._failure(f"unexpected answer: {error}")
        finally:
            client.close()

    def _failure(self, reason: str) -> Result[T, AdminError]:
        return Failure(AdminError(self.endpoint, reason))
