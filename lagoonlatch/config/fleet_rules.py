"""The rules for ids, links between regions and moves."""

from __future__ import annotations

import re
from collections.abc import Iterator

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.config.model import Configuration, Link, Move, Service
from lagoonlatch.config.rules import (
    HIGHEST_RATE,
    RULES,
    Problem,
    check_above_zero,
    check_id,
    check_keys,
    check_known,
    check_number,
    listed,
)

HIGHEST_VERSION = 2**53
LONGEST_CHANGE_ID = 128
LONGEST_DELAY: Millis = 10 * MILLIS_PER_SECOND
HIGHEST_CAPACITY_MBIT = 1e7

_CHANGE_ID = re.compile(r"[!-~]*")


@RULES.register("change")
def _check_change(configuration: Configuration) -> Iterator[Problem]:
    yield from check_number(
        "$.version", configuration.version, 0, HIGHEST_VERSION, "whole number"
    )
    change_id = configuration.change_id
    if len(change_id) > LONGEST_CHANGE_ID or not _CHANGE_ID.fullmatch(change_id):
        valid = f"at most {LONGEST_CHANGE_ID} printable ASCII characters, no space"
        yield Problem("$.change_id", change_id, valid)


@RULES.register("ids")
def _check_ids(configuration: Configuration) -> Iterator[Problem]:
    for collection in (
        "data_centres_by_id",
        "organisations_by_id",
        "services_by_id",
        "moves_by_id",
    ):
        yield from check_keys(f"$.{collection}", getattr(configuration, collection))
    for service_id, service in configuration.services_by_id.items():
        place = f"$.services_by_id.{service_id}.upstreams_by_id"
        yield from check_keys(place, service.upstreams_by_id)
    for centre_id, centre in configuration.data_centres_by_id.items():
        yield from check_id(f"$.data_centres_by_id.{centre_id}.region", centre.region)


@RULES.register("links")
def _check_links(configuration: Configuration) -> Iterator[Problem]:
    regions = configuration.regions()
    seen: set[tuple[str, ...]] = set()
    for index, link in enumerate(configuration.links):
        place = f"$.links[{index}]"
        yield from _check_link(place, link, regions)
        if link.regions in seen:
            yield Problem(f"{place}.regions", link.regions, "one link for each pair")
        seen.add(link.regions)


def _check_link(place: str, link: Link, regions: tuple[str, ...]) -> Iterator[Problem]:
    for region in link.regions:
        yield from check_known(f"{place}.regions", region, regions)
    if not link.regions[0] < link.regions[1]:
        yield Problem(f"{place}.regions", link.regions, "two regions, sorted")
    yield from check_above_zero(
        f"{place}.capacity_mbit", link.capacity_mbit, HIGHEST_CAPACITY_MBIT
    )
    yield from check_number(f"{place}.delay", link.delay, 0, LONGEST_DELAY)


@RULES.register("moves")
def _check_moves(configuration: Configuration) -> Iterator[Problem]:
    seen: dict[tuple[str, str, str], str] = {}
    for move_id, move in configuration.moves_by_id.items():
        place = f"$.moves_by_id.{move_id}"
        yield from _check_move(place, move, configuration)
        ends = (move.service, move.source, move.destination)
        if ends in seen:
            valid = f"one move of a service between two regions; {seen[ends]} is one"
            yield Problem(place, " ".join(ends), valid)
        seen.setdefault(ends, place)


def _check_move(
    place: str, move: Move, configuration: Configuration
) -> Iterator[Problem]:
    regions = configuration.regions()
    services = configuration.services_by_id
    yield from check_known(f"{place}.service", move.service, services)
    yield from check_known(f"{place}.source", move.source, regions)
    yield from check_known(f"{place}.destination", move.destination, regions)
    if move.source == move.destination:
        valid = f"another region than the source, {move.source}"
        yield Problem(f"{place}.destination", move.destination, valid)
    elif move.service in services and move.destination in regions:
        served = _regions_with_upstreams(configuration, services[move.service])
        if move.destination not in served:
            valid = f"a region with upstreams of {move.service}: {listed(served)}"
            yield Problem(f"{place}.destination", move.destination, valid)
    yield from check_above_zero(f"{place}.rate_cap", move.rate_cap, HIGHEST_RATE)
    yield from check_above_zero(f"{place}.share_cap", move.share_cap, 1.0)


def _regions_with_upstreams(
    configuration: Configuration, service: Service
) -> tuple[str, ...]:
    centres = configuration.data_centres_by_id
    used = {upstream.data_centre for upstream in service.upstreams_by_id.values()}
    return tuple(sorted({centres[used_id].region for used_id in used & set(centres)}))
