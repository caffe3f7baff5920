"""Validation of a configuration beyond the types of its values.

Each rule is registered in `RULES`; `validate` runs them all, so that operators see
every problem at once. Client blocks, of which there are millions, are checked only
where they changed.
"""

from __future__ import annotations

from lagoonlatch.config import fleet_rules, organisation_rules, service_rules
from lagoonlatch.config.block_rules import check_client_blocks
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.rules import RULES, Problem

__all__ = ["Problem", "validate"]

RULE_MODULES = (fleet_rules, organisation_rules, service_rules)
"""Importing them fills the registry."""


def validate(
    configuration: Configuration, valid: Configuration | None = None
) -> tuple[Problem, ...]:
    """Return every problem of a configuration, none if it may be put in force.

    Parameters
    ----------
    configuration : Configuration
        Decoded, so that its values have the right types.
    valid : Configuration, optional
        A configuration known to be valid, such as the one in force; client blocks
        that are the same in both are not checked again.

    See Also
    --------
    lagoonlatch.config.codec.decode : Checks the types.
    """
    problems: list[Problem] = []
    for name in RULES.names():
        problems += RULES.find(name).unwrap()(configuration)
    problems += check_client_blocks(configuration, valid or Configuration())
    return tuple(problems)
