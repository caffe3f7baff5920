"""Canonical JSON of a configuration.

See Also
--------
lagoonlatch.config.validation : The rules that hold between the values.
"""

from __future__ import annotations

from returns.result import Result

from lagoonlatch.config.model import Configuration
from lagoonlatch.config.strict import decode_strictly, encode_canonically


def encode(configuration: Configuration) -> bytes:
    """Return the canonical JSON: sorted keys, no white space, UTF-8."""
    return encode_canonically(configuration)


def decode(document: bytes) -> Result[Configuration, str]:
    """Return the configuration in `document`, or a message naming the bad place.

    Unknown fields and fields given twice are errors. The rules between values are
    not checked, see `lagoonlatch.config.validation.validate`.
    """
    return decode_strictly(document, Configuration).alt(
        lambda problem: f"configuration is malformed: {problem}"
    )
