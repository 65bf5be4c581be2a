"""One thing that is wrong with a file, in the words that a person gets to read.

It owns how a path, a value that was found and what is allowed are written: one line, bounded in length,
whatever the file holds. It must never know a file's form.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any

MAX_SHOWN_CHARS = 60  # characters of a key or value that came from a file
_BARE_KEY = re.compile(r"[A-Za-z0-9_-]{1,60}")

Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """What was found at a path, and what may stand there. A note can be lived with; a problem can't."""

    path: Path
    found: str
    allowed: str
    near: str = ""  # the nearest known key, where the one that was found is unknown
    note: bool = False

    @property
    def field(self) -> str:
        """The path as a person writes it: `log.rates.dial`, `settings.classes[0].name`."""
        return dotted_path(self.path)

    def text(self) -> str:
        """All of it in one line, without the file's name."""
        where = f"{self.field}: " if self.path else ""
        near = f"; the nearest known one is {self.near}" if self.near else ""
        if self.note:
            return f"{where}{self.found}: {self.allowed}"
        return f"{where}found {self.found}, allowed: {self.allowed}{near}"


def dotted_path(path: Path) -> str:
    """A path in one word; keys that TOML would quote are quoted."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            key = part if _BARE_KEY.fullmatch(part) else json.dumps(part[:MAX_SHOWN_CHARS])
            text += f".{key}" if text else key
    return text


def format_value(value: Any) -> str:
    """A value from a file, short enough for a line."""
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, list | tuple):
        return f"a list of {len(value)}"
    if isinstance(value, int) and value.bit_length() > 100:  # Python refuses to write thousands of digits
        return f"a whole number of {value.bit_length()} bits"
    if value is None or isinstance(value, bool | int | float):
        return json.dumps(value)
    text = json.dumps(
        value[: MAX_SHOWN_CHARS + 1] if isinstance(value, str) else str(value), ensure_ascii=True
    )
    return text if len(text) <= MAX_SHOWN_CHARS + 2 else text[:MAX_SHOWN_CHARS] + '.."'


def unknown_key(path: Path, word: str, known: tuple[str, ...], found: str = "", near: str = "") -> Problem:
    """A word at this path that is none of the known ones, with the one that is most like it."""
    near = near or next(iter(get_close_matches(word[:MAX_SHOWN_CHARS], known, 1, 0.0)), "")
    return Problem(path, found or "an unknown key", ", ".join(known) or "none", near)
