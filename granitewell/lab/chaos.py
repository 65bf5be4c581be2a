"""Chaos: faults of all kinds at random, as many, as long and as large as a severity says.

It owns the odds. It must never draw from anything but the stream that it is given, nor let a day of severity
0.5 or less become one that nobody could serve: a third of the endpoints is then spared, and a third of the
nodes, by everything that makes a process or the way to it worse (what befalls discovery and the load befalls
all). Any two of its faults may overlap.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import ceil, exp, log
from random import Random

from granitewell.lab.day import Day, Fault
from granitewell.lab.faults import CATALOGUE, EFFECTS, fault

SPARING = 0.5  # up to this severity a third is spared
MAX_SLOWER = 100.0  # the largest factor on work, at severity 1
MAX_LASTS_US = 12_000_000
MAX_PER_20_S = 16.0  # faults at severity 1; at least a quarter of that


def chaos(
    day: Day,
    severity: float,
    rng: Random,
    *,
    kinds: Sequence[str] = (),
    from_us: int = 3_000_000,
    until_us: int = -1,
) -> tuple[Fault, ...]:
    """Faults of the catalogue, by time, with every target named.

    None at severity 0. They lie between from_us and until_us (-1: the day's end); the fleet's losses for good
    (a kill, a drain) are not undone by then.
    """
    end = day.length_us if until_us < 0 else min(until_us, day.length_us)
    if severity <= 0.0 or end - from_us < 100_000:
        return ()
    odds = _Odds(day, severity, rng, from_us, end)
    allowed = [k for k in CATALOGUE if not kinds or k in kinds]
    count = round(severity * MAX_PER_20_S * (0.25 + 0.75 * rng.random()) * (end - from_us) / 20e6)
    drawn = [odds.one(allowed[int(rng.random() * len(allowed))]) for _ in range(max(count, 1))]
    return tuple(sorted((f for f in drawn if f is not None), key=lambda f: f.at_us))


def spared(day: Day, rng: Random) -> tuple[list[str], list[str]]:
    """A third of the endpoints and of the nodes: from as few zones as can be, or from anywhere."""
    by_zone = rng.random() < 0.5
    order = sorted((rng.random(), zone) for zone in range(len(day.zones)))
    turn = {zone: k if by_zone else 0 for k, (_, zone) in enumerate(order)}
    endpoints = sorted((turn[e.zone], rng.random(), e.id) for e in day.endpoints)
    nodes = sorted((turn[n.zone], rng.random(), n.name) for n in day.nodes)
    return (
        [name for *_, name in endpoints[: ceil(len(endpoints) / 3)]],
        [name for *_, name in nodes[: ceil(len(nodes) / 3)]],
    )


class _Odds:
    """Draws one fault after the other."""

    def __init__(self, day: Day, severity: float, rng: Random, begin: int, end: int) -> None:
        self._day, self._severity, self._rng, self._begin, self._end = day, severity, rng, begin, end
        endpoints, nodes = spared(day, rng)
        if severity > SPARING:
            endpoints, nodes = [], []
        self._endpoints = [e.id for e in day.endpoints if e.id not in endpoints]
        self._nodes = [n.name for n in day.nodes if n.name not in nodes]
        kept = [e.zone for e in day.endpoints if e.id in endpoints]
        kept += [n.zone for n in day.nodes if n.name in nodes]
        self._zones = [name for zone, name in enumerate(day.zones) if zone not in kept]
        self._at = self._until = begin
        self._kinds: dict[str, Callable[[], Fault | None]] = {
            "condition": self._condition, "cut": self._cut, "link": self._link, "deploy": self._deploy,
            "shrink": self._shrink,
        }  # fmt: skip

    def one(self, kind: str) -> Fault | None:
        """One fault of that kind; None where nobody is left whom it may befall."""
        self._at = self._begin + int(self._rng.random() * (self._end - self._begin) * 0.9)
        lasts = 300_000 + int(self._severity * MAX_LASTS_US * self._rng.random())
        self._until = min(self._at + lasts, self._end)
        if kind in self._kinds:
            return self._kinds[kind]()
        targets, entry = "", CATALOGUE[kind]
        if entry.targets == "endpoints":
            targets = self._some(self._endpoints)
        elif entry.targets == "nodes":
            targets = self._some([n.name for n in self._day.nodes] if kind == "node_hup" else self._nodes)
        if entry.targets != "none" and not targets:
            return None
        until = self._until if entry.span != "none" else -1
        return fault(kind, self._at, until, targets, **self._params(kind))

    def _params(self, kind: str) -> dict[str, float | str]:
        up, hard = self._up, self._severity
        tenants = [t.name for t in self._day.tenants]
        odds: dict[str, Callable[[], dict[str, float | str]]] = {
            "kill": lambda: {
                "silent": self._chance(0.5), "back_s": up(0.5, 10 * hard) if self._chance(0.6) else -1.0,
            },
            "restart": lambda: {"down_s": up(0.1, 3 * hard)},
            "replace": lambda: {"drain_s": up(0.5, 3.5), "down_s": up(0.1, 2)},
            "drain": lambda: {"drain_s": up(0.5, 3.5)},
            "switch_on": lambda: {"count": float(1 + int(up(0, hard * len(self._day.endpoints) / 2)))},
            "node_kill": lambda: {"back_s": up(0.5, 6 * hard)},
            "node_term": lambda: {"back_s": up(4, 4 * hard)},
            "node_hup": lambda: {"moved": self._chance(0.3)},
            "node_stall": lambda: {"ms": up(50, 3000 * hard)},
            "node_cpu": lambda: {"limit": max(1.0 - up(0, 0.95 * hard), 0.05)},
            "discovery_late": lambda: {"late_ms": up(500, 8000 * hard)},
            "discovery_moved": lambda: {"hup_s": up(0.2, 3 * hard)},
            "surge": lambda: {
                "factor": up(1, 1.5 * hard) if self._chance(0.8) else 0.5, "ramp_s": up(0.05, 2),
            },
            "hot_key": lambda: {"share": up(0.1, 0.5 * hard)},
            "tenant_surge": lambda: {"tenant": self._of(tenants), "factor": up(1, 4 * hard)},
        }  # fmt: skip
        return odds[kind]() if kind in odds else {}

    def _condition(self) -> Fault | None:
        targets, effect = self._some(self._endpoints), self._of(EFFECTS)
        params: dict[str, float | str] = {"effect": effect}
        if effect in ("slow", "speed"):
            params["factor"] = exp(self._up(0.2, self._severity * log(MAX_SLOWER)))
        elif effect == "late":
            params["late_ms"] = self._up(50, 3000 * self._severity)
        if self._chance(0.5):
            params["classes"] = self._of([c.name for c in self._day.classes])
        if self._chance(0.2):
            params["tenants"] = self._of([t.name for t in self._day.tenants])
        if self._chance(0.15) and self._day.load.keys:
            params["keys"] = str(1 + int(self._rng.random() * min(self._day.load.keys, 10)))
        if self._chance(0.2):
            params["nodes"] = self._of([n.name for n in self._day.nodes])
        for name, odds, low, more in (("stagger_ms", 0.2, 50, 1500), ("flap_ms", 0.2, 150, 2000)):
            if self._chance(odds):
                params[name] = self._up(low, more)
        params |= {"before": self._chance(0.15), "share": 1.0 if self._chance(0.5) else self._up(0.2, 0.8)}
        return fault("condition", self._at, self._until, targets, **params) if targets else None

    def _cut(self) -> Fault | None:
        what = self._rng.random()
        targets = self._some(self._endpoints)
        if what < 0.3 and self._zones:
            targets = f"zone:{self._of(self._zones)}"
        elif what < 0.5 and self._nodes:
            targets = self._some(self._nodes)
        way = self._of(("both", "in", "out"))
        return fault("cut", self._at, self._until, targets, way=way) if targets else None

    def _link(self) -> Fault | None:
        nodes = self._some([n.name for n in self._day.nodes])
        targets = self._some(self._endpoints)
        what = self._of(("delay_ms", "loss", "silent", "refuse"))
        size = {"delay_ms": self._up(1, 300 * self._severity), "loss": self._up(0.05, 0.9 * self._severity)}
        params: dict[str, float | str] = {what: size.get(what, 1.0)}
        if what == "delay_ms" and self._chance(0.5):
            params["jitter"] = self._up(0.1, 1)
        return fault("link", self._at, self._until, f"{nodes}>{targets}", **params) if targets else None

    def _deploy(self) -> Fault | None:
        """Over as long as is left, and of whom is not spared."""
        names, longest = ",".join(self._endpoints), self._end - self._at
        until = self._at + int(longest * (0.3 + 0.7 * self._rng.random()))
        params = {
            "part": self._up(0.1, 0.9 * self._severity), "batch": self._up(0.1, 0.25),
            "drain_s": self._up(0.5, 3.5), "down_s": self._up(0.1, 1.5),
        }  # fmt: skip
        return fault("deploy", self._at, until, names, **params) if names else None

    def _shrink(self) -> Fault | None:
        names = ",".join(self._endpoints)
        params = {"to": 1.0 - self._up(0.0, 0.64 * self._severity), "drain_s": self._up(0.5, 4)}
        until = max(self._until, self._at + 1_000_000)
        return fault("shrink", self._at, until, names, **params) if names else None

    def _up(self, low: float, more: float) -> float:
        """Evenly from low to that much more."""
        return low + more * self._rng.random()

    def _chance(self, odds: float) -> float:
        return float(self._rng.random() < odds)

    def _of(self, words: Sequence[str]) -> str:
        return words[int(self._rng.random() * len(words))]

    def _some(self, names: Sequence[str]) -> str:
        """One or more, up to a part of them all that grows with the severity; comma-joined."""
        ranks = sorted((self._rng.random(), name) for name in names)
        most = max(int(2.0 * self._severity * len(names) * self._rng.random() + 0.5), 1)
        return ",".join(sorted(name for _, name in ranks[:most]))
