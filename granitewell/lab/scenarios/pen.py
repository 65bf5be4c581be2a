"""Draws single figures: each from a stream of its own, named by its field, with a note of what came of what.

It owns how a range, a list of words and a unit become one value. It must never know which figures there are.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from granitewell.lab.engine import stream
from granitewell.lab.scenarios.types import Spec, Table, fields_of, spec_of

Value = float | str | bool
UNITS = {"_ms": 1e3, "_s": 1e6}


class Drawn:
    """The drawn figures of one table, by their names in the file."""

    def __init__(self, values: Mapping[str, Value]) -> None:
        self._values = values

    def num(self, name: str) -> float:
        """A figure."""
        return float(self._values[name])

    def whole(self, name: str) -> int:
        """A whole number."""
        return int(self._values[name])

    def us(self, name: str) -> int:
        """A time, in whole microseconds; the end of its name says what the file has."""
        return round(self.num(name) * unit(name))

    def word(self, name: str) -> str:
        """A word."""
        return str(self._values[name])

    def flag(self, name: str) -> bool:
        """True or false."""
        return bool(self._values[name])


def unit(name: str) -> float:
    """Microseconds in one of what a field's name ends with."""
    return next(us for end, us in UNITS.items() if name.endswith(end))


class Pen:
    """Draws for one seed; `notes` has a line for each figure that had a range."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.notes: dict[str, str] = {}

    def table(self, path: str, table: Table) -> Drawn:
        """All figures, words and flags of a table; what the file left open is missing."""
        values: dict[str, Value] = {}
        for field in fields_of(type(table)):
            given, spec = getattr(table, field.name), spec_of(field.type)
            if given is not None and spec.form in ("figure", "whole", "word", "flag", "text"):
                values[field.encode_name] = self.value(f"{path}/{field.encode_name}", given, spec)
        return Drawn(values)

    def value(self, path: str, given: Any, spec: Spec) -> Value:
        """One value; lists of names or numbers are comma-joined."""
        if spec.form in ("names", "numbers"):
            return ",".join(str(x) if isinstance(x, str) else str(int(x)) for x in given)
        if not isinstance(given, tuple):
            return given  # type: ignore[no-any-return]
        uniform = stream(self.seed, "scenario", path).random()
        if spec.form == "figure":
            drawn: Value = given[0] + (given[1] - given[0]) * uniform
        elif spec.form == "whole":
            drawn = int(given[0] + (given[1] - given[0] + 1) * uniform)
        else:
            drawn = given[int(uniform * len(given))]
        told = f"{drawn:.5g}" if isinstance(drawn, float) else str(drawn)
        between = " to " if spec.form in ("figure", "whole") else ", "
        self.notes[path] = f"{told} of {between.join(map(str, given))}"
        return drawn

    def num(self, path: str, given: float | tuple[float, float]) -> float:
        """One figure."""
        return float(self.value(path, given, Spec("figure", "")))

    def us(self, path: str, given: float | tuple[float, float]) -> int:
        """One time, in whole microseconds."""
        return round(self.num(path, given) * unit(path))
