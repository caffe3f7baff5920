"""Gives the store back the accepted state that it has lost.

A store restored from a backup shows an ancestor of the version in force. Left alone,
operators would publish from there and fork the history. As the ancestor is known,
writing the version in force is a fast-forward that loses no accepted change.
"""

from __future__ import annotations

from returns.result import Failure, Result, Success

from lagoonlatch.config.head import Head, encode_head
from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.config.lineage import Relation
from lagoonlatch.config.parts import StoredHead, write_parts
from lagoonlatch.config.pointer import HEAD_KEY, Pointer, encode_pointer
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.platform.store import Store, StoreError


class StoreRepair:
    """Writes the version in force to a store that shows its ancestor.

    Parameters
    ----------
    store : Store
        The platform's store.
    holder : ConfigurationHolder
        Has the version in force.
    event_log : EventLog
        Gets an alarm for each ancestor seen.
    """

    def __init__(
        self, store: Store, holder: ConfigurationHolder, event_log: EventLog
    ) -> None:
        self._store = store
        self._holder = holder
        self._event_log = event_log
        self._reported: Head | None = None

    def needed(self, stored: Head, in_force: Head) -> bool:
        """Return whether the store has lost versions.

        Parameters
        ----------
        stored : Head
            What the store shows.
        in_force : Head
            The version in force here before the store was read. A version put in
            force meanwhile may be newer than that read.
        """
        relation = self._holder.lineage().relation(stored)
        return relation is Relation.ANCESTOR and stored.version < in_force.version

    def run(self, stored: StoredHead) -> Result[bool, StoreError]:
        """Write the version in force if the store still shows `stored`.

        Returns
        -------
        Result
            False, as nothing changes on this VM; or the store's error. A conflict
            means that another VM or an operator was faster.
        """
        self._report(stored.head)
        head = self._holder.head()
        pointer = Pointer.from_head(head, stored.pointer.sweep)
        contents = {**self._holder.content_by_part(), pointer.head: encode_head(head)}
        lost = contents.keys() - set(stored.head.parts())
        written = write_parts(self._store, {part: contents[part] for part in lost})
        if isinstance(written, Failure):
            return written
        value = encode_pointer(pointer)
        swapped = self._store.put_if(HEAD_KEY, value, stored.revision)
        return swapped.bind(lambda _: Success(False))

    def _report(self, head: Head) -> None:
        if head == self._reported:
            return
        self._reported = head
        self._event_log.record(
            EventKind.CONFIGURATION_REGRESSED,
            str(head.version),
            in_force=str(self._holder.head().version),
            reason="the store has lost newer versions; they are written again",
        )
