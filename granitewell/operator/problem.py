"""A problem found in a file, and how it is shown to a person.

Paths, found values and allowed values are formatted on one line of bounded length, whatever the file holds.
Nothing here depends on a file's schema.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any

MAX_SHOWN_CHARS = 60  # of a key or value from a file
_BARE_KEY = re.compile(r"[A-Za-z0-9_-]{1,60}")

Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """What was found at a path and what is allowed there; a note does not make the file invalid."""

    path: Path
    found: str
    allowed: str
    near: str = ""  # the most similar known key, if the one found is unknown
    note: bool = False

    @property
    def field(self) -> str:
        """The path as text: `log.rates.dial`, `settings.classes[0].name`."""
        return dotted_path(self.path)

    def text(self) -> str:
        """Return the problem as one line, without the file's name."""
        where = f"{self.field}: " if self.path else ""
        near = f"; the nearest known one is {self.near}" if self.near else ""
        if self.note:
            return f"{where}{self.found}: {self.allowed}"
        return f"{where}found {self.found}, allowed: {self.allowed}{near}"


def dotted_path(path: Path) -> str:
    """Format a path with dots; keys that TOML would quote are quoted."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            key = part if _BARE_KEY.fullmatch(part) else json.dumps(part[:MAX_SHOWN_CHARS])
            text += f".{key}" if text else key
    return text


def format_value(value: Any) -> str:
    """Format a value from a file, shortened to fit on a line."""
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, list | tuple):
        return f"a list of {len(value)}"
    if isinstance(value, int) and value.bit_length() > 100:  # Python refuses to format thousands of digits
        return f"a whole number of {value.bit_length()} bits"
    if value is None or isinstance(value, bool | int | float):
        return json.dumps(value)
    text = json.dumps(
        value[: MAX_SHOWN_CHARS + 1] if isinstance(value, str) else str(value), ensure_ascii=True
    )
    return text if len(text) <= MAX_SHOWN_CHARS + 2 else text[:MAX_SHOWN_CHARS] + '.."'


def unknown_key(path: Path, word: str, known: tuple[str, ...], found: str = "", near: str = "") -> Problem:
    """Return the problem of an unknown key or word, with the most similar known one."""
    near = near or next(iter(get_close_matches(word[:MAX_SHOWN_CHARS], known, 1, 0.0)), "")
    return Problem(path, found or "an unknown key", ", ".join(known) or "none", near)
