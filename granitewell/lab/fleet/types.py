"""What is played on a fleet of processes: the scenario file, and the schedule that comes of it and a seed.

It owns the kinds of trouble, their bounds and both files' forms (TOML for scenarios, JSON for a schedule that
was played). It must never start anything. A trouble is `lab/cluster`'s, so that one schedule is played on
processes and in virtual time; kinds that only one of the two can play say so in `KINDS`.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from granitewell.files import MAX_USER_FILE_BYTES, read_regular_file
from granitewell.lab.cluster.chaos import Rules, Trouble, draw
from granitewell.lab.engine import stream

BUILTIN = Path(__file__).parent / "scenarios"
VERSION = 1
MAX_NODES = 100
MAX_TROUBLES = 1_000


@dataclass(frozen=True, slots=True)
class Kind:
    """A sort of trouble.

    Attributes:
        does: In a few words.
        nodes: Least number of them.
        virtual: Played in virtual time too.
        ends: It has an end of its own.
        how: Words that it knows.
    """

    does: str
    nodes: int = 1
    virtual: bool = False
    ends: bool = True
    how: tuple[str, ...] = ()


KINDS: dict[str, Kind] = {
    "kill": Kind("SIGKILL; started again at the end", virtual=True),
    "lose": Kind("SIGKILL; started again at the end with nothing on its disk", virtual=True),
    "term": Kind("SIGTERM; started again at the end"),
    "stall": Kind("SIGSTOP, SIGCONT at the end", virtual=True),
    "cpu": Kind("a share of a core (value)"),
    "files": Kind("a limit on descriptors: value above what it holds, from then on"),
    "size": Kind("a limit on the size of files, in bytes (value)"),
    "cut": Kind("no message between the first `value` of the nodes and the others", 2, virtual=True),
    "oneway": Kind("none from the first `value` of the nodes to the others", 2, virtual=True),
    "alone": Kind("each of the nodes is cut off from all", virtual=True),
    "mute": Kind("each of the nodes hears all, and is heard by none"),
    "deaf": Kind("each of the nodes is heard by all, and hears none"),
    "link": Kind("roads of the nodes, or of all: value by how", 0, virtual=True,
                 how=("loss", "delay", "doubled", "late")),
    "band": Kind("streams of the nodes carry value bytes a second"),
    "snap": Kind("streams of the nodes break", virtual=True, ends=False),
    "torn": Kind("streams of the nodes break in the middle of what is on its way", ends=False),
    "half": Kind("streams of the nodes are half-open: one side is gone, the other is not told", ends=False),
    "hold": Kind("datagrams of the nodes are held, and let go all at once at the end, in no order"),
    "noise": Kind("value datagrams a second at each of the nodes", how=("bytes", "key", "replay")),
    "twin": Kind("a second process of that name at another address, ended at the end", virtual=True,
                 how=("empty", "copy")),
    "moved": Kind("SIGKILL; started again at the end at another address"),
    "renamed": Kind("SIGKILL; started again at the end at its address under another name"),
    "upgrade": Kind("a process begins beside it; at the end it is asked to stop", how=(
        "", "kill-old", "kill-new", "kill-new-late", "kill-old-late")),
    "rekey": Kind("the fleet's key is changed node by node, in three rounds, over the time", 0),
}  # fmt: skip
DRAWN = ("kill", "lose", "term", "stall", "cut", "oneway", "alone", "mute", "link", "snap", "torn", "half",
         "hold")  # fmt: skip


class FleetError(Exception):
    """A scenario or a schedule can't be used; the text is one line that names file and field."""


Word = Annotated[str, Meta(max_length=40)]
Second = Annotated[float, Meta(ge=0, le=86_400)]


class TroubleTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One trouble of a file.

    Attributes:
        nodes: By name or number.
        count, part: That many, drawn by the seed.
    """

    kind: Word
    at_s: Second
    until_s: Second | None = None
    nodes: list[Word | int] = msgspec.field(default_factory=list)
    count: Annotated[int, Meta(ge=1, le=MAX_NODES)] | None = None
    part: Annotated[float, Meta(gt=0, le=1)] | None = None
    value: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    how: Word = ""
    every_s: Annotated[float, Meta(ge=0.1)] | None = None  # again and again, up to to_s
    in_turn: bool = False  # each time another of the nodes, until all have had their turn
    to_s: Second | None = None


class LinkTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """All roads, from beginning to end."""

    loss: Annotated[float, Meta(ge=0, le=0.9)] = 0.0
    doubled: Annotated[float, Meta(ge=0, le=1)] = 0.0
    late: Annotated[float, Meta(ge=0, le=1)] = 0.0
    delay_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0
    jitter_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0


class DrawTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Troubles drawn by the seed, beside those of the file."""

    severity: Annotated[float, Meta(ge=0, le=1)]
    from_s: Second = 3.0
    until_s: Second | None = None
    kinds: list[Word] = msgspec.field(default_factory=lambda: list(DRAWN))


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A scenario file."""

    about: Annotated[str, Meta(max_length=300)] = ""
    nodes: Annotated[int, Meta(ge=1, le=MAX_NODES)] = 5
    endpoints: Annotated[int, Meta(ge=1, le=250)] = 6
    seconds: Annotated[float, Meta(ge=1, le=86_400)] = 30.0
    rate: Annotated[float, Meta(ge=0, le=100_000)] = 60.0
    configured: Annotated[int, Meta(ge=1, le=10_000)] | None = None
    seeds: Annotated[int, Meta(ge=0, le=64)] = 3
    lasting: bool = True
    bound_s: Annotated[float, Meta(ge=1, le=3_600)] = 30.0
    late_start_s: Second = 0.0
    window_s: Annotated[float, Meta(ge=0, le=600)] = 0.0  # over which the nodes count together; 0: they don't
    link: LinkTable = msgspec.field(default_factory=LinkTable)
    draw: DrawTable | None = None
    trouble: list[TroubleTable] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Schedule:
    """What is played.

    Attributes:
        names: Of all nodes.
        troubles: By time.
        configured: Nodes by the settings.
        seeds: How many of the first nodes are named to all.
        lasting: Folders outlive a kill.
        bound_s: Within which all have to agree after the last trouble.
        link: Of all roads.
    """

    name: str
    seed: int
    names: tuple[str, ...]
    seconds: float
    endpoints: int
    rate: float
    configured: int
    seeds: int
    lasting: bool
    bound_s: float
    link: dict[str, float]
    troubles: tuple[Trouble, ...]
    about: str = ""
    window_s: float = 0.0  # over which the nodes count together
    cluster: bool = True  # False: the same load on nodes that know nobody
    version: int = field(default=VERSION)

    @property
    def inherits(self) -> bool:
        """Whether the platform has to hold the nodes' listeners."""
        return any(t.kind == "upgrade" for t in self.troubles)

    def text(self) -> str:
        """As a file that `--replay` takes."""
        return json.dumps(asdict(self), indent=1)


def builtin() -> tuple[str, ...]:
    """Names of the scenarios that come with granitewell."""
    return tuple(sorted(p.stem for p in BUILTIN.glob("*.toml")))


def load(name: str) -> tuple[str, FleetTable]:
    """A scenario by its file or built-in name. FleetError in one line."""
    path = Path(name)
    if not path.is_file():
        path = BUILTIN / f"{name}.toml"
        if not path.is_file():
            known = ", ".join(builtin())
            raise FleetError(f"{name}: no such file and no built-in scenario; built-in: {known}")
    try:
        raw = tomllib.loads(read_regular_file(path, MAX_USER_FILE_BYTES).decode())
        return path.stem, msgspec.convert(raw, FleetTable)
    except (OSError, ValueError, RecursionError) as error:  # msgspec's is a ValueError that names the field
        raise FleetError(f"{path}: {' '.join(str(error).split())[:300]}") from None


def schedule(
    name: str, table: FleetTable, seed: int, *, nodes: int | None = None, seconds: float | None = None,
    severity: float | None = None, rate: float | None = None,
) -> Schedule:  # fmt: skip
    """The schedule that a seed draws. FleetError: a trouble that can't be, or names whom there is not."""
    count = nodes or table.nodes
    length = seconds or table.seconds
    names = tuple(f"n{k}" for k in range(count))
    rng = stream(seed, "fleet", name)
    troubles = [t for k, one in enumerate(table.trouble) for t in _of(one, k, names, length, rng)]
    drawn = table.draw
    if severity is not None and drawn is None:
        drawn = DrawTable(severity=severity)
    if drawn is not None:
        share = severity if severity is not None else drawn.severity
        troubles += _drawn(drawn, share, names, length, rng)
    if len(troubles) > MAX_TROUBLES:
        raise FleetError(f"{name}: trouble: found {len(troubles)}, allowed are {MAX_TROUBLES}")
    link = {
        "loss": table.link.loss, "doubled": table.link.doubled, "late": table.link.late,
        "delay_us": table.link.delay_ms * 1e3, "jitter_us": table.link.jitter_ms * 1e3,
    }  # fmt: skip
    return Schedule(
        name, seed, names, length, table.endpoints, table.rate if rate is None else rate,
        table.configured or count, min(table.seeds, count), table.lasting, table.bound_s, link,
        tuple(sorted(troubles, key=lambda t: t.at_us)), table.about, table.window_s,
    )  # fmt: skip


