"""Dispatches callers' requests to upstreams and returns their answers."""
