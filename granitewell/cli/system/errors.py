"""Errors of the operator's commands, each with its exit code."""

from __future__ import annotations

from granitewell.cli.system.exit_codes import ExitCode
from granitewell.domain.errors import GranitewellError


class CommandError(GranitewellError):
    """Base class of all errors of a command."""

    exit_code = ExitCode.BAD_INPUT


class UnusableFileError(CommandError):
    """A file can't be read, or is not a valid JSON object."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")


class UnusableAddressError(CommandError):
    """An address is not `ip:port`, or no address is configured."""


class RejectedByControlError(CommandError):
    """A control node rejected the call with a final status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"refused with {status}: {reason or 'no reason given'}")
        self.status = status


class VersionConflictError(CommandError):
    """The change is based on a version that is no longer current."""

    exit_code = ExitCode.BAD_OUTCOME

    def __init__(self, expected: int, reason: str) -> None:
        super().__init__(f"version {expected} is not the current one any more: {reason or 'no reason given'}")


class NoConfigurationError(CommandError):
    """The control nodes have no configuration yet."""

    exit_code = ExitCode.BAD_OUTCOME

    def __init__(self) -> None:
        super().__init__("no configuration has been taken yet")


class NoControlNodeError(CommandError):
    """No control node gave a final answer; a change that was sent may still have been accepted."""

    exit_code = ExitCode.NO_MEANS
