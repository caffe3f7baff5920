"""A configuration as named byte strings, and those as parts of bounded size.

Sections change independently: one for each page of client blocks, one for all the
rest. A section is cut into parts by its content, so that a small change alters few
parts however large the configuration is.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import replace

import xxhash
from returns.result import Result

from lagoonlatch.config import codec
from lagoonlatch.config.block_parts import split_page
from lagoonlatch.config.head import Part
from lagoonlatch.config.model import Configuration

CORE_SECTION = "core"
PAGE_PREFIX = "blocks/"

_ITEM_SEPARATOR = b'},"'
_ITEMS_PER_PART = 64
_LARGEST_PART = 262_144


def encode_sections(configuration: Configuration) -> dict[str, bytes]:
    """Return the sections by name; version and change id are left out."""
    blocks = configuration.client_blocks
    core = replace(
        configuration,
        version=0,
        change_id="",
        client_blocks=replace(blocks, rows_by_page={}),
    )
    pages = {PAGE_PREFIX + page: rows for page, rows in blocks.rows_by_page.items()}
    return {CORE_SECTION: codec.encode(core), **pages}


def decode_sections(
    content_by_section: Mapping[str, bytes], version: int, change_id: str
) -> Result[Configuration, str]:
    """Return the configuration made of whole sections; pages are not copied."""
    rows_by_page = {
        name.removeprefix(PAGE_PREFIX): content
        for name, content in content_by_section.items()
        if name.startswith(PAGE_PREFIX)
    }
    core = codec.decode(content_by_section.get(CORE_SECTION, b""))
    return core.map(
        lambda configuration: replace(
            configuration,
            version=version,
            change_id=change_id,
            client_blocks=replace(
                configuration.client_blocks, rows_by_page=rows_by_page
            ),
        )
    )


def split_section(name: str, content: bytes) -> Iterator[bytes]:
    """Yield the pieces of a section, in order; joined, they are the section."""
    if name.startswith(PAGE_PREFIX):
        yield from split_page(name.removeprefix(PAGE_PREFIX), content)
        return
    for piece in _split_items(content):
        yield from _split_bytes(piece)


def split_configuration(
    configuration: Configuration,
) -> tuple[dict[str, tuple[Part, ...]], dict[Part, bytes]]:
    """Return the parts of each section, and the content of each part."""
    parts_by_section: dict[str, tuple[Part, ...]] = {}
    content_by_part: dict[Part, bytes] = {}
    for name, section in encode_sections(configuration).items():
        pieces = tuple(split_section(name, section))
        parts = tuple(map(Part.from_content, pieces))
        parts_by_section[name] = parts
        content_by_part.update(zip(parts, pieces, strict=True))
    return parts_by_section, content_by_part


def _split_items(content: bytes) -> Iterator[bytes]:
    """Cut after items chosen by their hash, about one in `_ITEMS_PER_PART`."""
    pending: list[bytes] = []
    items = content.split(_ITEM_SEPARATOR)
    for item in items[:-1]:
        pending.append(item + _ITEM_SEPARATOR)
        if xxhash.xxh32_intdigest(item) % _ITEMS_PER_PART == 0:
            yield b"".join(pending)
            pending.clear()
    pending.append(items[-1])
    yield b"".join(pending)


def _split_bytes(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content), _LARGEST_PART):
        yield content[start : start + _LARGEST_PART]
