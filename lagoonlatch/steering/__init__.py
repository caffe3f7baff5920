"""Decisions on requests: pure code over a clock and the facts told to it."""
