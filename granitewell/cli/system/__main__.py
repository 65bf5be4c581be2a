"""`python -m granitewell.cli.system`: finds the program or command that is meant.

The programs `edge` and `control` start without the parser of the command line, which takes longer to import
than all that they need besides aiohttp.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Sequence

PROGRAMS = ("edge", "control")


def _settle_early_signals() -> None:
    """Until the program takes the signals over, in some tenths of a second: nothing has been taken yet, so
    that a stop may end it at once, and settings are still to be read."""
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGINT, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _skip_certificates() -> None:
    """Importing aiohttp would read the machine's store of certificates, a quarter of the time that it takes;
    the programs speak plain HTTP alone."""
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)


def run_program(name: str) -> int:
    """Run a program until it is stopped; its exit code."""
    _settle_early_signals()
    _skip_certificates()
    if name == "edge":
        from granitewell.cli.system import edge

        return edge.main()
    from granitewell.cli.system import control

    return control.main()


def main(arguments: Sequence[str]) -> int:
    """Run what the arguments ask for; the exit code."""
    if len(arguments) == 1 and arguments[0] in PROGRAMS:
        from granitewell.cli.system.ends import ended

        return ended(lambda: run_program(arguments[0]))
    from granitewell.cli.system import commands

    return commands.run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
