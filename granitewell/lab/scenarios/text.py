"""Scenarios as text: a file with all that it leaves open written out, and the reference page of the form.

It owns the wording of the page; what a key takes comes from the types and the catalogue. It must never state
a default by itself. `python -m granitewell.lab.scenarios.text` prints the page that docs/operate/scenarios.md
holds.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, get_args, get_origin

import msgspec

from granitewell.lab.faults import CATALOGUE, EFFECTS, GROUPS, TARGETS, Entry, Param
from granitewell.lab.scenarios.read import Scenario, builtin, load
from granitewell.lab.scenarios.trace import HEADER
from granitewell.lab.scenarios.types import ScenarioTable, Spec, Table, fields_of, spec_of


def toml(scenario: Scenario) -> str:
    """The scenario as one file that says the same: `extends` and defaults written out."""
    raw: dict[str, Any] = msgspec.to_builtins(scenario.table)
    raw |= {"extends": "", "name": scenario.name}
    plain = {k: v for k, v in raw.items() if not _is_table(v)}
    lines = [*_pairs(plain)]
    for key, value in raw.items():
        if isinstance(value, Mapping):
            lines += ["", f"[{key}]", *_pairs(value)]
        elif key not in plain:
            for entry in value:
                lines += ["", f"[[{key}]]", *_pairs(entry)]
    return "\n".join(lines) + "\n"


def _is_table(value: Any) -> bool:
    many = isinstance(value, list | tuple) and value and isinstance(value[0], Mapping)
    return isinstance(value, Mapping) or bool(many)


def _pairs(table: Mapping[str, Any]) -> list[str]:
    return [f"{key} = {_value(value)}" for key, value in table.items() if value is not None]


def _value(value: Any) -> str:
    if isinstance(value, Mapping):
        return "{ " + ", ".join(_pairs(value)) + " }" if value else "{}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_value, value)) + "]"
    if isinstance(value, float) and value.is_integer() and abs(value) < 1e15:
        return str(int(value))
    # JSON's texts, numbers and booleans are TOML's, but for a control character that JSON lets through
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


def reference() -> str:
    """The reference page, in Markdown."""
    return "\n".join([*_intro(), *_tables(), *_faults(), *_builtins()]) + "\n"


def _intro() -> Iterator[str]:
    yield from """# Scenarios

<!-- Made by `python -m granitewell.lab.scenarios.text`. Don't edit: change the types or the catalogue. -->

A scenario is a TOML file of ranges; each seed draws one day from it, the same on any machine. Names end with
their unit (`_ms`, `_s`, `_us`, `_per_s`); shares and the like are parts of 1.

    granitewell lab scenarios                    # the built-in ones
    granitewell lab scenarios wide               # one of them, with everything written out
    granitewell lab draw wide --seed 7           # what a seed draws, and its faults one by one

A file of one's own most often extends a built-in one:

```toml
about = "the busy day, with a slow half and a lost zone"
extends = "busy"

[load]
utilisation = [0.62, 0.7]      # a range: drawn for each seed

[[class]]
name = "taxi-lookup"           # found by its name; other keys stay as in busy
aim_ms = 400

[[fault]]
kind = "condition"
at_s = 8
for_s = [5, 10]
target = "part:0.5"
params = { effect = "slow", factor = 10, classes = ["taxi-lookup"] }

[[fault]]
kind = "cut"
at_s = 10
for_s = 4
target = "zone:izmir-1"
```

- A **figure** is a number or a range `[low, high]`, from which each seed draws evenly. A **word** or a **flag** may
  be a list, of which each seed takes one.
- `extends` names a built-in scenario or a file beside this one. Tables are merged key by key, `[[class]]`,
  `[[tenant]]` and `[[kind]]` by their names; `[[fault]]` and other lists are replaced whole. Of `rate_per_s`,
  `utilisation` and `trace`, one that is given takes the place of the others.
- Whatever is wrong is told before anything starts, one line each, with the file, the field, what was found and
  what is allowed; the exit code is 2.
- `--nodes`, `--endpoints`, `--rate` and `--length` of the commands take the place of what the file says. With
  `utilisation`, the rate grows with the fleet.
""".splitlines()
    yield f"""
