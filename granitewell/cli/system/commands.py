"""The commands and their arguments; `configuration` implements those of `config`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

import cappa

from granitewell.cli.system import configuration
from granitewell.cli.system.control_client import DEFAULT_TOTAL_TIMEOUT_S
from granitewell.cli.system.exit_handling import run_to_exit_code
from granitewell.cli.system.programs import run_program

PROGRAM = "python -m granitewell.cli.system"

Addresses = Annotated[
    str,
    cappa.Arg(long="--control", help="Control addresses, ip:port[,ip:port]; else the settings file's seeds."),
]
Wait = Annotated[
    float, cappa.Arg(long="--wait", help="Seconds for which a clear answer is sought, over all addresses.")
]
IfMatch = Annotated[
    int | None,
    cappa.Arg(long="--if-match", help="The version that the change builds on; else the current one."),
]


@cappa.command(help="Run the program of an edge machine: routes and dispatches requests.")
@dataclass(frozen=True)
class Edge:
    """`edge`."""

    def run(self) -> int:
        """Run the program until it is stopped."""
        return run_program("edge")


@cappa.command(name="control", help="Run the program of a core machine: configuration, registry, placement.")
@dataclass(frozen=True)
class Control:
    """`control`."""

    def run(self) -> int:
        """Run the program until it is stopped."""
        return run_program("control")


@cappa.command(help="Print the newest configuration.")
@dataclass(frozen=True)
class Get:
    """`config get`."""

    control: Addresses = ""
    wait: Wait = DEFAULT_TOTAL_TIMEOUT_S

    def run(self) -> int:
        """Print the configuration."""
        return configuration.get(configuration.Target(self.control, self.wait))


@cappa.command(help="Replace the configuration by the one in FILE.")
@dataclass(frozen=True)
class Put:
    """`config put`."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="A whole configuration, JSON.")]
    control: Addresses = ""
    wait: Wait = DEFAULT_TOTAL_TIMEOUT_S
    if_match: IfMatch = None

    def run(self) -> int:
        """Send the change."""
        return configuration.put(configuration.Target(self.control, self.wait), self.file, self.if_match)


@cappa.command(help="Alter the configuration by the upserts and removals in FILE.")
@dataclass(frozen=True)
class Patch:
    """`config patch`."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="version, upsert and remove, JSON.")]
    control: Addresses = ""
    wait: Wait = DEFAULT_TOTAL_TIMEOUT_S
    if_match: IfMatch = None

    def run(self) -> int:
        """Send the change."""
        return configuration.patch(configuration.Target(self.control, self.wait), self.file, self.if_match)


@cappa.command(help="Say whether FILE would be taken, without a control node.")
@dataclass(frozen=True)
class Check:
    """`config check`."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="A whole configuration, or a patch of --on.")]
    on: Annotated[str, cappa.Arg(long="--on", help="The whole configuration that a patch alters.")] = ""

    def run(self) -> int:
        """Check the file."""
        return configuration.check(self.file, self.on)


@cappa.command(help="Say what FILE would change; exit code 1 where that is something.")
@dataclass(frozen=True)
class Diff:
    """`config diff`."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="A whole configuration, JSON.")]
    against: Annotated[str, cappa.Arg(long="--against", help="A file, in place of the one in force.")] = ""
    control: Addresses = ""
    wait: Wait = DEFAULT_TOTAL_TIMEOUT_S

    def run(self) -> int:
        """Print the differences."""
        return configuration.diff(configuration.Target(self.control, self.wait), self.file, self.against)


@cappa.command(help="Read, change and check the configuration.")
@dataclass(frozen=True)
class Config:
    """`config`."""

    command: cappa.Subcommands[Get | Put | Patch | Check | Diff]

    def run(self) -> int:
        """Run the subcommand."""
        return self.command.run()


@cappa.command(name=PROGRAM, help="The whole system: its two programs, and its configuration.")
@dataclass(frozen=True)
class System:
    """All of it."""

    command: cappa.Subcommands[Edge | Control | Config]


def run(arguments: Sequence[str]) -> int:
    """Run the command that the arguments name, and return the exit code."""
    return run_to_exit_code(lambda: _parse(arguments).command.run())


def _parse(arguments: Sequence[str]) -> System:
    output = cappa.Output(error_format="granitewell: {message}; see --help")
    return cappa.parse(System, argv=list(arguments), output=output, completion=False)
