"""How old the knowledge is that the keys in force here are still valid."""

from __future__ import annotations

from collections import Counter

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.membership import Membership

REFRESH_INTERVAL: Millis = 500.0


class Confirmation:
    """The newest reading of the store that vouches for the configuration here.

    The reading may be another VM's: heartbeats carry its age.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at: Millis | None = None

    def note(self, at: Millis) -> None:
        """Take in a reading of the instant `at` of this process's clock."""
        if self._at is None or at > self._at:
            self._at = at

    def age(self) -> Millis | None:
        """Return the age of the newest reading, or None before the first."""
        return None if self._at is None else self._clock.now() - self._at


class Contacts:
    """When this VM was in touch with the data centres, and with most VMs.

    A VM that does not speak with other data centres itself learns from those of its
    own that do: heartbeats carry the age of their quorum.
    """

    def __init__(self, me: Membership, clock: Clock) -> None:
        self._membership = me
        self._clock = clock
        self._at_by_data_centre: dict[str, Millis] = {}
        self._told_at: Millis | None = None

    def note(self, vm: str, at: Millis, quorum_at: Millis | None) -> None:
        """Take in that `vm` was in touch at `at`, and had a quorum at `quorum_at`."""
        record = self._membership.record(vm)
        if record is None:
            return
        known = self._at_by_data_centre.get(record.data_centre, at)
        self._at_by_data_centre[record.data_centre] = max(known, at)
        if quorum_at is not None:
            self._told_at = max(quorum_at, self._told_at or quorum_at)

    def quorum_at(self) -> Millis | None:
        """Return the newest instant of touch with most VMs, or None."""
        found = [at for at in (self._own_quorum_at(), self._told_at) if at is not None]
        return max(found, default=None)

    def _own_quorum_at(self) -> Millis | None:
        """Return since when data centres with more than half of the VMs were met."""
        vms = Counter(record.data_centre for record in self._membership.records())
        now = self._clock.now()
        at_by_data_centre = self._at_by_data_centre | {
            self._membership.me.data_centre: now
        }
        newest = sorted(at_by_data_centre.items(), key=lambda item: -item[1])
        met = 0
        for data_centre, at in newest:
            met += vms[data_centre]
            if 2 * met > vms.total():
                return at
        return None


class KeyTrust:
    """Whether this VM may honour keys now, worked out a few times a second.

    Parameters
    ----------
    grace : Millis
        See `keys_confirmed`.
    """

    def __init__(
        self,
        confirmation: Confirmation,
        contacts: Contacts,
        grace: Millis,
        clock: Clock,
    ) -> None:
        self._confirmation = confirmation
        self._contacts = contacts
        self._grace = grace
        self._clock = clock
        self._holds = False
        self._quorum_at: Millis | None = None
        self._read_at: Millis | None = None

    def holds(self) -> bool:
        """Return whether keys may be honoured."""
        self._refresh()
        return self._holds

    def quorum_age(self) -> Millis | None:
        """Return the age of the newest touch with most VMs, or None.

        The age is that of now: VMs that tell each other an age that is too low would
        keep it low for ever.
        """
        self._refresh()
        at = self._quorum_at
        return None if at is None else self._clock.now() - at

    def _refresh(self) -> None:
        now = self._clock.now()
        if self._read_at is not None and now - self._read_at < REFRESH_INTERVAL:
            return
        self._read_at = now
        self._quorum_at = self._contacts.quorum_at()
        quorum_age = None if self._quorum_at is None else now - self._quorum_at
        self._holds = keys_confirmed(self._confirmation.age(), quorum_age, self._grace)


def keys_confirmed(
    age: Millis | None, quorum_age: Millis | None, grace: Millis
) -> bool:
    """Return whether this VM may honour keys.

    A VM that is in touch with most of the fleet takes a silent store for an outage,
    during which nobody can withdraw a key, and goes on. One that is not takes itself
    for cut off and goes on for `grace` only.

    Parameters
    ----------
    age : Millis or None
        Age of the newest reading of the store known here.
    quorum_age : Millis or None
        Age of the newest touch with most VMs.
    grace : Millis
        How old the younger of both may be.
    """
    ages = [item for item in (age, quorum_age) if item is not None]
    return bool(ages) and min(ages) <= grace
