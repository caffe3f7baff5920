"""Assigns each slot of a scope, with its keys, to a single owner among the VMs."""

from lagoonlatch.ownership.keeper import OwnershipKeeper
from lagoonlatch.ownership.reader import OwnershipReader
from lagoonlatch.ownership.registration import VmRegistration, register_vm
from lagoonlatch.ownership.table import (
    Owner,
    OwnershipTable,
    decode_table,
    encode_table,
    slot_of,
)
from lagoonlatch.ownership.view import Candidate, OwnershipView, PlatformView

__all__ = [
    "Candidate",
    "Owner",
    "OwnershipKeeper",
    "OwnershipReader",
    "OwnershipTable",
    "OwnershipView",
    "PlatformView",
    "VmRegistration",
    "decode_table",
    "encode_table",
    "register_vm",
    "slot_of",
]
