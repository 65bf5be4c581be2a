"""The form of a scenario file: one typed table each, with its words, bounds and defaults.

It owns the names that people write, their units (the last part of a name), what is allowed and what holds
where nothing is written. It must never read a file or draw a number; `scenarios.read` checks files against
it, `scenarios.draw` draws from it, and the reference page is made from it. A figure is a number or a range
`[low, high]`, which each seed draws from evenly; a word or a flag may be a list to choose from.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from typing import Annotated as An
from typing import Any, get_args

from msgspec import Struct, field
from msgspec.structs import FieldInfo, fields

Figure = float | tuple[float, float]
Whole = int | tuple[int, int]
Word = str | tuple[str, ...]
Steps = tuple[tuple[float, float], ...]
Flag = bool | tuple[bool, ...]
ParamValue = bool | float | str | tuple[float | str, ...]

MOST = 1e9  # no figure of a day is larger


@dataclass(frozen=True, slots=True)
class Spec:
    """What one key takes.

    Attributes:
        form: `figure`, `whole`, `word`, `flag` (each may be drawn), `text`, `names` (a list of words),
            `numbers` (of whole numbers), `steps` (pairs of a time and a factor), `params`.
    """

    form: str
    doc: str
    low: float = 0.0
    high: float = MOST
    words: tuple[str, ...] = ()

    @property
    def bounds(self) -> str:
        """The least and the most."""
        return f"{self.low:g} to {self.high:g}" if self.high < MOST else f"{self.low:g} or more"

    @property
    def allowed(self) -> str:
        """What may stand there, in a few words."""
        bounds = self.bounds
        return {
            "figure": f"a number, or a range [low, high], of {bounds}",
            "whole": f"a whole number, or a range [low, high], of {bounds}",
            "word": f"one of {', '.join(self.words)}, or a list of them to choose from",
            "flag": "true or false, or a list of both to choose from",
            "text": "a text",
            "names": "a list of names" + (f" of {', '.join(self.words)}" if self.words else ""),
            "numbers": "a list of whole numbers",
            "steps": "a list of pairs [at_s, factor] with rising times",
            "params": "a table of the fault's params",
        }[self.form]


def figure(doc: str, low: float = 0.0, high: float = MOST) -> Spec:
    """A number or a range."""
    return Spec("figure", doc, low, high)


def part(doc: str) -> Spec:
    """A part of 1."""
    return Spec("figure", doc, 0.0, 1.0)


def whole(doc: str, low: float = 0, high: float = MOST) -> Spec:
    """A whole number or a range of such."""
    return Spec("whole", doc, low, high)


def word(doc: str, *words: str) -> Spec:
    """One of these words, or a list to choose from."""
    return Spec("word", doc, words=words)


def flag(doc: str) -> Spec:
    """True or false."""
    return Spec("flag", doc)


def names(doc: str, *words: str) -> Spec:
    """A list of words."""
    return Spec("names", doc, words=words)


def text(doc: str) -> Spec:
    """Free text."""
    return Spec("text", doc)


def spec_of(kind: Any) -> Spec:
    """What an annotated field takes."""
    return next(x for x in get_args(kind) if isinstance(x, Spec))


@cache
def fields_of(kind: type[Table]) -> tuple[FieldInfo, ...]:
    """The fields of a table, in order; msgspec reads them from the annotations anew each time."""
    return fields(kind)


class Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all tables share."""


class ClassTable(Table, frozen=True, kw_only=True):
    """A class of requests."""

    name: An[str, text("its name, as nodes are told it")]
    share: An[Figure, part("its part of the first tries; over all classes about 1")]
    work_ms: An[Figure, figure("mean work of a request on a core of speed 1", 0.001)]
    dist: An[Word, word("shape of it", "constant", "exponential", "lognormal", "pareto")] = "lognormal"
    cv: An[Figure, figure("its coefficient of variation (lognormal and pareto)", 0, 20)] = 1.0
    attempt_noise: An[Figure, figure("cv of a factor drawn anew for each attempt", 0, 20)] = 0.0
    aim_ms: An[Figure, figure("an answer within this time earns all of the worth", 1)]
    deadline_ms: An[Figure, figure("when the client gives up for good", 1, 600_000)]
    worth: An[Figure, figure("worth of one request")] = 1.0
    late_worth: An[Figure, part("part of the worth that an answer after the aim earns")] = 0.0
    effect: An[Word, word("whether a request may run twice", "safe", "unsafe")] = "safe"


