"""Structured logs."""

from __future__ import annotations

import sys
from typing import TextIO

import msgspec
import structlog

LOG_FORMATS = ("json", "console")
LOG_LEVELS = ("debug", "info", "warning", "error")

_SECRET_FIELDS = frozenset({"key", "authorization", "api_key", "token"})


def _drop_secrets(_logger, _method, event_dict):
    for field in _SECRET_FIELDS & event_dict.keys():
        event_dict[field] = "(removed)"
    return event_dict


def _encode(event_dict, default) -> str:
    return msgspec.json.encode(event_dict, enc_hook=default).decode()


def _with_fields(context: dict[str, str]):
    def add(_logger, _method, event_dict):
        return {**context, **event_dict}

    return add


def configure_logs(
    log_format: str,
    log_level: str = "info",
    output: TextIO | None = None,
    **context: str,
) -> None:
    """Set the format of the process's logs and the fields of every line.

    Parameters
    ----------
    log_format : {"json", "console"}
        One JSON object a line, or text for people.
    log_level : {"debug", "info", "warning", "error"}
        Lines below it are left out; requests are logged at "debug".
    output : file, optional
        Takes the lines; standard error by default.
    **context : str
        Fields added to every line, such as the VM and its data centre.
    """
    renderer = (
        structlog.processors.JSONRenderer(serializer=_encode)
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            # Not by context variables: each greenlet has its own.
            _with_fields(context),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _drop_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(log_level),
        logger_factory=structlog.PrintLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
