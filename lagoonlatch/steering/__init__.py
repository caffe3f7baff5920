"""Decisions about requests, made without I/O from a clock and the facts passed in."""
