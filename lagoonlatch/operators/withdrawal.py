"""Withdrawal of one key of an organisation."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from lagoonlatch.config.model import Configuration
from lagoonlatch.config.publish import PublishConflict, Publisher, PublishError
from lagoonlatch.operators.accepted import Unreadable, read_accepted
from lagoonlatch.platform.store import Store

ATTEMPTS = 10
SHORTEST_PREFIX = 8
DIGEST_LENGTH = 64


@dataclass(frozen=True)
class Withdrawn:
    """The key is in no accepted configuration any more.

    Parameters
    ----------
    digest : str
        SHA-256 of the key.
    version : int
        A version without it.
    change_id : str
        The change that made that version.
    repeated : bool
        Whether it was withdrawn before.
    """

    digest: str
    version: int
    change_id: str
    repeated: bool = False


@dataclass(frozen=True)
class NoSuchKey:
    """The organisation or its key is not in the accepted configuration."""

    message: str


WithdrawalError = NoSuchKey | Unreadable | PublishError


def withdraw_key(
    store: Store, publisher: Publisher, organisation: str, prefix: str
) -> Result[Withdrawn, WithdrawalError]:
    """Remove a key from the accepted configuration.

    Other changes accepted meanwhile stay: after a conflict the removal is made
    again from the newer version, which can't undo anything.

    Parameters
    ----------
    store : Store
        Where the accepted configuration is read.
    publisher : Publisher
        Publishes the version without the key.
    organisation : str
        The organisation's id.
    prefix : str
        The digest of the key, or enough of its first digits.
    """
    outcome: Result[Withdrawn, WithdrawalError]
    for _ in range(ATTEMPTS):
        outcome = _attempt(store, publisher, organisation, prefix)
        lost_race = isinstance(outcome, Failure) and isinstance(
            outcome.failure(), PublishConflict
        )
        if not lost_race:
            break
    return outcome


def _attempt(
    store: Store, publisher: Publisher, organisation: str, prefix: str
) -> Result[Withdrawn, WithdrawalError]:
    accepted = read_accepted(store)
    if isinstance(accepted, Failure):
        return accepted
    configuration = accepted.unwrap()
    found = _find_digest(configuration, organisation, prefix)
    if isinstance(found, Failure):
        return found
    digest = found.unwrap()
    if digest not in configuration.organisations_by_id[organisation].key_digests:
        version, change_id = configuration.version, configuration.change_id
        return Success(Withdrawn(digest, version, change_id, repeated=True))
    published = publisher.publish(
        _without_key(configuration, organisation, digest),
        f"withdraw-{uuid.uuid4().hex}",
        configuration.version,
    )
    return published.map(lambda done: Withdrawn(digest, done.version, done.change_id))


def _find_digest(
    configuration: Configuration, organisation: str, prefix: str
) -> Result[str, NoSuchKey]:
    """Return the digest that `prefix` begins; a whole one need not be there."""
    organisations = configuration.organisations_by_id
    if organisation not in organisations:
        valid = ", ".join(sorted(organisations)) or "none is defined"
        return Failure(NoSuchKey(f"no organisation {organisation!r}; valid: {valid}"))
    lowered = prefix.lower()
    if len(lowered) < SHORTEST_PREFIX or set(lowered) - set("0123456789abcdef"):
        valid = f"{SHORTEST_PREFIX} to {DIGEST_LENGTH} hexadecimal digits"
        return Failure(NoSuchKey(f"the key digest is not valid; valid: {valid}"))
    digests = organisations[organisation].key_digests
    matching = [digest for digest in digests if digest.startswith(lowered)]
    if len(matching) == 1:
        return Success(matching[0])
    if not matching and len(lowered) == DIGEST_LENGTH:
        return Success(lowered)
    shown = ", ".join(digest[:SHORTEST_PREFIX] for digest in digests) or "none"
    count = "more than one" if matching else "no"
    return Failure(
        NoSuchKey(
            f"{organisation} has {count} key whose digest begins {lowered!r}; "
            f"valid: {shown}"
        )
    )


def _without_key(
    configuration: Configuration, organisation: str, digest: str
) -> Configuration:
    items = dict(configuration.organisations_by_id)
    kept = tuple(item for item in items[organisation].key_digests if item != digest)
    items[organisation] = replace(items[organisation], key_digests=kept)
    return replace(configuration, organisations_by_id=items)