class TenantTable(Table, frozen=True, kw_only=True):
    """A co-operative."""

    name: An[str, text("its name, as nodes are told it")]
    share: An[Figure, part("its share of the service; over all co-operatives about 1")]
    usage: An[Figure, figure("what it sends, as a multiple of its share of the traffic", 0, 100)] = 1.0


class KindTable(Table, frozen=True, kw_only=True):
    """A kind of endpoint."""

    name: An[str, text("its name, as discovery tells it")]
    share: An[Figure, part("its part of the fleet; over all kinds about 1")]
    cores: An[Whole, whole("cores of one endpoint", 1, 1024)]
    speed: An[Figure, figure("mean speed of a core on that day", 0.001, 1000)] = 1.0
    speed_cv: An[Figure, figure("cv of the speed from endpoint to endpoint", 0, 5)] = 0.0
    slots_per_core: An[Whole, whole("requests in work at a time", 1, 1024)] = 1
    queue_per_core: An[Figure, figure("waiting room; beyond it requests are turned away")] = 20.0
    thrash: An[Figure, figure("loss by crowding: efficiency is 1 / (1 + thrash * excess)", 0, 100)] = 0.0
    thrash_at: An[Figure, figure("requests held for each core, from which the excess counts")] = 8.0
    cold_from: An[Figure, figure("capacity of a process that has just started, in parts", 0.001, 1)] = 1.0
    cold_s: An[Figure, figure("time until it has all of its capacity", 0, 3600)] = 0.0
    warm_by: An[Word, word("what makes it warm", "time", "work")] = "time"
    error_rate: An[Figure, part("part of the requests that end in an error")] = 0.0
    cancel: An[Word, word("what a cancel or time-out stops", "none", "queued", "all")] = "queued"
    drops_expired: An[Flag, flag("whether overdue waiting work is turned away unrun")] = False
    pause_ms: An[Figure, figure("length of a pause of the process now and then; 0: none")] = 0.0
    pause_every_s: An[Figure, figure("mean time between such pauses", 0.1, 3600)] = 10.0
    memory_gain: An[Figure, figure("part of the work that a remembered key saves", 0, 0.99)] = 0.0
    memory_s: An[Figure, figure("how long a key is remembered", 0, 3600)] = 8.0
    memory_keys_per_core: An[Figure, figure("how many keys are remembered")] = 30.0


class EndpointsTable(Table, frozen=True, kw_only=True):
    """The fleet at the day's start. Endpoints are d1, d2, ... and lie in the zones in turn."""

    count: An[Whole, whole("how many", 1, 100_000)]
    cell_size: An[Whole, whole("endpoints of one zone that form a cell", 1)] = 4
    zone_skew: An[Figure, part("how unevenly the zones are filled; 0: in turn")] = 0.0


class NodesTable(Table, frozen=True, kw_only=True):
    """The balancing nodes n1, n2, ..., in the zones in turn."""

    count: An[Whole, whole("how many", 1, 10_000)] = 3
    cpu: An[Figure, figure("of one core, that a node may use", 0.01, 64)] = 1.0
    call_us: An[Figure, figure("CPU booked for one event in virtual time; 0: none", 0, 1e6)] = 0.0


class NetworkTable(Table, frozen=True, kw_only=True):
    """One-way delays."""

    same_ms: An[Figure, figure("within a zone", 0, 60_000)] = 0.2
    cross_ms: An[Figure, figure("between zones", 0, 60_000)] = 2.0
    client_ms: An[Figure, figure("between clients and nodes", 0, 60_000)] = 0.5
    jitter: An[Figure, figure("cv of each delay", 0, 10)] = 0.2


class ConnTable(Table, frozen=True, kw_only=True):
    """Connections to endpoints."""

    handshake_rtts: An[Figure, figure("round trips until a request can be written", 0, 100)] = 2.0
    handshake_us: An[Figure, figure("work of a new connection at the endpoint", 0, 1e6)] = 1000.0
    idle_s: An[Figure, figure("after which the endpoint closes an idle one", 0.1, 3600)] = 10.0
    dial_timeout_ms: An[Figure, figure("after which a node gives up a dial", 1, 60_000)] = 250.0
    cap: An[Whole, whole("open connections that an endpoint takes", 1)] = 1000
    full_tax: An[Figure, figure("part of the capacity that a full table takes", 0, 0.99)] = 0.1


REPORT_FIELDS = ("inflight", "queue", "util", "latency_ms", "qps", "eps")


