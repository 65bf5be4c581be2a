"""How a defect is planted: exact pieces of source text replaced in a copy of the packages.

It owns the copy and the replacement. It must never touch the sources that it copies from. A piece that is not
found exactly once is an error that names it: the source has changed, and the defect must be thought of anew.
"""

from __future__ import annotations

import shutil
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import granitewell

_HOMES = {m.__name__: Path(str(m.__file__)).parent for m in (granitewell,)}
_LEFT_OUT = shutil.ignore_patterns("__pycache__", "*.pyc")


class PatchError(ValueError):
    """A defect can't be planted; one line of text that names its file and piece."""


@dataclass(frozen=True, slots=True)
class Patch:
    """One replacement: in the file (from the packages' parent), old becomes new."""

    file: str
    old: str
    new: str

    def on(self, text: str) -> str:
        """The text with it. PatchError unless `old` stands there exactly once."""
        found = text.count(self.old)
        if found != 1:
            raise PatchError(f"{self.file}: found {self.old.strip()[:80]!r} {found} times, wanted once")
        return text.replace(self.old, self.new)


def plant(folder: Path, patches: Sequence[Patch], tests: bool = False) -> None:
    """Copy the packages into an empty folder, with these patches; with the tests where those are wanted.

    PatchError: a piece is not there, or an installation without tests was asked for them.
    """
    for name, home in _HOMES.items():
        shutil.copytree(home, folder / name, ignore=_LEFT_OUT)
    if tests:
        source = _HOMES["granitewell"].parent
        if not (source / "tests" / "exchanges").is_dir():
            raise PatchError("tests/exchanges: not there; this defect shows in a checkout only")
        shutil.copytree(source / "tests", folder / "tests", ignore=_LEFT_OUT)
        for name in ("pyproject.toml", "deploy"):
            _copy(source / name, folder / name)
    for patch in patches:
        path = folder / patch.file
        try:
            text = path.read_text(encoding="utf-8")
        except OSError:
            raise PatchError(f"{patch.file}: no such file") from None
        path.write_text(patch.on(text), encoding="utf-8")


def _copy(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target, ignore=_LEFT_OUT)
    elif source.exists():
        shutil.copy(source, target)
