"""Where the platform answers."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


@dataclass(frozen=True)
class Endpoint:
    """An HTTP server and the address from which it is called.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    source : str
        Local IP address of connections; empty for the system's choice.
    """

    host: str
    port: int
    source: str = ""

    @property
    def pair(self) -> tuple[str, int]:
        """Host and port, as sockets take them."""
        return self.host, self.port

    @classmethod
    def from_untrusted(cls, address: str) -> Endpoint:
        """Return the endpoint at ``IP:port``, which another writer has stated.

        Raises
        ------
        ValueError
            If the host is no IP address or the port is not in 1 to 65,535.
        """
        host, _, port = address.rpartition(":")
        is_port = port.isascii() and port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
        if not is_port or not 0 < int(port) <= _MAX_PORT:
            raise ValueError(f"{address!r} has no port in 1 to {_MAX_PORT}")
        return cls(str(ip_address(host.strip("[]"))), int(port))

    @classmethod
    def from_address(cls, address: str, source: str = "") -> Endpoint:
        """Return the endpoint at ``IP:port``.

        Raises
        ------
        ValueError
            If `address` has no port; settings are checked before this.
        """
        host, separator, port = address.rpartition(":")
        if not separator or not port.isdecimal():
            raise ValueError(f"{address!r} is no IP:port; for example 127.0.0.1:2379")
        return cls(host.strip("[]"), int(port), source)