A trace is a CSV file with the header `{','.join(HEADER)}` and one line for each first try: seconds since
the day began, rising; names as in the scenario; a whole number for the key (0: none).
"""


def _tables() -> Iterator[str]:
    yield "## The file"
    yield ""
    plain = [f for f in fields_of(ScenarioTable) if _inner(f.type) is None]
    yield from _rows([(f.encode_name, spec_of(f.type), _default(f)) for f in plain])
    for field in fields_of(ScenarioTable):
        inner = _inner(field.type)
        if inner is not None:
            head = f"[[{field.encode_name}]]" if get_origin(field.type) is tuple else f"[{field.encode_name}]"
            yield f"### `{head}`"
            yield ""
            yield f"{inner.__doc__}"
            yield ""
            yield from _rows([(f.encode_name, spec_of(f.type), _default(f)) for f in fields_of(inner)])


def _inner(kind: Any) -> type[Table] | None:
    inner = get_args(kind)[0] if get_origin(kind) is tuple else kind
    return inner if isinstance(inner, type) and issubclass(inner, Table) else None


def _default(field: Any) -> str:
    if field.required:
        return "must be given"
    value = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
    return "none" if value is None else f"`{_value(value)}`"


def _rows(keys: list[tuple[str, Spec, str]]) -> Iterator[str]:
    yield "| key | takes | default | |"
    yield "| --- | --- | --- | --- |"
    for name, spec, default in keys:
        yield f"| `{name}` | {_takes(spec)} | {default} | {spec.doc} |"
    yield ""


def _takes(spec: Spec) -> str:
    short = {"figure": "figure", "whole": "whole figure", "flag": "flag"}
    if spec.form == "word":
        return f"word: {', '.join(f'`{w}`' for w in spec.words)}"
    if spec.form not in short or spec.form == "flag":
        return short.get(spec.form, spec.allowed)
    return f"{short[spec.form]}, {spec.bounds}"


def _faults() -> Iterator[str]:
    yield "## Faults"
    yield ""
    yield """`at_s` says when a fault begins. Where it lasts, `for_s` or `until_s` says how long; *open*: to
the end of the day where neither is given. Any two may overlap. Endpoints are called `d1`, `d2`, ..., nodes
`n1`, `n2`, ... A target means those who are there when the fault begins; who belongs to a part or a count is
drawn. Without a target, all are meant. `lab draw` shows the schedule, numbered by *source*, and the
elementary faults that it comes down to, numbered as `lab sim --only-faults` counts them. Targets:
"""
    for name, text in TARGETS.items():
        yield f"- *{name}*: {text}"
    yield ""
    for group, entries in GROUPS:
        yield f"### {group}"
        yield ""
        for entry in entries:
            yield from _entry(entry)


def _entry(entry: Entry) -> Iterator[str]:
    span = {"needed": "for_s or until_s needed", "open": "open", "none": "no span"}[entry.span]
    target = "no target" if entry.targets == "none" else f"target: *{entry.targets}*"
    yield f"**`{entry.kind}`** ({target}; {span}). {entry.doc}"
    yield ""
    if entry.params:
        yield from _rows([(p.name, p.spec, _param_default(p)) for p in entry.params])
    if entry.kind == "condition":
        yield "Effects:"
        yield ""
        yield from (f"- `{effect}`: {EFFECT_TEXTS[effect]}" for effect in EFFECTS)
        yield ""


def _param_default(param: Param) -> str:
    return "must be given" if param.default is None else f"`{_value(param.default)}`"


EFFECT_TEXTS: Mapping[str, str] = {
    "hang": "requests are taken and never answered",
    "slow": "their work takes `factor` times as long",
    "late": "their answers are kept back for `late_ms`",
    "error": "they end in an error",
    "full": "they are turned away unrun",
    "reset": "the connection breaks in place of the answer",
    "spoilt": "the answer can't be read",
    "silent_head": "the head of the answer comes, and then nothing",
    "refuse": "new connections are refused",
    "mute": "answers carry no load report",
    "lying": "load reports say that the queue is empty",
    "speed": "the whole process is slower by `factor`, whatever matches",
}


def _builtins() -> Iterator[str]:
    yield "## Built-in scenarios"
    yield ""
    yield "| name | |"
    yield "| --- | --- |"
    for name in builtin():
        yield f"| `{name}` | {load(name).table.about} |"
    yield ""
    yield f"All {len(CATALOGUE)} kinds of fault can be drawn by `[chaos]`."


if __name__ == "__main__":
    print(reference(), end="")
