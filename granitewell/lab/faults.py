"""The catalogue of faults: what a scenario file may let go wrong, and what is left of it for the shells.

It owns the kinds with their targets, params and defaults, by which files are checked and the reference page
is made. It must never draw a number or know a shell. `scenarios.expand` turns a day's schedule of these kinds
into elementary faults, sorted by time, and those alone stand in `Day.faults`:

| kind | target | span | params | | --- | --- | --- | --- | | `condition` | endpoints | until it ends |
`effect`, `classes`, `tenants`, `nodes` (names), `keys` (numbers), each comma-joined; `before=1`: only
connections opened before it began; `share`; `factor`, as `terms.Condition` has them | | `pause` | endpoint |
until it goes on | | | `stop` | endpoint | at once, for good | | | `vanish` | endpoint | until it is back,
cold, under its id; -1: never | | | `restart` | endpoint | down until then, back cold under its id | | |
`drain` | endpoint | until its process ends | | | `node_kill`, `node_term` | node | until its new process
starts; -1: never | | | `node_hup` | node | at once | | | `node_stall` | node | until it goes on | | |
`node_cpu` | node | until it ends | `factor`: of one core | | `cut` | zone, endpoint or node | until it ends |
`way`: `both`, `in`, `out` (`in`: nothing reaches it) | | `link` | `node>endpoint` pairs | until it ends |
`what`: `delay` (`factor` us more each way), `loss` (`factor`: part of the exchanges that end in a reset),
`silent`, `refuse` | | `discovery_silent` | `discovery` | until it ends | | | `discovery_late` | `discovery` |
until it ends | `factor`: us later than usual | | `discovery_moved` | `discovery` | at once | its old address
is closed; nodes learn the new one from `node_hup` |

A target is one name, but for `condition` and `link`, where it may be several, comma-joined; a pair may be
`node>*`. `until_us` -1 means to the end of the day. Every fault also has the param `source`: the place in
`scenario.schedule` of what it comes from. Faults of one kind may overlap on one target, and each holds for
its own span; only orders to a process (`pause`, `restart`, `drain`, `vanish`, `node_*` but for `node_cpu`)
come one at a time, save that a process that drains may be paused, stopped or vanish. An order to a process
that is not there does nothing. A condition belongs to the machine: a process that starts while it lasts has
it too. Endpoints that come later need no fault: they stand in `Day.endpoints` with `started_us` > 0, and
where `takes_over` names another, they have its address, where nobody listens any more by then. Changes of the
load are in `Day.load`.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.lab.day import Fault
from granitewell.lab.scenarios.types import Spec, figure, flag, names, part, whole, word

EFFECTS = (
    "hang", "slow", "late", "error", "full", "reset", "spoilt", "silent_head", "refuse", "mute", "lying",
    "speed",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Param:
    """One param of a kind; default None: it must be given."""

    name: str
    spec: Spec
    default: bool | float | str | tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    """One kind of fault.

    Attributes:
        targets: `endpoints`, `nodes`, `places`, `links` or `none`.
        span: Whether for_s or until_s is `needed`, `open` (default: to the end of the day) or `none`.
    """

    kind: str
    targets: str
    span: str
    doc: str
    params: tuple[Param, ...] = ()

    def param(self, name: str) -> Param | None:
        """That param, or None."""
        return next((p for p in self.params if p.name == name), None)


_DRAIN = Param("drain_s", figure("from the drain to the end of the process", 0, 600), 3.0)
_DOWN = Param("down_s", figure("from the end of the old process to the start of the new one", 0, 600), 1.0)
_BACK = "{} until the new process starts; -1: never"

CONDITION = (
    Param("effect", word("what is wrong; see below", *EFFECTS)),
    Param("classes", names("only requests of these classes"), ()),
    Param("tenants", names("only those of these co-operatives"), ()),
    Param("keys", Spec("numbers", "only those with these keys; 1 is the most popular"), ()),
    Param("nodes", names("only those from these nodes"), ()),
    Param("before", flag("only on connections opened before it began"), False),
    Param("share", part("part of the matching requests"), 1.0),
    Param(
        "factor",
        figure(
            "`slow`, `speed`: how many times as long work takes; `error`: under 1, the part "
            "of the work that is done first",
            0.01,
            1e6,
        ),
        1.0,
    ),
    Param("late_ms", figure("`late`: how long the answer is kept back", 0, 600_000), 0.0),
    Param("stagger_ms", figure("one endpoint after the other, this far apart", 0, 600_000), 0.0),
    Param("flap_ms", figure("this long on, this long off, in turn; 0: on all the time", 0, 600_000), 0.0),
)

_ENDPOINTS = (
    Entry("condition", "endpoints", "open", "The endpoint is ill in one way, for what matches.", CONDITION),
    Entry("pause", "endpoints", "needed", "The process stands still, its connections stay."),
    Entry("kill", "endpoints", "none", "The process ends at once.", (
        Param("silent", flag("without a word: the machine is cut off, connections stay open"), False),
        Param("back_s", figure(_BACK.format("from the kill"), -1, 86_400), -1.0),
    )),
    Entry("restart", "endpoints", "none", "Ends with resets and comes back under its id, cold.", (_DOWN,)),
    Entry("cold", "endpoints", "none", "A restart so quick that nobody finds it down."),
    Entry("replace", "endpoints", "none", "Drains and ends; a cold one with a new id comes at its address.", (
        _DRAIN, _DOWN,
    )),
    Entry("drain", "endpoints", "none", "Finishes what it holds, turns away the rest, is gone.", (_DRAIN,)),
    Entry("deploy", "endpoints", "needed", "A rolling deploy over the span, one batch after the other.", (
        Param("part", part("part of the targets that is replaced"), 0.5),
        Param("batch", part("part of the targets in one batch"), 0.1),
        _DRAIN, _DOWN,
    )),
    Entry("shrink", "endpoints", "needed", "Traffic and fleet fall together over the span, for good.", (
        Param("to", figure("what is left of both, in parts", 0.01, 1), 0.5),
        _DRAIN,
    )),
    Entry("switch_on", "none", "none", "New endpoints start, cold.", (
        Param("count", whole("how many", 1, 10_000), 2.0),
    )),
)  # fmt: skip

_NODES = (
    Entry("node_kill", "nodes", "none", "The node's process is killed; it starts again with an old list.", (
        Param("back_s", figure(_BACK.format("from the kill"), -1, 86_400), 3.0),
    )),
    Entry("node_term", "nodes", "none", "A planned restart by SIGTERM. The new process comes no sooner than "
          "after the longest deadline (3 s at the least) and 0.7 s.", (
        Param("back_s", figure(_BACK.format("from SIGTERM"), -1, 86_400), 5.0),
    )),
    Entry("node_hup", "nodes", "none", "A reload by SIGHUP.", (
        Param("moved", flag("discovery has another address from then on"), False),
    )),
    Entry("node_stall", "nodes", "none", "The node's process stands still.", (
        Param("ms", figure("how long", 0, 600_000), 300.0),
    )),
    Entry("node_cpu", "nodes", "open", "The node gets less CPU.", (
        Param("limit", figure("of one core", 0.01, 64), 0.25),
    )),
)  # fmt: skip

_NETWORK = (
    Entry("cut", "places", "open", "A zone, endpoint or node is cut off: silence, and no reset.", (
        Param("way", word("`in`: nothing reaches it; `out`: nothing leaves it", "both", "in", "out"), "both"),
    )),
    Entry("link", "links", "open", "The way between some nodes and endpoints is bad.", (
        Param("delay_ms", figure("later each way", 0, 600_000), 0.0),
        Param("jitter", figure("cv of that delay, drawn anew each 250 ms", 0, 10), 0.0),
        Param("loss", part("part of the exchanges that end in a reset"), 0.0),
        Param("silent", flag("nothing comes through"), False),
        Param("refuse", flag("new connections are refused"), False),
    )),
)  # fmt: skip

_DISCOVERY = (
    Entry("discovery_silent", "none", "open", "Discovery says nothing; later it tells all at once."),
    Entry("discovery_late", "none", "open", "Discovery tells everything later than usual.", (
        Param("late_ms", figure("by how much", 0, 600_000), 5000.0),
    )),
    Entry("discovery_moved", "none", "none", "Discovery has another address; the old one is closed.", (
        Param("hup_s", figure("after which all nodes are told to reload; -1: never", -1, 86_400), 1.0),
    )),
)  # fmt: skip

_LOAD = (
    Entry("surge", "none", "open", "More, or fewer, first tries.", (
        Param("factor", figure("on the rate", 0, 100), 2.0),
        Param("ramp_s", figure("how long it takes to rise, and to fall", 0.001, 600), 0.5),
    )),
    Entry("hot_key", "none", "open", "One new key takes a part of all requests.", (
        Param("share", part("which part"), 0.3),
    )),
    Entry("tenant_surge", "none", "open", "One co-operative sends more, or less.", (
        Param("tenant", Spec("text", "which one")),
        Param("factor", figure("on what it sends", 0, 100), 3.0),
    )),
)  # fmt: skip

GROUPS = (
    ("Endpoints", _ENDPOINTS), ("Nodes", _NODES), ("Network", _NETWORK), ("Discovery", _DISCOVERY),
    ("Load", _LOAD),
)  # fmt: skip
CATALOGUE = {entry.kind: entry for _, entries in GROUPS for entry in entries}

ELEMENTARY = {
    "condition": ("effect", "classes", "tenants", "keys", "nodes", "before", "share", "factor"),
    "pause": (), "stop": (), "vanish": (), "restart": (), "drain": (),
    "node_kill": (), "node_term": (), "node_hup": (), "node_stall": (), "node_cpu": ("factor",),
    "cut": ("way",), "link": ("what", "factor"),
    "discovery_silent": (), "discovery_late": ("factor",), "discovery_moved": (),
}  # fmt: skip
"""Elementary kinds and their params, besides `source`."""

TARGETS = {
    "endpoints": "`all`, `part:0.4`, `part:0.2..0.4` (drawn), `count:3`, `zone:NAME`, `kind:NAME`, `d1,d4` "
    "(names), `same:0` (whom the file's fault 0 befell, which must not begin later), `others:0` (all but "
    "those)",
    "nodes": "`all`, `part:0.4`, `part:0.2..0.4` (drawn), `count:1`, `zone:NAME`, `n1,n2` (names)",
    "places": "`zone:NAME` (the zone as a whole), or endpoints as above, or nodes by name",
    "links": "nodes, then `>`, then endpoints, each as above: `n1>part:0.5`, `all>d3`",
    "none": "no target",
}


def fault(kind: str, at_us: int, until_us: int = -1, target: str = "", **params: float | str) -> Fault:
    """A fault of the catalogue with the defaults of what is not given.

    Raises ValueError for a kind or param that is not known, or a param that must be given.
    """
    entry = CATALOGUE.get(kind)
    if entry is None:
        raise ValueError(f"kind: found {kind!r}; allowed: {', '.join(CATALOGUE)}")
    for name in params:
        if entry.param(name) is None:
            raise ValueError(f"{kind}.{name}: unknown; allowed: {', '.join(p.name for p in entry.params)}")
    told: list[tuple[str, float | str]] = []
    for param in entry.params:
        value = params.get(param.name, param.default)
        if value is None:
            raise ValueError(f"{kind}.{param.name}: missing; allowed: {param.spec.allowed}")
        if isinstance(value, tuple):
            value = ",".join(value)
        told.append((param.name, value if isinstance(value, str) else float(value)))
    return Fault(at_us, until_us, kind, target, tuple(told))
