"""Common parts of the processes of all roles: event loop, signals, and reloading of settings."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from granitewell import logs
from granitewell.domain.errors import InvalidSettingsError
from granitewell.domain.settings import Settings, read_settings, settings_path

SETTINGS_POLL_S = 1.0
GC_THRESHOLDS = (20_000, 20, 50)  # infrequent collections: few cycles are created, and pauses delay requests
EXIT_INVALID_SETTINGS = 2  # exit code; see docs/operate/exit-codes.md


class SettingsFile:
    """The settings file, reloaded when it changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp: tuple[int, int, int] | None = None
        self.settings = self._read()

    def _read(self) -> Settings:
        settings = read_settings(self._path)
        self._stamp = self._file_stamp()
        return settings

    def _file_stamp(self) -> tuple[int, int, int] | None:
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return (stat.st_mtime_ns, stat.st_size, stat.st_ino)

    def reload(self, force: bool = False) -> Settings | None:
        """Return the new settings if the file has changed and is valid, otherwise None."""
        if not force and self._file_stamp() == self._stamp:
            return None
        try:
            fresh = self._read()
        except InvalidSettingsError:
            return None
        if fresh == self.settings:
            return None
        self.settings = fresh
        return fresh


class Signals:
    """Signal handlers: SIGTERM and SIGINT stop the process, SIGHUP reloads the settings."""

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()

    def install(self) -> None:
        """Install the handlers on the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)


async def follow_settings(file: SettingsFile, signals: Signals, apply: Callable[[Settings], None]) -> None:
    """Call `apply` with each new version of the settings, until cancelled."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await signals.reload.wait()
        except TimeoutError:
            pass
        forced = signals.reload.is_set()
        signals.reload.clear()
        fresh = file.reload(force=forced)
        if fresh is not None:
            apply(fresh)


def run_process(serve: Callable[[SettingsFile, Signals], Awaitable[None]]) -> int:
    """Run a role until it ends; return the exit code."""
    try:
        file = SettingsFile(settings_path())
    except InvalidSettingsError as error:
        print(f"granitewell: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS

    logs.set_up()

    async def main() -> None:
        signals = Signals()
        signals.install()
        await serve(file, signals)

    gc.freeze()  # imported objects are permanent; exclude them from collections
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        uvloop.run(main())
    except InvalidSettingsError as error:  # a field that only this role needs
        print(f"granitewell: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return 0
