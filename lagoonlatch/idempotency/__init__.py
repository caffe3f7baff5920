"""Runs the request of each idempotency key at most once."""
