"""Exit codes of the commands; docs/operate/exit-codes.md says what to do about each."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    GOOD = 0
    BAD_OUTCOME = 1  # done with a bad outcome; of a program: its address can't be bound
    BAD_INPUT = 2
    NO_MEANS = 3  # something is unavailable: a package, a control node that answers
    DEFECT = 70
    INTERRUPTED = 130
