"""What the msgspec decoders raise on malformed input."""

from __future__ import annotations

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Wrong syntax or type, text that is no UTF-8, and nesting without end."""

CONVERSION_ERRORS = (*DECODE_ERRORS, ValueError, OverflowError)
"""In addition, numbers and texts that the program's own types can't hold."""

MAX_INT64 = 2**63 - 1
"""Largest integer of the protocol between VMs."""
