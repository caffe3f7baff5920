"""Publication of a configuration: immutable parts, then one compare-and-swap.

See Also
--------
lagoonlatch.config.sweep : Removal of parts that no head names any more.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.config.head import (
    EMPTY_HEAD,
    Change,
    Head,
    Part,
    digest_sections,
    encode_head,
)
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.parts import read_head, write_parts
from lagoonlatch.config.pointer import HEAD_KEY, Pointer, encode_pointer
from lagoonlatch.config.publish_outcomes import (
    ChangeIdReused,
    ConfigurationRefused,
    HeadTooLarge,
    PublishConflict,
    Published,
    PublishError,
    PublishOutcomeUnknown,
    PublishUnavailable,
)
from lagoonlatch.config.received import check_received
from lagoonlatch.config.sections import split_configuration
from lagoonlatch.config.sweep import sweep_parts
from lagoonlatch.platform.gateway import VALUE_LIMIT
from lagoonlatch.platform.store import (
    Store,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

ATTEMPTS = 5
VERSIONS_PER_SWEEP = 64
RETRY_PAUSE: Millis = 200.0


@dataclass(frozen=True)
class _Proposal:
    """A change on its way to the store."""

    change_id: str
    based_on: int
    base_change_id: str
    joined: Head
    parts_by_section: Mapping[str, tuple[Part, ...]]
    content_by_part: Mapping[Part, bytes]


class Publisher:
    """Publishes configurations in the store.

    Parameters
    ----------
    store : Store
        The platform's store; its reads see all writes acknowledged before.
    clock : Clock
        Paces attempts.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def publish(
        self,
        configuration: Configuration,
        change_id: str,
        based_on: int,
        joined: Head = EMPTY_HEAD,
    ) -> Result[Published, PublishError]:
        """Make `configuration` the accepted one if `based_on` still is.

        Publishing the same change again is idempotent while the head's history
        reaches it.

        Parameters
        ----------
        configuration : Configuration
            The whole new configuration. If its version is `based_on`, its change
            id has to be that of the accepted configuration: a store that lost
            changes may show another one under the same version.
        change_id : str
            Names the change; unique for ever.
        based_on : int
            The version that the change was made from, 0 for the first.
        joined : Head, optional
            The head in force on VMs that refuse the store's, as they hold accepted
            changes that the store has lost; `configuration` has to contain both.
        """
        assert change_id, "a change needs an id"
        checked = check_received(
            Configuration(), replace(configuration, change_id=change_id)
        )
        if isinstance(checked, Failure):
            return checked.alt(ConfigurationRefused)
        parts_by_section, content_by_part = split_configuration(configuration)
        proposal = _Proposal(
            change_id,
            based_on,
            _base_change_id(configuration, based_on),
            joined,
            parts_by_section,
            content_by_part,
        )
        outcome = self._settle(proposal)
        if isinstance(outcome, Success):
            self._sweep_if_due(outcome.unwrap().version)
        return outcome

    def _sweep_if_due(self, version: int) -> None:
        """Remove unused parts now and then; the next time makes up for a failure."""
        if version % VERSIONS_PER_SWEEP == 0:
            sweep_parts(self._store)

    def _settle(self, proposal: _Proposal) -> Result[Published, PublishError]:
        """Try until the outcome is known or the attempts are used up.

        The same compare-and-swap is repeated after a lost answer: only one of the
        repeats can succeed, and a conflict proves that the others no longer can.
        """
        unsettled = False
        reason = ""
        for attempt in range(ATTEMPTS):
            if attempt:
                self._clock.sleep(RETRY_PAUSE * attempt)
            outcome = self._attempt(proposal)
            if isinstance(outcome, Success):
                return outcome
            error = outcome.failure()
            if not isinstance(error, StoreError):
                return Failure(error)
            unsettled |= isinstance(error, StoreOutcomeUnknown)
            reason = str(error)
        if unsettled:
            return Failure(PublishOutcomeUnknown(proposal.change_id, reason))
        return Failure(PublishUnavailable(reason))

    def _attempt(
        self, proposal: _Proposal
    ) -> Result[Published, PublishError | StoreError]:
        found = read_head(self._store)
        if isinstance(found, Failure):
            return found
        base = found.unwrap()
        decided = _decide(proposal, base.head)
        if decided is not None:
            return decided
        successor = base.head.join(proposal.joined).extend(
            proposal.change_id, proposal.parts_by_section
        )
        encoded = encode_head(successor)
        if len(encoded) > VALUE_LIMIT:
            return Failure(HeadTooLarge(len(encoded), VALUE_LIMIT))
        pointer = Pointer.from_head(successor, base.pointer.sweep)
        new_parts = proposal.content_by_part.keys() - set(base.head.parts())
        contents = {part: proposal.content_by_part[part] for part in new_parts}
        written = write_parts(self._store, {**contents, pointer.head: encoded})
        if isinstance(written, Failure):
            return Failure(_part_error(written.failure()))
        swapped = self._store.put_if(HEAD_KEY, encode_pointer(pointer), base.revision)
        return swapped.map(
            lambda _: Published(successor.version, proposal.change_id, len(new_parts))
        )


def _decide(proposal: _Proposal, head: Head) -> Result[Published, PublishError] | None:
    """Return the outcome that `head` settles already, or None to go on."""
    accepted = head.find_change(proposal.change_id)
    if accepted is not None:
        if accepted.digest != digest_sections(proposal.parts_by_section):
            return Failure(ChangeIdReused(accepted))
        return Success(Published(accepted.version, accepted.change_id, 0))
    if not _is_base(proposal, head.change):
        return Failure(PublishConflict(proposal.based_on, head.change))
    return None


def _base_change_id(configuration: Configuration, based_on: int) -> str:
    """Return the id of the change that made the base, empty if unknown."""
    if configuration.version != based_on or based_on == 0:
        return ""
    return configuration.change_id


def _is_base(proposal: _Proposal, change: Change) -> bool:
    if proposal.base_change_id not in ("", change.change_id):
        return False
    return proposal.based_on == change.version


def _part_error(error: StoreError) -> StoreError:
    """Return the error as one without effect: parts alone put nothing in force."""
    if isinstance(error, StoreOutcomeUnknown):
        return StoreUnavailable(error.reason)
    return error
