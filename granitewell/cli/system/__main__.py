"""`python -m granitewell.cli.system`: dispatches to the programs and the operator's commands.

The programs `edge` and `control` start without the command line parser, which takes longer to import than all
their other dependencies except aiohttp.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from granitewell.cli.system.programs import PROGRAMS, run_program


def main(arguments: Sequence[str]) -> int:
    """Run the program or command that the arguments name, and return the exit code."""
    if len(arguments) == 1 and arguments[0] in PROGRAMS:
        from granitewell.cli.system.exit_handling import run_to_exit_code

        return run_to_exit_code(lambda: run_program(arguments[0]))
    from granitewell.cli.system import commands

    return commands.run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
