"""The calls by which callers and the platform ask a VM: look-up and readiness."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

LOOKUP_PATH = "/resolve"
READINESS_PATH = "/readyz"
MAX_ADDRESSES = 64


@dataclass(frozen=True, kw_only=True)
class LookupQuery:
    """A caller's question for VMs.

    Parameters
    ----------
    host : str
        The host that it wants to call.
    region, data_centre : str
        Where the caller is; empty if it doesn't say.
    """

    host: str
    region: str
    data_centre: str


def read_lookup_query(query: str) -> LookupQuery:
    """Decode the query part of a look-up."""
    values_by_name = parse_qs(query)
    return LookupQuery(
        host=values_by_name.get("name", [""])[0],
        region=values_by_name.get("region", [""])[0],
        data_centre=values_by_name.get("zone", [""])[0],
    )


def encode_lookup_answer(addresses: Sequence[str], ttl: Millis) -> bytes:
    """Return the body that names `addresses`, good for `ttl`."""
    return msgspec.json.encode(
        {
            "addrs": list(addresses[:MAX_ADDRESSES]),
            "ttl_s": ttl / MILLIS_PER_SECOND,
        }
    )
