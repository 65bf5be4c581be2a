"""Where everything stands in one run on sockets: addresses, files, and which process plays what.

It owns the address scheme and its JSON. It must never start anything. All addresses are of 127.0.0.0/8, in a
range of the run's own: node n listens at 127.B.0.n, its discovery agent at 127.B.255.n, and it reaches each
endpoint at an address that only it is told, 127.B.n.x, so that an endpoint knows who calls.
"""

from __future__ import annotations

import json
import os
import socket
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from granitewell.lab.day import Day, EndpointDay

MAX_NODES = 250
LOCK_PORT = 47_001  # bound at 127.B.255.254 for as long as a run uses the range
FIRST, LAST = 16, 250  # of B


class SocksError(Exception):
    """The machine or a process does not give what the run needs; the text is one line that names it."""


@dataclass(frozen=True, slots=True)
class NodePlace:
    """One node's name, zone and listening address."""

    name: str
    zone: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Plan:
    """What each process of a run is told. Files lie in `out`."""

    out: str
    base: int  # B
    nodes: tuple[NodePlace, ...]
    fields: tuple[str, ...]  # names of the load report's values on the wire, in the day's order
    rough: float = 0.0  # part of the right answers that come oddly
    rude: int = 0  # clients that break the protocol

    @property
    def day_file(self) -> Path:
        """The day, as `day_json` writes it."""
        return Path(self.out, "day.json")

    def endpoint_host(self, endpoint: int, node: int) -> str:
        """The address at which this node finds this endpoint, both by their place in the day."""
        return f"127.{self.base}.{node + 1}.{1 + endpoint % 250}"

    def agent_host(self, node: int) -> str:
        """Where this node's discovery agent listens."""
        return f"127.{self.base}.255.{node + 1}"

    def save(self) -> Path:
        """Write it for the processes; the file's path."""
        path = Path(self.out, "plan.json")
        path.write_text(json.dumps(asdict(self), indent=1))
        return path


def load_plan(path: Path) -> Plan:
    """The plan as saved."""
    words: dict[str, Any] = json.loads(path.read_text())
    nodes = tuple(NodePlace(**n) for n in words.pop("nodes"))
    return Plan(nodes=nodes, fields=tuple(words.pop("fields")), **words)


def stands_at(day: Day, endpoint: EndpointDay) -> EndpointDay:
    """The endpoint whose address this one has: itself, or whom it takes over."""
    by_id = {e.id: e for e in day.endpoints}
    while endpoint.takes_over in by_id:
        endpoint = by_id[endpoint.takes_over]
    return endpoint


def share_out(day: Day, parts: int) -> list[list[int]]:
    """Which endpoints, by their place in the day, each of so many processes hosts.

    Those that share an address are together.
    """
    homes: dict[str, int] = {}
    shares: list[list[int]] = [[] for _ in range(parts)]
    for k, endpoint in enumerate(day.endpoints):
        home = homes.setdefault(stands_at(day, endpoint).id, len(homes) % parts)
        shares[home].append(k)
    return shares


class Range:
    """The hold on a range of addresses, given back by close() or the process's end."""

    def __init__(self, base: int | None = None) -> None:
        """Take the named range, or any that is free. SocksError: it can't be had."""
        turn = os.getpid() % (LAST - FIRST)
        every = [FIRST + (turn + k) % (LAST - FIRST) for k in range(LAST - FIRST)]
        bases = every if base is None else [base]
        for b in bases:
            lock = socket.socket()
            try:
                lock.bind((f"127.{b}.255.254", LOCK_PORT))
            except OSError as error:
                lock.close()
                why = error.strerror
                continue
            self.base, self._lock = b, lock
            return
        where = f"127.{bases[0]}.255.254" if base is not None else "127.16 to 127.250"
        raise SocksError(f"addresses {where}, port {LOCK_PORT}: {why}; another run may hold them")

    def close(self) -> None:
        """Others may have it."""
        self._lock.close()


def node_places(day: Day, base: int, port: int) -> tuple[NodePlace, ...]:
    """Listening addresses for the day's nodes; port 0: any that is free. SocksError: a port is in use."""
    if len(day.nodes) > MAX_NODES:
        raise SocksError(f"nodes: found {len(day.nodes)}, on loopback at most {MAX_NODES} are possible")
    places = []
    for k, node in enumerate(day.nodes):
        host = f"127.{base}.0.{k + 1}"
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
                probe.listen()
            except OSError as error:
                raise SocksError(f"node {node.name}: {host}:{port}: {error.strerror}") from None
            places.append(NodePlace(node.name, node.zone, host, probe.getsockname()[1]))
    return tuple(places)
