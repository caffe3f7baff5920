"""The registries from which a daemon's settings name policies."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from lagoonlatch.limits import LIMITERS
from lagoonlatch.routing.selection import SELECTIONS
from lagoonlatch.settings import DaemonSettings
from lagoonlatch.upstreams.fair_queue import QUEUES  # with all queues registered

REGISTRY_BY_SETTING = {
    "selection": SELECTIONS,
    "limiter": LIMITERS,
    "queue": QUEUES,
}


def check_policies(settings: DaemonSettings) -> Result[DaemonSettings, str]:
    """Return the settings, or a message about the first unknown policy."""
    for setting, registry in REGISTRY_BY_SETTING.items():
        found = registry.find(getattr(settings, setting))
        if isinstance(found, Failure):
            return Failure(f"{setting}: {found.failure()}")
    return Success(settings)
