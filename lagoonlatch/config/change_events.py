"""Events of the time line that a new configuration means for operators."""

from __future__ import annotations

from lagoonlatch.config.model import Configuration, Move
from lagoonlatch.events import EventKind, EventLog

SHOWN_DIGEST_LENGTH = 12


class ChangeEvents:
    """Records moves begun and ended and keys withdrawn.

    Subscribe `record` to a `ConfigurationHolder`.

    Parameters
    ----------
    event_log : EventLog
        Gets the events.
    """

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log

    def record(self, former: Configuration, new: Configuration) -> None:
        """Record what differs between the configuration in force and a new one."""
        self._record_moves(former, new)
        if former.version:
            # A VM that has just started did not see these keys withdrawn.
            self._record_withdrawals(former, new)

    def _record_moves(self, former: Configuration, new: Configuration) -> None:
        for move_id, move in former.moves_by_id.items():
            if new.moves_by_id.get(move_id) != move:
                self._event_log.record(EventKind.MOVE_ENDED, move_id, **_facts(move))
        for move_id, move in new.moves_by_id.items():
            if former.moves_by_id.get(move_id) != move:
                self._event_log.record(EventKind.MOVE_STARTED, move_id, **_facts(move))

    def _record_withdrawals(self, former: Configuration, new: Configuration) -> None:
        for organisation_id, organisation in former.organisations_by_id.items():
            successor = new.organisations_by_id.get(organisation_id)
            kept = successor.key_digests if successor else ()
            for digest in sorted(set(organisation.key_digests) - set(kept)):
                self._event_log.record(
                    EventKind.KEY_WITHDRAWN,
                    organisation_id,
                    key_digest=digest[:SHOWN_DIGEST_LENGTH],
                    version=str(new.version),
                )


def _facts(move: Move) -> dict[str, str]:
    return {
        "service": move.service,
        "source": move.source,
        "destination": move.destination,
        "rate_cap": f"{move.rate_cap:g}",
        "share_cap": f"{move.share_cap:g}",
    }
