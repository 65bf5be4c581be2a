"""The results of an experiment, in one SQLite file: what is finished stays, whatever happens next.

It owns the file's form and version. It must never play a day or compute a figure. A run is written in one
transaction once it is over; a killed experiment is gone on with by asking what is missing. Results of another
text of the experiment, or of another code of the project, are never mixed with these: StoreError says so.
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

from granitewell.lab.experiments.plan import Plan

VERSION = 1
FILE = "runs.sqlite"
# failed: why there is no result, '' where there is one; result: the judge's report, JSON, deflated
_TABLES = (
    "CREATE TABLE IF NOT EXISTS about (name TEXT PRIMARY KEY, value TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS runs (variant TEXT NOT NULL, setting TEXT NOT NULL, seed INTEGER NOT NULL, "
    "failed TEXT NOT NULL, seconds REAL NOT NULL, digest TEXT NOT NULL, command TEXT NOT NULL, "
    "result BLOB NOT NULL, PRIMARY KEY (variant, setting, seed))",
)


class StoreError(ValueError):
    """The results can't be used or written; one line."""


@dataclass(frozen=True, slots=True)
class Kept:
    """One finished run."""

    variant: str
    setting: str
    seed: int
    failed: str
    seconds: float
    digest: str
    command: str
    result: dict[str, Any]


def fingerprint(root: Path) -> str:
    """Of all sources of the project: results of two codes must not be mixed."""
    total = blake2b(digest_size=8)
    for package in ("granitewell",):
        for path in sorted((root / package).rglob("*.py")):
            total.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return total.hexdigest()


class Store:
    """An open file of results."""

    def __init__(self, folder: Path, create: bool = False) -> None:
        self.path = folder / FILE
        if not create and not self.path.is_file():
            raise StoreError(f"{folder}: no experiment was run there ({FILE} is missing)")
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._db = sqlite3.connect(self.path, isolation_level=None)
            self._db.execute("PRAGMA journal_mode = DELETE")  # one file, readable after a kill at any moment
            self._db.execute("PRAGMA synchronous = FULL")
            self._check()
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None
        except OSError as error:
            raise StoreError(f"{error.filename or folder}: {error.strerror}") from None

    def _check(self) -> None:
        found = self._db.execute("PRAGMA user_version").fetchone()[0]
        if found > VERSION:
            raise StoreError(f"{self.path}: written by a newer version (form {found}, known is {VERSION})")
        self._db.execute("BEGIN IMMEDIATE")
        for statement in _TABLES:
            self._db.execute(statement)
        self._db.execute(f"PRAGMA user_version = {VERSION}")
        self._db.execute("COMMIT")

    def about(self, name: str) -> str:
        """A fact of the experiment; '' where it is not there."""
        rows = self._read("SELECT value FROM about WHERE name = ?", (name,))
        return next((str(value) for (value,) in rows), "")

    def claim(self, plan: Plan, code: str) -> None:
        """These results are this plan's, by this code. StoreError where others are there."""
        for name, value, what in (("plan", plan.text, "another experiment"), ("code", code, "another code")):
            held = self.about(name)
            if held and held != value:
                raise StoreError(f"{self.path}: holds results of {what}; name another --out folder")
            self._write("INSERT OR IGNORE INTO about VALUES (?, ?)", (name, value))

    def done(self) -> set[tuple[str, str, int]]:
        """Keys of the runs that have a result; those that failed are tried again."""
        return set(self._read("SELECT variant, setting, seed FROM runs WHERE failed = ''"))

    def put(self, kept: Kept) -> None:
        """A run is over. StoreError where it can't be written: what was there before stays."""
        blob = zlib.compress(json.dumps(kept.result, sort_keys=True).encode(), 6)
        self._write("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?, ?, ?, ?)", (
            kept.variant, kept.setting, kept.seed, kept.failed, kept.seconds, kept.digest, kept.command, blob,
        ))  # fmt: skip

    def _write(self, statement: str, values: tuple[Any, ...]) -> None:
        try:
            self._db.execute(statement, values)
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}; finished runs stay") from None

    def _read(self, statement: str, values: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
        try:
            yield from self._db.execute(statement, values)
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def all(self) -> Iterator[Kept]:
        """All runs, in the order of variant, scenario and seed."""
        for row in self._read("SELECT * FROM runs ORDER BY variant, setting, seed"):
            variant, setting, seed, failed, seconds, digest, command, blob = row
            try:
                result = json.loads(zlib.decompress(blob))
            except (zlib.error, ValueError, TypeError) as error:
                raise StoreError(f"{self.path}: run {variant}, {setting}, seed {seed}: {error}") from None
            yield Kept(variant, setting, seed, failed, seconds, digest, command, result)

    def close(self) -> None:
        """Let go of the file."""
        self._db.close()
