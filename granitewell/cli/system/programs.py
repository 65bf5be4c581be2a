"""Starts the programs of the system: `edge` and `control`.

Imports what a program needs only when it is started: a start takes no longer than that program's own imports.
"""

from __future__ import annotations

import os
import signal

PROGRAMS = ("edge", "control")


def run_program(name: str) -> int:
    """Run a program until it is stopped; its exit code."""
    _install_startup_signal_handlers()
    _skip_certificate_store()
    if name == "edge":
        from granitewell.cli.system import edge

        return edge.main()
    from granitewell.cli.system import control

    return control.main()


def _install_startup_signal_handlers() -> None:
    """Until the program takes the signals over, in some tenths of a second.

    Nothing has been taken yet, so that a stop may end it at once, and settings are still to be read.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGINT, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _skip_certificate_store() -> None:
    """Importing aiohttp would read the machine's store of certificates, a quarter of the time that it takes.

    The programs speak plain HTTP alone.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