class ReportTable(Table, frozen=True, kw_only=True):
    """Load reports in answers."""

    fields: An[tuple[str, ...], names("what they hold; empty: no reports", *REPORT_FIELDS)] = ("eps", "queue")
    period_ms: An[Figure, figure("how often the figures are refreshed", 0, 60_000)] = 200.0
    delay_ms: An[Figure, figure("how old they are besides", 0, 60_000)] = 50.0
    noise: An[Figure, figure("cv of their error", 0, 10)] = 0.1


class ProbeTable(Table, frozen=True, kw_only=True):
    """Probes of endpoints by nodes."""

    allowed: An[Flag, flag("whether nodes may probe")] = True
    work_us: An[Figure, figure("work of a probe", 0, 1e6)] = 300.0
    cap_per_s: An[Figure, figure("probes a second that an endpoint answers")] = 4.0
    deep: An[Flag, flag("whether a probe waits and is worked on like a request")] = False
    timeout_ms: An[Figure, figure("after which a probe has failed", 1, 60_000)] = 300.0


class ClientsTable(Table, frozen=True, kw_only=True):
    """What clients do with what they get."""

    retries: An[Whole, whole("further tries after the first", 0, 100)] = 2
    try_share: An[Figure, figure("part of the deadline after which a try is given up", 0.01, 1)] = 0.4
    backoff: An[Word, word("whether a retry waits", "none", "fixed")] = "none"
    backoff_ms: An[Figure, figure("how long it waits, where it does", 0, 60_000)] = 100.0
    honour: An[Figure, part("part of the clients that heed Retry-After")] = 0.2
    impatient: An[Figure, part("part of the requests whose client leaves early")] = 0.0
    rebook: An[Figure, part("part of the clients that book anew when an unsafe answer is lost")] = 0.0
    marks_retry: An[Flag, flag("whether retries are marked as such")] = True
    max_retry_after_ms: An[Figure, figure("longest Retry-After that is heeded", 0, 600_000)] = 1200.0


class FrontTable(Table, frozen=True, kw_only=True):
    """The front that spreads clients over the nodes of their zone."""

    notice_s: An[Figure, figure("for which it goes on sending to a dead node", 0, 600)] = 2.0


class DiscoveryTable(Table, frozen=True, kw_only=True):
    """How late nodes are told what happens to endpoints."""

    notice_s: An[Figure, figure("a drain, a stop or a death with a reset", 0, 600)] = 2.0
    silent_notice_s: An[Figure, figure("a death that nobody tells", 0, 600)] = 8.0
    add_s: An[Figure, figure("a new endpoint", 0, 600)] = 1.5
    period_ms: An[Figure, figure("changes are told in batches of this period", 0, 60_000)] = 500.0
    spread_ms: An[Figure, figure("by which nodes differ at most", 0, 60_000)] = 200.0


class LoadTable(Table, frozen=True, kw_only=True):
    """First tries over the whole system. One of `rate_per_s`, `utilisation` and `trace` must be given."""

    rate_per_s: An[Figure | None, figure("mean rate of first tries", 0.001)] = None
    utilisation: An[
        Figure | None, figure("mean rate as a part of what the warm fleet can do", 0.001, 100)
    ] = None
    shape: An[Word, word("how it changes", "steady", "wave", "burst", "match_night", "steps")] = "steady"
    swing: An[Figure, part("wave: how far it goes up and down")] = 0.15
    period_s: An[Figure, figure("wave: length of one", 0.5, 3600)] = 20.0
    burst_cv: An[Figure, figure("burst: cv of a factor on the rate", 0, 10)] = 0.5
    burst_ms: An[Figure, figure("burst: how long a factor holds", 10, 60_000)] = 500.0
    peak: An[Figure, figure("match_night: factor when the match is over", 1, 20)] = 1.8
    steps: An[Steps, Spec("steps", "steps: factors on the rate, each from its time on")] = ()
    trace: An[str, text("CSV file beside this one, of recorded arrivals")] = ""
    zone_skew: An[Figure, part("how unevenly clients lie over the zones")] = 0.0
    keys: An[Whole, whole("distinct keys; key 1 is the most popular; 0: none")] = 1000
    key_zipf: An[Figure, figure("exponent of the keys' popularity", 0, 5)] = 1.0
    key_churn_s: An[Figure, figure("after which a key is replaced by a new one; 0: never", 0, 3600)] = 0.0
    allowance_of_capacity: An[
        Figure, figure("allowances of all, as a part of what the warm fleet can do; 0: none told", 0, 10)
    ] = 0.85


