"""The command `granitewell`: dispatches to subcommands and maps every outcome to an exit code.

Holds the table of commands, which names modules without importing them, and handles what no command handles
itself: a missing package, a broken pipe, Ctrl-C. docs/operate/exit-codes.md describes the exit codes.
"""

from __future__ import annotations

import contextlib
import importlib
import os
import platform
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NoReturn

OK, BAD_OUTCOME, BAD_INPUT, UNAVAILABLE = 0, 1, 2, 3
DEFECT = 70  # EX_SOFTWARE of sysexits.h, so that a traceback is not taken for an outcome
INTERRUPTED = 130  # 128 + SIGINT, as in shells; also when the reader of a pipe has closed it
EXTRA_BY_PACKAGE = {  # the extra that installs each package
    "click": "cli", "rich": "cli", "msgspec": "cli",
    "numpy": "lab", "hdrh": "lab", "matplotlib": "lab",
}  # fmt: skip
COMPLETION_VARIABLE = "_GRANITEWELL_COMPLETE"  # set by the shell's completion script


def _install_hint(name: str) -> str:
    """Return how to install a module that can't be imported; empty if no extra brings it."""
    root = name.partition(".")[0]
    if root in EXTRA_BY_PACKAGE:
        return (
            f"this needs {root}, which is not installed: pip install 'granitewell[{EXTRA_BY_PACKAGE[root]}]'"
        )
    if root == "granitewell":
        return f"this installation has no {name}: install granitewell whole"
    return ""


try:
    import click
    from click.shell_completion import CompletionItem, get_completion_class, shell_complete
except ModuleNotFoundError as _error:  # the console script is installed even without extras
    print(f"granitewell: {_install_hint(_error.name or '')}", file=sys.stderr)
    raise SystemExit(UNAVAILABLE) from None


class NotInstalledError(click.ClickException):
    """A command whose module or package is not installed."""

    exit_code = UNAVAILABLE


@dataclass(frozen=True, slots=True)
class Entry:
    """The location of a command (`module:object`) and its line in the list of commands."""

    target: str
    summary: str


class LazyGroup(click.Group):
    """A group that imports a command only when it is called, not to list or complete its name."""

    def __init__(self, *args: Any, entries: Mapping[str, Entry], **kw: Any) -> None:
        super().__init__(*args, **kw)
        self.entries = entries

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names in the order of the table."""
        return list(self.entries)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import the command.

        Raises:
            NotInstalledError: A module or package that the command needs is not installed.
        """
        entry = self.entries.get(name)
        if entry is None:
            return None
        module, _, attribute = entry.target.partition(":")
        try:
            found = getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError as error:
            if ctx.resilient_parsing:  # completion must not print errors into the shell
                return click.Command(name, help=entry.summary)
            if text := _install_hint(error.name or ""):
                raise NotInstalledError(f"{ctx.command_path} {name}: {text}") from None
            raise
        assert isinstance(found, click.Command)
        return found

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Resolve a command; an unknown name is answered with the nearest ones."""
        try:
            return super().resolve_command(ctx, args)
        except click.exceptions.NoSuchCommand as error:
            raise click.exceptions.NoSuchCommand(
                error.command_name, possibilities=list(self.entries), ctx=ctx
            ) from None

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands from the table, without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, entry.summary) for name, entry in self.entries.items()])

    def shell_complete(self, ctx: click.Context, incomplete: str) -> list[CompletionItem]:
        """Complete names from the table, then options."""
        names = [
            CompletionItem(n, help=e.summary) for n, e in self.entries.items() if n.startswith(incomplete)
        ]
        return names + click.Command.shell_complete(self, ctx, incomplete)


_PACKAGE = "granitewell.cli"
COMMANDS = {
    "node": Entry(f"{_PACKAGE}.node:node", "Run one node, as the platform does."),
    "cluster": Entry(f"{_PACKAGE}.cluster:cluster", "Ask running nodes what they believe of their fleet."),
    "check": Entry(f"{_PACKAGE}.check:check", "Say all that is wrong with a configuration."),
    "lab": Entry(f"{_PACKAGE}.lab:lab", "The platform as a model: simulate, load, judge, compare."),
    "completion": Entry(f"{_PACKAGE}.main:completion", "Print the completion script of a shell."),
    "version": Entry(f"{_PACKAGE}.main:version", "Print the versions of granitewell and what it runs on."),
}


@click.group(
    cls=LazyGroup, entries=COMMANDS, epilog="Example:\n\n  granitewell check deploy/operator-example.toml"
)
def granitewell() -> None:
    """The load-balancing node of birlik-dispatch, and its lab.

    Exit codes: 0 good; 1 what was looked for was found; 2 bad input; 3 the machine lacks something.
    """


@click.command(epilog='Example:\n\n  eval "$(granitewell completion bash)"')
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the script that completes granitewell's commands and options in a shell."""
    found = get_completion_class(shell)
    assert found is not None
    shell_script = found(granitewell, {}, "granitewell", COMPLETION_VARIABLE)
    click.echo(shell_script.source_template % shell_script.source_vars())


