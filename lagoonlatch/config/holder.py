"""The configuration in force on one VM."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from lagoonlatch.config.change_index import ChangeIndex
from lagoonlatch.config.document import (
    WHOLE,
    Document,
    decode_document,
    encode_document,
)
from lagoonlatch.config.head import Change, Head, Part
from lagoonlatch.config.lineage import Lineage, Relation
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.offers import (
    BaseDiffers,
    DocumentRejected,
    NotDescended,
    OfferError,
)
from lagoonlatch.config.received import check_received
from lagoonlatch.config.whole_version import WholeVersion
from lagoonlatch.events import EventKind, EventLog

Subscriber = Callable[[Configuration, Configuration], None]
Check = Callable[[Configuration, Configuration], Result[Configuration, str]]

MOST_REFUSED = 1_024
"""Changes remembered so that each raises one alarm."""


class ConfigurationHolder:
    """Holds the version in force and puts newer ones in force, whole and checked.

    A version is put in force only if it descends from the one in force, so that an
    accepted change never reverts, not even when the store loses its newest state.

    Parameters
    ----------
    event_log : EventLog
        Gets an event for each version in force, rejected or not descended.
    check : callable, optional
        Takes the configurations in force and offered; returns the one offered, or
        the rule that it breaks.
    """

    def __init__(self, event_log: EventLog, check: Check = check_received) -> None:
        self._event_log = event_log
        self._check = check
        self._configuration = Configuration()
        self._version = WholeVersion()
        self._changes = ChangeIndex()
        self._lineage = Lineage()
        self._subscribers: list[Subscriber] = []
        self._refused: set[Change] = set()
        self._rejection_by_change: dict[Change, DocumentRejected] = {}

    def current(self) -> Configuration:
        """Return the configuration in force; version 0 is the empty one."""
        return self._configuration

    def head(self) -> Head:
        """Return the head of the version in force."""
        return self._version.head

    def lineage(self) -> Lineage:
        """Return the changes known to lead to the version in force."""
        return self._lineage

    def subscribe(self, callback: Subscriber) -> None:
        """Call `callback` with the old and the new configuration at each change.

        It runs in the task that put the version in force and must not block.
        """
        self._subscribers.append(callback)

    def rejection(self, head: Head) -> DocumentRejected | None:
        """Return why `head` was rejected, if it was the last one rejected."""
        return self._rejection_by_change.get(head.change)

    def lacking(self, head: Head) -> tuple[Part, ...]:
        """Return the parts of `head` that the version in force doesn't contain."""
        return self._version.lacking(head)

    def content_by_part(self) -> dict[Part, bytes]:
        """Return a copy of the contents of the version in force."""
        return self._version.content_by_part()

    def document(self, known_version: int = WHOLE) -> bytes:
        """Return the version in force for another VM.

        Parameters
        ----------
        known_version : int
            The version that the other VM holds; what hasn't changed since is left
            out if this VM can tell.
        """
        if known_version < self._changes.first_version:
            known_version = WHOLE
        contents = tuple(
            content
            for digest, content in self._version.contents()
            if self._changes.part_changed_since(digest, known_version)
        )
        parts_by_section = {
            name: self._version.head.parts_by_section.get(name, ())
            for name in self._changes.sections_changed_since(known_version)
        }
        document = Document(
            known_version, self._version.head.history, parts_by_section, contents
        )
        return encode_document(document)

    def offer(self, version: int, document: bytes) -> Result[bool, OfferError]:
        """Put another VM's version in force if it is newer.

        Returns
        -------
        Result
            Whether it was put in force, or why it can't be.
        """
        decoded = decode_document(document).alt(DocumentRejected)
        return decoded.bind(lambda offered: self._offer(version, offered))

    def offer_document(self, document: bytes) -> Result[bool, OfferError]:
        """Put another VM's version in force if it is newer, whichever it is."""
        decoded = decode_document(document).alt(DocumentRejected)
        return decoded.bind(lambda offered: self._offer(None, offered))

    def _offer(
        self, version: int | None, offered: Document
    ) -> Result[bool, OfferError]:
        base = offered.base_version
        if base not in (WHOLE, self._version.head.version):
            return Failure(BaseDiffers(base, self._version.head.version))
        merged = offered.head_from(self._version.head)
        if isinstance(merged, Failure):
            if base == WHOLE:
                return merged.alt(DocumentRejected)
            return Failure(BaseDiffers(base, self._version.head.version))
        head = merged.unwrap()
        if version not in (None, head.version):
            reason = f"version {head.version} came as version {version}"
            return Failure(DocumentRejected(reason))
        return self.adopt(head, offered.content_by_digest())

    def adopt(
        self, head: Head, content_by_digest: Mapping[bytes, bytes | memoryview]
    ) -> Result[bool, OfferError]:
        """Put `head` in force if it descends from the version in force.

        Parameters
        ----------
        head : Head
            The version offered.
        content_by_digest : mapping of bytes to bytes or memoryview
            The contents that this VM lacks, by the SHA-256 computed from them.
        """
        relation = self._lineage.relation(head)
        if relation in (Relation.SAME, Relation.ANCESTOR):
            return Success(False)
        if relation is Relation.UNRELATED or self._refuses(relation):
            return Failure(self._refuse(head))
        rejection = self.rejection(head)
        if rejection is not None:
            return Failure(rejection)
        assembled = self._version.assemble(head, content_by_digest)
        return assembled.bind(self._put_in_force)

    def _refuses(self, relation: Relation) -> bool:
        """Whether a fork that this VM has seen makes an unknown relation unsafe."""
        return relation is Relation.UNKNOWN and bool(self._refused)

    def _refuse(self, head: Head) -> NotDescended:
        error = NotDescended(self._lineage.latest(), head.change)
        if head.change not in self._refused:
            if len(self._refused) >= MOST_REFUSED:
                self._refused.clear()
            self._refused.add(head.change)
            self._event_log.record(
                EventKind.CONFIGURATION_REGRESSED,
                str(head.version),
                in_force=str(error.in_force.version),
                change_id=head.change.change_id,
                reason="not descended from the version in force",
            )
        return error

    def _put_in_force(self, version: WholeVersion) -> Result[bool, OfferError]:
        head = version.head
        decoded = version.decode()
        checked = decoded.bind(
            lambda offered: self._check(self._configuration, offered)
        )
        if isinstance(checked, Failure):
            return Failure(self._reject(head, checked.failure()))
        former = self._configuration
        self._configuration = checked.unwrap()
        self._changes.note(self._version.head, head)
        self._version = version
        self._lineage.adopt(head)
        self._refused.clear()
        self._event_log.record(
            EventKind.CONFIGURATION_IN_FORCE,
            str(head.version),
            change_id=head.change.change_id,
        )
        for callback in self._subscribers:
            callback(former, self._configuration)
        return Success(True)

    def _reject(self, head: Head, reason: str) -> DocumentRejected:
        self._event_log.record(
            EventKind.CONFIGURATION_REJECTED,
            str(head.version),
            change_id=head.change.change_id,
            reason=reason,
        )
        rejection = DocumentRejected(reason)
        self._rejection_by_change = {head.change: rejection}
        return rejection
