"""A snapshot in Prometheus' text exposition format 0.0.4.

This module defines the name, type and help text of every metric of a snapshot. Samples come from the
snapshot's rows alone; these are bounded, and so is the number of series. In the format, a family's HELP and
TYPE lines precede its samples and every line ends with a line feed. Label values escape backslash, double
quote and line feed; HELP texts escape backslash and line feed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass

from granitewell.balancing.interface import Outcome
from granitewell.core import Phase, ResponseStatus
from granitewell.status.types import AGE_OVERFLOW_KEY, Snapshot, Usage

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRIC_PREFIX = "granitewell_"
REQUEST_ENDS = (*(v.value for v in ResponseStatus), "abandoned", "table_full")
CALL_COUNTER_PREFIX = "call_"
LINES_PER_PART = 100

Labels = Mapping[str, str]
Sample = tuple[Labels, float | None]


@dataclass(frozen=True, slots=True)
class Family:
    """A metric family: name without the prefix, type, help text, and a function that extracts its samples."""

    name: str
    kind: str
    help: str
    samples: Callable[[Snapshot], Iterable[Sample]]

    def text(self, snapshot: Snapshot) -> Iterator[str]:
        """Yield the family's lines in parts of bounded size; nothing if it has no samples."""
        name = METRIC_PREFIX + self.name
        samples = [(labels, value) for labels, value in self.samples(snapshot) if value is not None]
        if samples:
            help_text = self.help.replace("\\", "\\\\").replace("\n", "\\n")
            yield f"# HELP {name} {help_text}\n# TYPE {name} {self.kind}\n"
        for start in range(0, len(samples), LINES_PER_PART):
            batch = samples[start : start + LINES_PER_PART]
            yield "".join(
                f"{name}{format_labels(labels)} {format_number(value)}\n" for labels, value in batch
            )


def format_labels(labels: Labels) -> str:
    """Format labels as `{endpoint="a",class="b"}`; empty for no labels."""
    inner = ",".join(f'{name}="{escape_label_value(value)}"' for name, value in labels.items())
    return f"{{{inner}}}" if inner else ""


def escape_label_value(value: str) -> str:
    """Escape a label's value; lone surrogates, which UTF-8 can't encode, become question marks."""
    encodable = value.encode(errors="replace").decode()
    return encodable.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def format_number(value: float) -> str:
    """Format a number such that Go's ParseFloat, which Prometheus uses, can read it."""
    if value != value:
        return "NaN"
    if value in (float("inf"), float("-inf")):
        return "+Inf" if value > 0 else "-Inf"
    return repr(value)


def exposition(snapshot: Snapshot) -> Iterator[str]:
    """Yield the whole exposition in parts, each of which is quick to build."""
    for family in FAMILIES:
        yield from family.text(snapshot)


# --- The families ---------------------------------------------------------------------------------------
def _single(value: Callable[[Snapshot], float | None]) -> Callable[[Snapshot], list[Sample]]:
    return lambda s: [({}, value(s))]


def _counter(key: str) -> Callable[[Snapshot], list[Sample]]:
    return _single(lambda s: s["counters"].get(key, 0))


def _request_ends(s: Snapshot) -> list[Sample]:
    return [({"end": end}, s["counters"].get(end, 0)) for end in REQUEST_ENDS]


def _call_outcomes(s: Snapshot) -> list[Sample]:
    return [({"outcome": o.value}, s["counters"].get(CALL_COUNTER_PREFIX + o.value, 0)) for o in Outcome]


def _held_by_age(s: Snapshot) -> list[Sample]:
    return [
        ({"class": c["class"], "under_ms": "+Inf" if age == AGE_OVERFLOW_KEY else age}, n)
        for c in s["held"]["classes"] for age, n in c["ages"].items()
    ]  # fmt: skip


def _descriptor_usage(value_of: Callable[[Usage], int]) -> Callable[[Snapshot], list[Sample]]:
    def samples(s: Snapshot) -> list[Sample]:
        d = s["descriptors"]
        uses = {"clients": d["clients"], "endpoints": d["endpoints"], "together": d["together"]}
        return [({"side": side}, value_of(use)) for side, use in uses.items()]

    return samples


def _pair_samples(key: str, cause: bool = False) -> Callable[[Snapshot], list[Sample]]:
    def samples(s: Snapshot) -> list[Sample]:
        return [
            ({"endpoint": p["endpoint"], "class": p["class"]} | ({"cause": p["cause"]} if cause else {}),
             float(p["state"] == "ill") if key == "ill" else p[key])  # type: ignore[literal-required]
            for p in s["pairs"]
        ]  # fmt: skip

    return samples


def _endpoint_samples(key: str) -> Callable[[Snapshot], list[Sample]]:
    def samples(s: Snapshot) -> list[Sample]:
        return [({"endpoint": e["endpoint"]}, e[key]) for e in s["endpoints"]]  # type: ignore[literal-required]

    return samples