def _drawn(
    table: DrawTable, severity: float, names: Sequence[str], length: float, rng: Random
) -> list[Trouble]:
    unknown = [k for k in table.kinds if k not in KINDS]
    if unknown:
        raise FleetError(f"draw.kinds: found {unknown[0]!r}, allowed: {', '.join(KINDS)}")
    until = min(table.until_s or length, length)
    shared = [k for k in table.kinds if KINDS[k].virtual]
    own = [k for k in table.kinds if not KINDS[k].virtual]
    span = int(table.from_s * 1e6), int(until * 1e6)
    rules = Rules(kinds=shared, may_lose=names, twins=("empty",), from_us=span[0], until_us=span[1])
    found = list(draw(rng, names, severity, rules)) if shared else []
    if own and found:  # as many of the others as their part of the kinds asks for
        for t in draw(rng, names, severity * len(own) / len(table.kinds), replace(rules, kinds=("stall",))):
            kind = own[int(rng.random() * len(own))]
            found.append(replace(t, kind=kind, value=0.0))
    return found


def _of(one: TroubleTable, k: int, names: Sequence[str], length: float, rng: Random) -> Iterator[Trouble]:
    """One table's troubles: one, or one each so often."""
    where = f"trouble[{k}]"
    kind = KINDS.get(one.kind)
    if kind is None:
        raise FleetError(f"{where}.kind: found {one.kind!r}, allowed: {', '.join(KINDS)}")
    if kind.how and one.how not in kind.how and one.how:
        raise FleetError(f"{where}.how: found {one.how!r}, allowed: {', '.join(filter(None, kind.how))}")
    if kind.ends and one.until_s is None:
        raise FleetError(f"{where}.until_s: missing; {one.kind} has an end")
    last = min(one.to_s if one.to_s is not None else length, length)
    lasts = (one.until_s if one.until_s is not None else one.at_s) - one.at_s
    if lasts < 0:
        raise FleetError(f"{where}.until_s: found {one.until_s}, allowed is no less than at_s")
    if one.in_turn and one.every_s is None:
        raise FleetError(f"{where}.every_s: missing; in_turn needs it")
    at, turns = one.at_s, 0
    while at <= last:
        who = _who(one, where, names, rng)
        if one.in_turn:
            if turns >= len(who):
                return
            who, turns = who[turns : turns + 1], turns + 1
        if len(who) < kind.nodes:
            raise FleetError(f"{where}.nodes: found {len(who)}, {one.kind} needs {kind.nodes}")
        value = one.value
        if one.kind in ("cut", "oneway"):  # whom it names on one side, all others on the other
            value, who = float(len(who)), (*who, *(n for n in names if n not in who))
            if len(who) == value:
                raise FleetError(f"{where}.nodes: found all of them, allowed are some")
        yield Trouble(one.kind, int(at * 1e6), int((at + lasts) * 1e6), who, value, one.how or _first(kind))
        if one.every_s is None:
            return
        at += one.every_s


def _first(kind: Kind) -> str:
    return kind.how[0] if kind.how else ""


def _who(one: TroubleTable, where: str, names: Sequence[str], rng: Random) -> tuple[str, ...]:
    if one.count is not None or one.part is not None:
        count = one.count if one.count is not None else max(round((one.part or 0) * len(names)), 1)
        order = sorted((rng.random(), name) for name in names)
        return tuple(name for _, name in order[:count])
    found = []
    for x in one.nodes:
        name = f"n{x}" if isinstance(x, int) else x
        if name == "all":
            return tuple(names)
        if name not in names:
            raise FleetError(f"{where}.nodes: found {name!r}, which this fleet of {len(names)} has not")
        found.append(name)
    return tuple(dict.fromkeys(found))


def replayed(path: Path) -> Schedule:
    """A schedule that was played before. FleetError in one line."""
    try:
        words: dict[str, Any] = json.loads(read_regular_file(path, MAX_USER_FILE_BYTES))
        if words.get("version") != VERSION:
            raise ValueError(f"version: found {words.get('version')!r}, allowed is {VERSION}")
        troubles = tuple(Trouble(**{**t, "nodes": tuple(t["nodes"])}) for t in words.pop("troubles"))
        made = Schedule(names=tuple(words.pop("names")), troubles=troubles, **words)
    except (OSError, ValueError, TypeError, KeyError, RecursionError, AttributeError) as error:
        raise FleetError(f"{path}: no schedule of a run: {' '.join(str(error).split())[:200]}") from None
    for k, t in enumerate(made.troubles):
        if t.kind not in KINDS or not {*t.nodes} <= {*made.names}:
            raise FleetError(f"{path}: troubles[{k}]: found {t.kind!r} of {', '.join(t.nodes)}")
    return made
