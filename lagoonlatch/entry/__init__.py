"""Daemon of an entry VM on the users' platform."""