@click.command(epilog="Example:\n\n  granitewell version --json")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON in place of text.")
def version(as_json: bool) -> None:
    """Print the versions of granitewell, Python and the packages that it uses."""
    import json
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    found = {"python": platform.python_version(), "granitewell": "not installed: run from its sources"}
    for name in ("granitewell", "uvloop", "httptools", "click", "rich", "msgspec", "numpy", "hdrhistogram"):
        with contextlib.suppress(PackageNotFoundError):
            found[name] = installed(name)
    click.echo(json.dumps(found) if as_json else "\n".join(f"{k} {v}" for k, v in sorted(found.items())))


def run(args: Sequence[str]) -> int:
    """Run the command line and return the exit code.

    Every failure but a defect prints at most one line on standard error.
    """
    try:
        return _invoke(args)
    except click.exceptions.NoArgsIsHelpError as error:
        error.show()
        return error.exit_code
    except click.UsageError as error:
        path = error.ctx.command_path if error.ctx else "granitewell"
        return _print_error(f"{path}: {error.format_message()} See {path} --help", error.exit_code)
    except click.ClickException as error:
        return _print_error(f"granitewell: {error.format_message()}", error.exit_code)
    except (click.Abort, KeyboardInterrupt):
        return INTERRUPTED
    except ModuleNotFoundError as error:
        if not (text := _install_hint(error.name or "")):
            raise
        return _print_error(f"granitewell: {text}", UNAVAILABLE)
    except BrokenPipeError:
        _drop_output()
        return INTERRUPTED
    except OSError as error:
        _drop_output()
        return _print_error(
            f"granitewell: {error.filename or 'output'}: {error.strerror or error}", UNAVAILABLE
        )


def _invoke(args: Sequence[str]) -> int:
    if instruction := os.environ.get(COMPLETION_VARIABLE):
        return shell_complete(granitewell, {}, "granitewell", COMPLETION_VARIABLE, instruction)
    try:
        with granitewell.make_context("granitewell", list(args)) as ctx:
            granitewell.invoke(ctx)  # a command's return value is not an exit code
        code = OK
    except click.exceptions.Exit as error:
        code = error.exit_code
    if sys.stdout is not None:
        sys.stdout.flush()
    return code


def _drop_output() -> None:
    """Redirect standard output to /dev/null, as the interpreter's flush at exit would fail again."""
    with contextlib.suppress(OSError, AttributeError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _print_error(text: str, code: int) -> int:
    print(" ".join(text.split()), file=sys.stderr)
    return code


def main() -> NoReturn:
    """Run the console script."""
    try:
        code = run(sys.argv[1:])
    except Exception:
        import traceback

        traceback.print_exc()
        code = DEFECT
    sys.exit(code)


if __name__ == "__main__":
    main()
