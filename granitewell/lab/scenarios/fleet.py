"""Who is there while a day's faults are laid out, and whom a target means.

It owns the endpoints and nodes with the times at which faults take them away, and the choice among them.
The choice is by a rank drawn for each fault and name, so one more endpoint moves few others. It must never
know what a fault does.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from hashlib import blake2b

from granitewell.lab.day import Day, EndpointDay
from granitewell.lab.engine import stream

Place = tuple[str, int, int]  # name, zone, kind (-1: a node)
Pool = list[Place]


def endpoint_id(seed: int, label: str) -> str:
    """The id of the endpoint that a file calls d1, d2, ....

    Those four digits in front make that ids sort and hash anew on each day, and tell nothing of zone or kind.
    """
    return f"{blake2b(f'{seed}/{label}'.encode(), digest_size=2).hexdigest()}-{label}"


def label(name: str) -> str:
    """What a file calls the endpoint of this id, or the node of this name."""
    return name.rpartition("-")[2]


class Fleet:
    """Endpoints and nodes through the day. Times are asked in any order; what is told holds at once."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self.all = list(day.endpoints)
        self._leaves: dict[str, int] = {}  # from when it wants nothing more
        self._ended: dict[str, int] = {}  # from when it is gone for good
        self._away: dict[str, list[tuple[int, int]]] = {}  # spans without a process, of endpoints and nodes
        self._still: dict[str, int] = {}  # until when a process stands still
        self._befallen: dict[int, list[str]] = {}

    def there(self, at: int) -> Pool:
        """Endpoints with a process at that time."""
        return [
            (e.id, e.zone, e.kind) for e in self.all
            if e.started_us <= at < self._ended.get(e.id, at + 1) and not self._is_away(e.id, at)
        ]  # fmt: skip

    def ready(self, at: int) -> Pool:
        """Those of them that do not drain."""
        return [p for p in self.there(at) if at < self._leaves.get(p[0], at + 1)]

    def staying(self, at: int) -> Pool:
        """Those of them that nothing has planned to end."""
        return [p for p in self.ready(at) if p[0] not in self._leaves and p[0] not in self._ended]

    def nodes(self, at: int) -> Pool:
        """Nodes with a process at that time."""
        return [(n.name, n.zone, -1) for n in self._day.nodes if not self._is_away(n.name, at)]

    def awake(self, pool: Pool, at: int) -> Pool:
        """Those whose process does not stand still."""
        return [p for p in pool if at >= self._still.get(p[0], at)]

    def _is_away(self, name: str, at: int) -> bool:
        return any(begin <= at < end for begin, end in self._away.get(name, ()))

    def leaves(self, name: str, at: int, ends: int) -> None:
        """It drains from a time on and is gone by the other."""
        self._leaves[name], self._ended[name] = at, ends

    def back(self, name: str, at: int, until: int) -> int:
        """It has no process for a span.

        Returns when it is back; -1: never, where it was to leave by then, or where until is -1.
        """
        if until < 0 or until >= self._leaves.get(name, until + 1):
            self._ended[name] = min(at, self._ended.get(name, at))
            return -1
        self._away.setdefault(name, []).append((at, until))
        return until

    def node_away(self, name: str, at: int, until: int) -> None:
        """The node has no process for a span; until -1: to the end."""
        self._away.setdefault(name, []).append((at, until if until >= 0 else 1 << 62))

    def still(self, name: str, until: int) -> None:
        """Its process stands still until then."""
        self._still[name] = until

    def add(self, endpoint: EndpointDay) -> EndpointDay:
        """A further endpoint."""
        self.all.append(endpoint)
        return endpoint

    def successor(self, source: int, name: str, at: int) -> EndpointDay:
        """Another machine like this one, at its address."""
        old = next(e for e in self.all if e.id == name)
        base, _, turn = label(name).partition(".")
        own = endpoint_id(self._day.seed, f"{base}.{int(turn or 1) + 1}")
        speed = self._like(source, own, old.kind).speed
        return self.add(replace(old, id=own, speed=speed, started_us=at, takes_over=name))

    def further(self, source: int, at: int) -> EndpointDay:
        """One that is switched on: in the zones in turn, otherwise like one that was there from the start."""
        turn = sum(1 for e in self.all if not e.takes_over)
        own = endpoint_id(self._day.seed, f"d{turn + 1}")
        like = self._like(source, own)
        zone = turn % len(self._day.zones)
        near = next((e for e in self._day.endpoints if e.zone == zone), like)
        return self.add(replace(like, id=own, zone=zone, cell=near.cell, started_us=at))

    def _like(self, source: int, name: str, kind: int = -1) -> EndpointDay:
        choice = [e for e in self._day.endpoints if kind in (-1, e.kind)]
        return choice[int(stream(self._day.seed, "scenario", "like", source, name).random() * len(choice))]

    def pick(self, source: int, target: str, pool: Pool) -> list[str]:
        """Whom of the pool a target means, in an order drawn for this fault; empty where none is there."""
        word, _, name = target.partition(":")
        chosen: dict[str, Callable[[], Iterable[Place]]] = {
            "part": lambda: ranked[: round_up(float(name) * len(pool))],
            "count": lambda: ranked[: int(name)],
            "zone": lambda: [p for p in ranked if self._day.zones[p[1]] == name],
            "kind": lambda: [p for p in ranked if self._day.kinds[p[2]].name == name],
            "same": lambda: [p for p in ranked if p[0] in self._befallen.get(int(name), ())],
            "others": lambda: [p for p in ranked if p[0] not in self._befallen.get(int(name), ())],
        }
        ranked = sorted(pool, key=lambda p: (self._rank(source, p[0]), p[0]))
        if target in ("", "all"):
            found: Iterable[Place] = ranked
        elif word in chosen and ":" in target:
            found = chosen[word]()
        else:
            names = target.split(",")
            found = [p for p in ranked if p[0] in names or label(p[0]) in names]
        self._befallen[source] = [p[0] for p in found]
        return self._befallen[source]

    def _rank(self, source: int, name: str) -> float:
        return stream(self._day.seed, "scenario", "pick", source, name).random()


def round_up(count: float) -> int:
    """To the nearest whole number, and to 1 where there is anything at all."""
    return max(int(count + 0.5), 1 if count > 0 else 0)


def in_batches(names: Sequence[str], size: int) -> list[list[str]]:
    """The names in batches of that size."""
    return [list(names[k : k + size]) for k in range(0, len(names), size)]