FAMILIES = (
    Family("info", "gauge", "Always 1; the node's name.", lambda s: [({"name": s["name"]}, 1)]),
    Family(
        "phase",
        "gauge",
        "1 for the phase that the node is in, 0 for the others.",
        lambda s: [({"phase": p.value}, int(s["phase"] == p.value)) for p in Phase],
    ),
    Family("uptime_seconds", "gauge", "Since the node's start.", _single(lambda s: s["uptime_s"])),
    Family("taken_total", "counter", "Requests taken.", _counter("taken")),
    Family("requests_total", "counter", "Requests by how they ended.", _request_ends),
    Family("sent_total", "counter", "Outbound calls started.", _counter("sent")),
    Family("dialed_total", "counter", "Outbound calls that needed a new connection.", _counter("dialed")),
    Family("calls_total", "counter", "Outbound calls by how they ended.", _call_outcomes),
    Family("reports_total", "counter", "Answers with a usable load report.", _counter("reports")),
    Family("guarded_total", "counter", "Sends that a rule forbade.", _counter("guarded")),
    Family("faults_total", "counter", "Exceptions caught.", _counter("faults")),
    Family(
        "held_requests",
        "gauge",
        "Requests owed an answer, by age: under so many ms, and not under the " "next lower bound.",
        _held_by_age,
    ),
    Family("calls", "gauge", "Outbound calls under way.", _single(lambda s: s["calls"]["total"])),
    Family(
        "calls_dialing",
        "gauge",
        "Of these, waiting for a connection.",
        _single(lambda s: s["calls"]["dialing"]),
    ),
    Family(
        "connections_idle", "gauge", "Idle connections to endpoints.", _single(lambda s: s["calls"]["idle"])
    ),
    Family(
        "descriptors",
        "gauge",
        "Descriptors held by clients, endpoints and both.",
        _descriptor_usage(lambda u: u["used"]),
    ),
    Family("descriptors_allowed", "gauge", "The most of them.", _descriptor_usage(lambda u: u["allowed"])),
    Family(
        "discovery_heard_age_seconds",
        "gauge",
        "Since discovery's last good answer.",
        _single(lambda s: s["discovery"]["heard_s"]),
    ),
    Family(
        "discovery_news_age_seconds",
        "gauge",
        "Since discovery last told anything new.",
        _single(lambda s: s["discovery"]["news_s"]),
    ),
    Family(
        "discovery_failure_age_seconds",
        "gauge",
        "Since a call to discovery last failed.",
        _single(lambda s: s["discovery"]["failed_s"]),
    ),
    Family(
        "endpoints",
        "gauge",
        "Endpoints as discovery tells them.",
        lambda s: [({"state": state}, float(n)) for state, n in s["fleet"].items() if isinstance(n, int)],
    ),
    Family(
        "prefix_endpoints",
        "gauge",
        "Endpoints that take ordinary traffic.",
        _single(lambda s: s["module"]["prefix"]),
    ),
    Family(
        "slots",
        "gauge",
        "c: calls that an endpoint is held to bear at once.",
        _single(lambda s: s["module"]["c"]),
    ),
    Family(
        "shedding_ratio",
        "gauge",
        "Part of the work that is refused.",
        _single(lambda s: s["module"]["shedding"]),
    ),
    Family(
        "late_ratio",
        "gauge",
        "Part of the answers that come past their aim.",
        _single(lambda s: s["module"]["late"]),
    ),
    Family(
        "latency_mean_seconds",
        "gauge",
        "Mean time of an answer.",
        _single(lambda s: s["module"]["mean_ms"] / 1000),
    ),
    Family(
        "repeats_saved", "gauge", "Repeats that may go out now.", _single(lambda s: s["module"]["repeats"])
    ),
    Family(
        "pairs",
        "gauge",
        "Pairs of endpoint and class that are judged.",
        _single(lambda s: s["judged"]["pairs"]),
    ),
    Family(
        "pairs_ill",
        "gauge",
        "Pairs held to be ill, by class.",
        lambda s: [({"class": c["class"]}, c["ill"]) for c in s["classes"]],
    ),
    Family(
        "class_full",
        "gauge",
        "1 where so many endpoints look ill that the fleet is held to be full.",
        lambda s: [({"class": c["class"]}, int(c["full"])) for c in s["classes"]],
    ),
    Family(
        "pair_ill",
        "gauge",
        "1 where a class at an endpoint is ill; the worst pairs only.",
        _pair_samples("ill", True),
    ),
    Family(
        "pair_failures_ratio",
        "gauge",
        "Its share of failures, the newest counting most.",
        _pair_samples("failures"),
    ),
    Family("pair_in_flight", "gauge", "Its calls under way.", _pair_samples("in_flight")),
    Family(
        "endpoint_calls",
        "gauge",
        "Outbound calls at an endpoint; the worst endpoints only.",
        _endpoint_samples("calls"),
    ),
    Family("endpoint_dialing", "gauge", "Of these, waiting for a connection.", _endpoint_samples("dialing")),
    Family("endpoint_idle", "gauge", "Idle connections to it.", _endpoint_samples("idle")),
    Family(
        "endpoint_warm_ratio", "gauge", "Part of its capacity that it has now.", _endpoint_samples("warm")
    ),
    Family(
        "endpoint_speed_ratio",
        "gauge",
        "Its time for the same work against the others'.",
        _endpoint_samples("speed"),
    ),
)