class RulesTable(Table, frozen=True, kw_only=True):
    """The rules' figures."""

    drain_grace_ms: An[Figure, figure("after which nothing new may go to who drains", 0, 60_000)] = 1000.0
    fall_multiple: An[Figure, figure("multiple of its capacity that pushes a cold endpoint over", 1)] = 3.0
    fall_ms: An[Figure, figure("span over which that is counted", 1, 60_000)] = 1000.0
    slack_ms: An[Figure, figure("grace on each time limit", 0, 60_000)] = 50.0
    max_attempts: An[Whole, whole("attempts for one request", 1, 100)] = 5
    second_copies: An[Flag, flag("whether a safe request may be out twice at a time")] = True
    cancel: An[Flag, flag("whether nodes may call attempts off")] = True
    retry_after: An[Flag, flag("whether Retry-After reaches clients")] = True


class GoalTable(Table, frozen=True, kw_only=True):
    """Weights of a day's figure, and its deductions in parts of 1."""

    whole: An[Figure, part("weight of the whole day")] = 0.4
    worst_window: An[Figure, part("weight of the worst window")] = 0.15
    worst_class: An[Figure, part("weight of the worst-served class")] = 0.2
    worst_tenant: An[Figure, part("weight of the worst-served co-operative within its share")] = 0.25
    window_s: An[Figure, figure("length of a window", 0.1, 3600)] = 10.0
    over_share_worth: An[Figure, part("worth of traffic beyond a share")] = 0.2
    cross_zone: An[Figure, part("for each request crossing zones once")] = 0.02
    waste: An[Figure, part("for as much work wasted as asked for")] = 0.04
    probe: An[Figure, part("for one probe a request")] = 0.01
    late_fail: An[Figure, part("for all failing only after the aim")] = 0.03
    handshake: An[Figure, part("for a new connection for each request")] = 0.08


class FaultTable(Table, frozen=True, kw_only=True):
    """Something that goes wrong. The kinds, their targets and params are listed further down."""

    at_s: An[Figure, figure("when it begins", 0, 86_400)]
    for_s: An[Figure | None, figure("how long it lasts; or until_s", 0, 86_400)] = None
    until_s: An[Figure | None, figure("when it ends; or for_s", 0, 86_400)] = None
    kind: An[str, text("which kind of fault")]
    target: An[str, text("whom it befalls")] = ""
    params: An[dict[str, ParamValue], Spec("params", "the figures of its kind")] = {}


class ChaosTable(Table, frozen=True, kw_only=True):
    """Faults drawn by each seed, besides those of the file."""

    severity: An[Figure, part("how many, how long and how large; 0: none")] = 0.0
    from_s: An[Figure, figure("no fault begins before", 0, 86_400)] = 3.0
    until_s: An[Figure | None, figure("none lasts longer; default: 0.85 of the day", 0, 86_400)] = None
    kinds: An[tuple[str, ...], names("only these kinds; empty: all")] = ()


class ScenarioTable(Table, frozen=True, kw_only=True):
    """A whole file."""

    name: An[str, text("default: the file's name")] = ""
    about: An[str, text("one line for lists")] = ""
    extends: An[str, text("a built-in name or a file beside this one: holds where this is silent")] = ""
    length_s: An[Figure, figure("arrivals end then; the day, when all is answered", 0.1, 86_400)] = 30.0
    zones: An[tuple[str, ...], names("the data centres")] = ("ankara-1", "istanbul-1", "izmir-1")
    classes: tuple[ClassTable, ...] = field(name="class")
    tenants: tuple[TenantTable, ...] = field(name="tenant")
    kinds: tuple[KindTable, ...] = field(name="kind")
    endpoints: EndpointsTable
    nodes: NodesTable = NodesTable()
    network: NetworkTable = NetworkTable()
    conn: ConnTable = ConnTable()
    report: ReportTable = ReportTable()
    probe: ProbeTable = ProbeTable()
    clients: ClientsTable = ClientsTable()
    front: FrontTable = FrontTable()
    discovery: DiscoveryTable = DiscoveryTable()
    load: LoadTable
    rules: RulesTable = RulesTable()
    goal: GoalTable = GoalTable()
    faults: tuple[FaultTable, ...] = field(name="fault", default=())
    chaos: ChaosTable = ChaosTable()
