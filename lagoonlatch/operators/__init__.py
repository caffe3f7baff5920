"""Operators: the library that prints the configuration and the admin API.

A program builds a `Fleet`, and prints it for ``lagoonlatch apply -``.
"""

from lagoonlatch.operators.builder import ConfigurationError, Fleet, digest_key
from lagoonlatch.operators.service_builder import FleetService

__all__ = ["ConfigurationError", "Fleet", "FleetService", "digest_key"]
