"""Failures of the operator's commands; each type has its exit code."""

from __future__ import annotations

from granitewell.cli.system.exit_codes import ExitCode
from granitewell.domain.errors import GranitewellError


class CommandError(GranitewellError):
    """A command can't do what it was asked for."""

    exit_code = ExitCode.BAD_INPUT


class UnusableFileError(CommandError):
    """A file that was named can't be read, or is no JSON object."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")


class UnusableAddressError(CommandError):
    """An address that was named is no `ip:port`, or there is none at all."""


class RejectedByControlError(CommandError):
    """A control node understood the call and refuses it for good."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"refused with {status}: {reason or 'no reason given'}")
        self.status = status


class VersionConflictError(CommandError):
    """The configuration has moved on from the version that the change builds on."""

    exit_code = ExitCode.BAD_OUTCOME

    def __init__(self, expected: int, reason: str) -> None:
        super().__init__(f"version {expected} is not the current one any more: {reason or 'no reason given'}")


class NoConfigurationError(CommandError):
    """No configuration has been taken yet."""

    exit_code = ExitCode.BAD_OUTCOME

    def __init__(self) -> None:
        super().__init__("no configuration has been taken yet")


class NoControlNodeError(CommandError):
    """No control node gave a clear answer; a change that was sent may have been taken all the same."""

    exit_code = ExitCode.NO_MEANS
