"""What one VM and the operators' tool pay for the size of a configuration.

Run ``python -m benchmarks.config_size``. Each row is measured in a process of its
own; seconds are processor time, memory is resident. The figures of a row come from
one run; compare the rows.
"""

from __future__ import annotations

import gc
import subprocess
import sys
import time
from dataclasses import dataclass, replace

import defopt
import msgspec

from lagoonlatch.clock import HybridClock
from lagoonlatch.config.client_blocks import ROW_FORMAT_BY_VERSION, ClientBlockPages
from lagoonlatch.config.document import Document, encode_document
from lagoonlatch.config.head import EMPTY_HEAD, Head, encode_head
from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.config.model import (
    Configuration,
    DataCentre,
    Organisation,
    Route,
    Service,
    Upstream,
)
from lagoonlatch.config.sections import split_configuration
from lagoonlatch.events import EventLog
from lagoonlatch.standins.manual_clock import ManualClock

SIZES = (
    (100, 510, 48_000),
    (1_000, 510, 480_000),
    (1_000, 510, 4_800_000),
    (1_000, 5_100, 48_000),
    (10_000, 510, 48_000),
)
DATA_CENTRES = 46
REGIONS = 17
UPSTREAMS_PER_SERVICE = 30
_MEBIBYTE = 1 << 20
_SLASH_24 = 256
_HIGHEST_SLASH_24 = 1 << 24


@dataclass(frozen=True, kw_only=True)
class Figures:
    """One row of the table; sizes in bytes, processor time in seconds."""

    organisations: int
    upstreams: int
    blocks: int
    parts: int
    head_bytes: int
    document_bytes: int
    publish_split_s: float
    first_apply_s: float
    held_mib: float
    peak_mib: float
    key_change_s: float
    key_change_bytes: int
    block_change_s: float
    block_change_bytes: int


def make_configuration(organisations: int, upstreams: int, blocks: int):
    """Return a synthetic configuration of the sizes given."""
    centres = [f"dc-{i:02}" for i in range(DATA_CENTRES)]
    return Configuration(
        data_centres_by_id={
            centre: DataCentre(region=f"region-{i % REGIONS:02}")
            for i, centre in enumerate(centres)
        },
        organisations_by_id={
            f"organisation-{i:05}": Organisation(
                key_digests=(f"{i:064x}", f"{i + organisations:064x}"),
                rate=10.0 + i,
                burst=5,
            )
            for i in range(organisations)
        },
        services_by_id=_services(upstreams, centres),
        client_blocks=_blocks(blocks, tuple(centres)),
    )


def _services(upstreams, centres):
    route = Route(method="*", path_prefix="/", idempotent=False)
    services_by_id = {}
    for first in range(0, upstreams, UPSTREAMS_PER_SERVICE):
        numbers = range(first, min(first + UPSTREAMS_PER_SERVICE, upstreams))
        services_by_id[f"service-{first:05}"] = Service(
            routes=(route,),
            upstreams_by_id={
                f"upstream-{i:05}": Upstream(
                    data_centre=centres[i % len(centres)],
                    address=f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:9000",
                    slots=9,
                    connections=360,
                )
                for i in numbers
            },
        )
    return services_by_id


