"""Maps every outcome of a program or command to an exit code; errors but defects print one line."""

from __future__ import annotations

import contextlib
import errno
import os
import sys
from collections.abc import Callable

from granitewell.cli.system.errors import CommandError
from granitewell.cli.system.exit_codes import ExitCode
from granitewell.domain.errors import GranitewellError, InvalidFieldError

INSTALL = "pip install 'granitewell[system]'"


def run_to_exit_code(run: Callable[[], int]) -> int:
    """Run a program or command and return the exit code for its outcome."""
    try:
        code = run()
        sys.stdout.flush()
        return code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        _drop_output()
        return ExitCode.INTERRUPTED
    except CommandError as error:
        return _print_error(str(error), error.exit_code)
    except InvalidFieldError as error:
        return _print_error(str(error), ExitCode.BAD_INPUT)
    except GranitewellError as error:
        return _print_error(str(error), ExitCode.BAD_OUTCOME)
    except ModuleNotFoundError as error:
        return _report_missing_module(error)
    except OSError as error:
        _drop_output()
        return _print_error(
            f"{error.filename or 'address or output'}: {error.strerror or error}", _exit_code_of(error)
        )
    except Exception:
        import traceback

        traceback.print_exc()
        return ExitCode.DEFECT


def _exit_code_of(error: OSError) -> ExitCode:
    """An address that can't be bound is a bad outcome; any other OSError is an unavailable resource."""
    taken = error.errno in (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
    return ExitCode.BAD_OUTCOME if taken else ExitCode.NO_MEANS


def _report_missing_module(error: ModuleNotFoundError) -> int:
    root = (error.name or "").partition(".")[0]
    if root == "granitewell":
        return _print_error(
            f"this installation has no {error.name}: install granitewell whole", ExitCode.NO_MEANS
        )
    return _print_error(f"this needs {root}, which is not installed: {INSTALL}", ExitCode.NO_MEANS)


def _print_error(text: str, code: ExitCode) -> int:
    print("granitewell: " + " ".join(text.split()), file=sys.stderr)
    return code


def _drop_output() -> None:
    """Redirect standard output to /dev/null, as the interpreter's flush at exit would fail again."""
    with contextlib.suppress(OSError, AttributeError, ValueError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
