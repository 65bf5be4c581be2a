"""One value of a scenario file against what its key takes.

It owns whether a value fits and how it is shown in what is wrong. It must never know which key it belongs to.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from itertools import pairwise
from math import isfinite
from typing import Any

from granitewell.lab.scenarios.types import Spec

ABOVE = "a range whose low end is not above its high end"


def fits(value: Any, spec: Spec) -> bool:
    """Whether a value, as read from TOML or as msgspec has converted it, is what the key takes."""
    many = list(value) if isinstance(value, list | tuple) else None
    if spec.form in ("figure", "whole"):
        return number(value, spec) if many is None else range_fits(many, spec) and many[0] <= many[1]
    if spec.form == "flag":
        return isinstance(value, bool) if many is None else _all(many, lambda x: isinstance(x, bool))
    if spec.form == "word":
        return value in spec.words if many is None else _all(many, lambda x: x in spec.words)
    if spec.form == "text":
        return isinstance(value, str)
    if spec.form == "params":
        return isinstance(value, Mapping)
    return many is not None and _list_fits(many, spec)


def range_fits(ends: list[Any], spec: Spec) -> bool:
    """Whether these are the two ends of a range, in whatever order."""
    return len(ends) == 2 and all(number(x, spec) for x in ends)


def number(x: Any, spec: Spec) -> bool:
    """Whether this is a number within the bounds, and whole where it must be."""
    if isinstance(x, bool) or not isinstance(x, int | float) or not isfinite(x):
        return False
    return spec.low <= x <= spec.high and (spec.form != "whole" or float(x).is_integer())


def _all(many: list[Any], right: Any) -> bool:
    return bool(many) and all(right(x) for x in many)


def _list_fits(many: list[Any], spec: Spec) -> bool:
    if spec.form == "names":
        return all(isinstance(x, str) and (not spec.words or x in spec.words) for x in many)
    if spec.form == "numbers":
        return all(number(x, Spec("whole", "", 1)) for x in many)
    pairs = [x for x in many if isinstance(x, list | tuple) and range_fits(list(x), Spec("figure", ""))]
    rising = all(a[0] < b[0] for a, b in pairwise(pairs))
    return len(pairs) == len(many) and rising


def allowed(value: Any, spec: Spec) -> str:
    """What would have been right in this value's place."""
    ends = list(value) if isinstance(value, list | tuple) else []
    if spec.form in ("figure", "whole") and range_fits(ends, spec):
        return ABOVE
    return spec.allowed


def nearest(word: str, known: Iterable[str]) -> str:
    """The known word most like this one, or '' where none is like it."""
    return next(iter(get_close_matches(word, list(known), 1, 0.5)), "")


def unknown(field: str, what: str, word: str, known: Iterable[str]) -> str:
    """The line for a word that nobody knows."""
    like = nearest(word, known)
    return f"{field}: {what}; " + (f"nearest known: {like}" if like else f"allowed: {', '.join(known)}")


def shown(value: Any) -> str:
    """A value as the file has it, cut short."""
    try:
        text = json.dumps(value, ensure_ascii=False)
    except (TypeError, ValueError):
        text = str(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
