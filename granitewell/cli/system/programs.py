"""Starts the programs of the system: `edge` and `control`.

A program's modules are imported only when it is started, so that the other program does not slow its start.
"""

from __future__ import annotations

import os
import signal

PROGRAMS = ("edge", "control")


def run_program(name: str) -> int:
    """Run a program until it is stopped, and return its exit code."""
    _install_startup_signal_handlers()
    _skip_certificate_store()
    if name == "edge":
        from granitewell.cli.system import edge

        return edge.main()
    from granitewell.cli.system import control

    return control.main()


def _install_startup_signal_handlers() -> None:
    """Handle signals until the program installs its own handlers, some tenths of a second later.

    A stop may end the process at once, as no request has been accepted yet; a reload is ignored, as the
    settings have not been read yet.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGINT, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _skip_certificate_store() -> None:
    """Keep the import of aiohttp from loading the system's certificates, a quarter of its import time.

    The programs use plain HTTP only.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
