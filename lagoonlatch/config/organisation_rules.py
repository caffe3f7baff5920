"""The rules for organisations and their keys."""

from __future__ import annotations

import re
from collections.abc import Iterator

from lagoonlatch.config.model import Configuration, Organisation
from lagoonlatch.config.rules import (
    HIGHEST_COUNT,
    HIGHEST_RATE,
    RULES,
    Problem,
    check_above_zero,
    check_number,
)

HIGHEST_WEIGHT = 1_000

_DIGEST = re.compile(r"[0-9a-f]{64}")


@RULES.register("organisations")
def _check_organisations(configuration: Configuration) -> Iterator[Problem]:
    for organisation_id, organisation in configuration.organisations_by_id.items():
        place = f"$.organisations_by_id.{organisation_id}"
        yield from _check_organisation(place, organisation)


def _check_organisation(place: str, organisation: Organisation) -> Iterator[Problem]:
    yield from check_above_zero(f"{place}.rate", organisation.rate, HIGHEST_RATE)
    yield from check_number(
        f"{place}.burst", organisation.burst, 1, HIGHEST_COUNT, "whole number"
    )
    yield from check_number(
        f"{place}.weight", organisation.weight, 1, HIGHEST_WEIGHT, "whole number"
    )
    for index, digest in enumerate(organisation.key_digests):
        if not _DIGEST.fullmatch(digest):
            yield Problem(
                f"{place}.key_digests[{index}]",
                "(not shown)",
                "SHA-256 of the key as 64 lower-case hexadecimal digits",
            )


@RULES.register("key digests")
def _check_key_digests(configuration: Configuration) -> Iterator[Problem]:
    place_by_digest: dict[str, str] = {}
    for organisation_id, organisation in configuration.organisations_by_id.items():
        for index, digest in enumerate(organisation.key_digests):
            place = f"$.organisations_by_id.{organisation_id}.key_digests[{index}]"
            if digest in place_by_digest:
                valid = f"a key given once; it is also {place_by_digest[digest]}"
                yield Problem(place, f"{digest[:12]}...", valid)
            place_by_digest.setdefault(digest, place)