def _blocks(count, centres):
    """Return /24 blocks spread evenly over the address space."""
    row_format = ROW_FORMAT_BY_VERSION[4]
    pack = row_format.struct.pack
    rows_by_page: dict[str, bytearray] = {}
    for i in range(count):
        address = (i * _HIGHEST_SLASH_24 // count * _SLASH_24).to_bytes(4, "big")
        rows = rows_by_page.setdefault(f"4-{address[:1].hex()}", bytearray())
        rows += pack(address, 24, i % len(centres))
    pages = {page: bytes(rows) for page, rows in rows_by_page.items()}
    return ClientBlockPages(data_centres=centres, rows_by_page=pages)


def _one_key_withdrawn(configuration):
    organisations_by_id = dict(configuration.organisations_by_id)
    name, organisation = next(iter(organisations_by_id.items()))
    keys = organisation.key_digests[:1]
    organisations_by_id[name] = replace(organisation, key_digests=keys)
    return replace(configuration, organisations_by_id=organisations_by_id)


def _one_block_removed(configuration):
    blocks = configuration.client_blocks
    rows_by_page = dict(blocks.rows_by_page)
    page = sorted(rows_by_page)[len(rows_by_page) // 2]
    size = ROW_FORMAT_BY_VERSION[4].struct.size
    rows_by_page[page] = rows_by_page[page][size:]
    return replace(
        configuration, client_blocks=replace(blocks, rows_by_page=rows_by_page)
    )


def _extend(head: Head, change_id: str, configuration) -> tuple[Head, dict]:
    parts_by_section, content_by_part = split_configuration(configuration)
    return head.extend(change_id, parts_by_section), content_by_part


def _difference(former: Head, head: Head, content_by_part) -> bytes:
    """Return the document that a peer sends to a VM that holds `former`."""
    new = set(head.parts()) - set(former.parts())
    changed = {
        name: parts
        for name, parts in head.parts_by_section.items()
        if parts != former.parts_by_section.get(name)
    }
    contents = tuple(memoryview(content_by_part[part]) for part in new)
    return encode_document(Document(former.version, head.history, changed, contents))


def _processor_seconds(action, *arguments):
    began = time.process_time()
    result = action(*arguments)
    return time.process_time() - began, result


def _memory_mib(field):
    with open("/proc/self/status") as status:
        for line in status:
            if line.startswith(field):
                return int(line.split()[1]) / 1024
    raise AssertionError(f"no {field} in /proc/self/status")


def prepare(organisations: int, upstreams: int, blocks: int) -> None:
    """Print the documents of three versions, as a publisher makes them."""
    first = make_configuration(organisations, upstreams, blocks)
    split_s, (head, contents) = _processor_seconds(_extend, EMPTY_HEAD, "first", first)
    documents = [_difference(EMPTY_HEAD, head, contents)]
    changed = first
    for change in (_one_key_withdrawn, _one_block_removed):
        changed = change(changed)
        following, contents = _extend(head, change.__name__, changed)
        documents.append(_difference(head, following, contents))
        head = following
    sys.stdout.buffer.write(msgspec.msgpack.encode((split_s, documents)))


def measure(organisations: int, upstreams: int, blocks: int) -> Figures:
    """Return what one VM pays; documents are prepared in another process."""
    sizes = [str(organisations), str(upstreams), str(blocks)]
    command = [sys.executable, "-m", "benchmarks.config_size", "prepare", *sizes]
    output = subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout
    split_s, documents = msgspec.msgpack.decode(output)
    del output
    holder = ConfigurationHolder(EventLog("vm", HybridClock(ManualClock())))
    sizes_bytes = [len(document) for document in documents]
    gc.collect()
    before = _memory_mib("VmRSS")
    first_s, _ = _processor_seconds(holder.offer, 1, documents[0])
    peak = _memory_mib("VmHWM")
    documents[0] = b""
    gc.collect()
    # The document itself was in memory before; it is not held any more.
    held = _memory_mib("VmRSS") - (before - sizes_bytes[0] / _MEBIBYTE)
    head = holder.head()
    key_s, _ = _processor_seconds(holder.offer, 2, documents[1])
    block_s, _ = _processor_seconds(holder.offer, 3, documents[2])
    assert holder.current().version == 3, holder.current().version
    return Figures(
        organisations=organisations,
        upstreams=upstreams,
        blocks=blocks,
        parts=sum(1 for _ in head.parts()),
        head_bytes=len(encode_head(head)),
        document_bytes=sizes_bytes[0],
        publish_split_s=split_s,
        first_apply_s=first_s,
        held_mib=held,
        peak_mib=peak,
        key_change_s=key_s,
        key_change_bytes=sizes_bytes[1],
        block_change_s=block_s,
        block_change_bytes=sizes_bytes[2],
    )


def row(organisations: int, upstreams: int, blocks: int) -> None:
    """Print the figures of one size as JSON."""
    figures = msgspec.to_builtins(measure(organisations, upstreams, blocks))
    print({name: round(value, 4) for name, value in figures.items()})


def table() -> None:
    """Print the figures of all sizes."""
    for sizes in SIZES:
        command = [sys.executable, "-m", "benchmarks.config_size", "row"]
        subprocess.run([*command, *map(str, sizes)], check=True)


if __name__ == "__main__":
    if len(sys.argv) == 1:
        sys.argv.append("table")
    defopt.run([table, row, prepare])
