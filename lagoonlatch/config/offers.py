"""Why a VM doesn't put an offered version in force."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonlatch.config.head import Change, Part


@dataclass(frozen=True)
class DocumentRejected:
    """The document is malformed, incomplete or breaks the rules."""

    reason: str


@dataclass(frozen=True)
class PartsLacking:
    """The contents of some parts are not in the document or altered."""

    parts: tuple[Part, ...]


@dataclass(frozen=True)
class BaseDiffers:
    """The document is the difference from a version that this VM doesn't hold."""

    base_version: int
    version: int


@dataclass(frozen=True)
class NotDescended:
    """The offered version doesn't descend from the one in force.

    Parameters
    ----------
    in_force, offered : Change
        The two changes, neither of which contains the other.
    """

    in_force: Change
    offered: Change


OfferError = DocumentRejected | PartsLacking | BaseDiffers | NotDescended
