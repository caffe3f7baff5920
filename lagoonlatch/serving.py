"""The command that runs a daemon."""

from __future__ import annotations

import sys

from returns.result import Failure, Success

from lagoonlatch import daemon
from lagoonlatch.environment import settings_command
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.policies import check_policies
from lagoonlatch.settings import DaemonSettings


def _serve(settings: DaemonSettings) -> int:
    match settings.check().bind(check_policies):
        case Success(checked):
            return daemon.serve(checked)
        case Failure(problem):
            print(f"lagoonlatch serve: error: {problem}", file=sys.stderr)
            return ExitCode.BAD_INPUT


serve = settings_command(_serve, "serve", "Run the daemon of one entry VM.")
