"""Callers: look-up and requests over HTTP."""
