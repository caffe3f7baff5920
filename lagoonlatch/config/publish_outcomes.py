"""What can come of a publication."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonlatch.config.head import Change


@dataclass(frozen=True)
class Published:
    """The change is accepted; VMs put it in force from now on.

    Parameters
    ----------
    version : int
        The version that the change made.
    change_id : str
        The change.
    parts_written : int
        Parts that the former head doesn't name; the new head isn't counted.
    """

    version: int
    change_id: str
    parts_written: int


@dataclass(frozen=True)
class PublishConflict:
    """Another change was accepted first; nothing of this one is in force.

    Parameters
    ----------
    based_on : int
        The version on which this change was based.
    current : Change
        The accepted change.
    """

    based_on: int
    current: Change


@dataclass(frozen=True)
class ChangeIdReused:
    """The change id names an accepted change with other content."""

    accepted: Change


@dataclass(frozen=True)
class PublishUnavailable:
    """The store can't be reached or read; this call put nothing in force."""

    reason: str


@dataclass(frozen=True)
class PublishOutcomeUnknown:
    """The change may be in force; publish it again with the same change id."""

    change_id: str
    reason: str


@dataclass(frozen=True)
class HeadTooLarge:
    """The configuration has more parts than the head can name."""

    size: int
    limit: int


@dataclass(frozen=True)
class ConfigurationRefused:
    """VMs would reject the configuration; nothing was written."""

    reason: str


PublishError = (
    ConfigurationRefused
    | PublishConflict
    | ChangeIdReused
    | PublishUnavailable
    | PublishOutcomeUnknown
    | HeadTooLarge
)
