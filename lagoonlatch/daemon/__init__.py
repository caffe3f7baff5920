"""The daemon of one VM: its parts put together and its life."""

from lagoonlatch.daemon.process import serve

__all__ = ["serve"]
