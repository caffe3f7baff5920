"""The platform's settings file: what a VM is told at its start."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

PATH_VARIABLE = "LAGOONLATCH_CONFIG"


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits that the users set on the behaviour of the system.

    Parameters
    ----------
    settle_time : Millis
        After a disturbance of a VM or the store, all bounds hold again after this.
    drain_time : Millis
        A leaving upstream gets nothing new after this.
    stop_grace : Millis
        From the request to stop until the process is killed.
    retry_ratio, retry_slack : float
        Repeats to a service in `retry_window`: ratio x requests + slack.
    cold_excess, cold_slack : float
        A cold upstream gets at most excess x its rate + slack in a second.
    longest_lookup_ttl : Millis
        Callers keep an answer of the directory no longer.
    """

    settle_time: Millis = 3_000.0
    drain_time: Millis = 2_500.0
    stop_grace: Millis = 6_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window: Millis = 10_000.0
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    longest_lookup_ttl: Millis = 5_000.0


_MEGABYTE = 1024 * 1024

DEFAULT_MEMORY_BYTES = 200 * _MEGABYTE
"""Memory of the smallest VMs, where the settings don't say."""


@dataclass(frozen=True, kw_only=True)
class VmSettings:
    """The settings of one VM.

    Parameters
    ----------
    region_by_data_centre : mapping of str to str
        All data centres of the installation.
    caller_address, readiness_address, directory_address, peer_address : str
        Where this VM listens, ``IP:port``.
    store_address : str
        The platform's store, ``IP:port``.
    memory_bytes : int
        What the VM's process may use.
    is_first_start : bool
        Whether the whole system starts for the first time.
    """

    vm: str
    data_centre: str
    region_by_data_centre: Mapping[str, str]
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_address: str
    store_address: str
    is_first_start: bool
    bounds: Bounds
    memory_bytes: int = DEFAULT_MEMORY_BYTES

    @property
    def region(self) -> str:
        """The region of this VM."""
        return self.region_by_data_centre[self.data_centre]

    @classmethod
    def from_environment(cls) -> Result[VmSettings, str]:
        """Read the file named by the platform's variable."""
        path = os.environ.get(PATH_VARIABLE, "")
        if not path:
            return Failure(f"{PATH_VARIABLE} is not set; it names the settings file")
        return cls.from_file(path)

    @classmethod
    def from_file(cls, path: str) -> Result[VmSettings, str]:
        """Read the settings at `path`; a failure says what is wrong."""
        try:
            with open(path, "rb") as file:
                wire = msgspec.toml.decode(file.read(), type=_File)
        except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            return Failure(f"settings {path!r}: {error}")
        return _to_settings(wire).alt(lambda reason: f"settings {path!r}: {reason}")


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str


class _Store(msgspec.Struct):
    addr: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float = DEFAULT_MEMORY_BYTES / _MEGABYTE


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    limits: _Limits = _Limits()
    bounds: list[str] = []
    bootstrap: bool = False


def _to_settings(wire: _File) -> Result[VmSettings, str]:
    if wire.zone not in wire.zones:
        valid = ", ".join(sorted(wire.zones))
        return Failure(f"unknown data centre {wire.zone!r}; valid: {valid}")
    return _to_bounds(wire.bounds).map(
        lambda bounds: VmSettings(
            vm=wire.node,
            data_centre=wire.zone,
            region_by_data_centre=wire.zones,
            caller_address=wire.listen.front,
            readiness_address=wire.listen.ready,
            directory_address=wire.listen.directory,
            peer_address=f"{wire.ip}:{wire.port_range[0]}",
            store_address=wire.platform.addr,
            is_first_start=wire.bootstrap,
            bounds=bounds,
            memory_bytes=round(wire.limits.memory_mb * _MEGABYTE),
        )
    )


_SECONDS = MILLIS_PER_SECOND
_FIELD_AND_UNIT_BY_BOUND = {
    "contact_s": ("settle_time", _SECONDS),
    "drain_s": ("drain_time", _SECONDS),
    "grace_s": ("stop_grace", _SECONDS),
    "retry_ratio": ("retry_ratio", 1.0),
    "retry_slack": ("retry_slack", 1.0),
    "retry_window_s": ("retry_window", _SECONDS),
    "cold_excess": ("cold_excess", 1.0),
    "cold_slack": ("cold_slack", 1.0),
    "ttl_max_s": ("longest_lookup_ttl", _SECONDS),
}


def _to_bounds(texts: Iterable[str]) -> Result[Bounds, str]:
    value_by_field = {}
    for text in texts:
        name, _, value = text.partition("=")
        known = _FIELD_AND_UNIT_BY_BOUND.get(name.strip())
        if known is None:
            continue
        field, unit = known
        try:
            value_by_field[field] = float(value) * unit
        except ValueError:
            return Failure(f"bound {text!r} is not name=number")
    return Success(Bounds(**value_by_field))
