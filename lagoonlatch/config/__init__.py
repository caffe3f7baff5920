"""The operators' configuration: its types, codec, publication and distribution.

`Publisher` has a change accepted by the platform's store; on each VM a
`ConfigurationSync` brings accepted versions to a `ConfigurationHolder`. All three can
be used without the daemon, see ``examples/embed_configuration.py``.
"""

from typing import TYPE_CHECKING

from lagoonlatch.lazy import lazy_names

if TYPE_CHECKING:
    from lagoonlatch.config.head import Change, Head, Part
    from lagoonlatch.config.holder import ConfigurationHolder
    from lagoonlatch.config.model import Configuration
    from lagoonlatch.config.offers import (
        BaseDiffers,
        DocumentRejected,
        NotDescended,
        OfferError,
        PartsLacking,
    )
    from lagoonlatch.config.publish import (
        ChangeIdReused,
        ConfigurationRefused,
        HeadTooLarge,
        PublishConflict,
        Published,
        Publisher,
        PublishError,
        PublishOutcomeUnknown,
        PublishUnavailable,
    )
    from lagoonlatch.config.sweep import Swept, sweep_parts
    from lagoonlatch.config.sync import ConfigurationSync

__getattr__ = lazy_names(
    __name__,
    {
        "head": (
            "Change",
            "Head",
            "Part",
        ),
        "holder": ("ConfigurationHolder",),
        "model": ("Configuration",),
        "offers": (
            "BaseDiffers",
            "DocumentRejected",
            "NotDescended",
            "OfferError",
            "PartsLacking",
        ),
        "publish": (
            "ChangeIdReused",
            "ConfigurationRefused",
            "HeadTooLarge",
            "PublishConflict",
            "Published",
            "Publisher",
            "PublishError",
            "PublishOutcomeUnknown",
            "PublishUnavailable",
        ),
        "sweep": (
            "Swept",
            "sweep_parts",
        ),
        "sync": ("ConfigurationSync",),
    },
)

__all__ = [
    "BaseDiffers",
    "Change",
    "ChangeIdReused",
    "Configuration",
    "ConfigurationHolder",
    "ConfigurationRefused",
    "ConfigurationSync",
    "DocumentRejected",
    "Head",
    "HeadTooLarge",
    "NotDescended",
    "OfferError",
    "Part",
    "PartsLacking",
    "PublishConflict",
    "PublishError",
    "PublishOutcomeUnknown",
    "PublishUnavailable",
    "Published",
    "Publisher",
    "Swept",
    "sweep_parts",
]
