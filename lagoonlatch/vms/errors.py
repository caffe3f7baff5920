"""Why a call to another VM gave no answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PeerUnreachable:
    """The call was not run: its message was never handed over whole."""

    reason: str


@dataclass(frozen=True)
class PeerOutcomeUnknown:
    """The message was sent whole and no answer came: it may have run."""

    reason: str


PeerError = PeerUnreachable | PeerOutcomeUnknown
