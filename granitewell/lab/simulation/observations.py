"""Where everything that passes in a day is seen: the digest, the trace and the judge behind one Witness.

It owns the forwarding alone: each observation goes into the day's digest, as a line into the trace where one
is written, and to the witness behind it. It must never judge, drop or change an observation.
"""

from __future__ import annotations

import json
import marshal
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from operator import itemgetter
from typing import IO, Any

from granitewell.lab.engine import Engine
from granitewell.lab.witness import Witness

MARKS = 128  # observations that go into the digest at a time: one call of the hash for each costs more
MARSHAL = 2  # the form without references: it is older than any Python here, and quicker than repr

_name = itemgetter(0)


class Seen:
    """A Witness that tells the digest, the trace and the witness behind it. `counts` is by method name."""

    def __init__(self, engine: Engine, behind: Witness | None = None, trace: IO[str] | None = None) -> None:
        self._engine, self._trace = engine, trace
        self._behind: Witness | Blind = behind if behind is not None else Blind()
        self._marks: list[tuple[Any, ...]] = []
        self.counts: Counter[str] = Counter()

    def flush(self) -> None:
        """Bring what has been seen so far into the digest and the trace."""
        marks = self._marks
        if marks:
            self._engine.mark(blake2b(marshal.dumps(marks, MARSHAL), digest_size=16).digest())
            self.counts.update(map(_name, marks))
            if self._trace is not None:
                self._trace.writelines(json.dumps(m) + "\n" for m in marks)
            marks.clear()

    def _mark(self, *what: Any) -> None:
        self._marks.append(what)
        if len(self._marks) >= MARKS:
            self.flush()

    # --- Witness ----------------------------------------------------------------------------------------
    def asked(self, at: int, rid: str, first: str, cls: int, tenant: int, key: int, zone: int,
              timeout_us: int, rebooks: str = "") -> None:  # fmt: skip
        """See Witness, as for all that follows."""
        self._mark("asked", at, rid, first, cls, tenant, key, zone, timeout_us, rebooks)
        self._behind.asked(at, rid, first, cls, tenant, key, zone, timeout_us, rebooks)

    def taken(self, at: int, rid: str, node: str) -> None:
        """A node's machine has the try."""
        self._mark("taken", at, rid, node)
        self._behind.taken(at, rid, node)

    def answered(self, at: int, rid: str, node: str, verdict: str, retry_after_us: int,
                 right_body: bool) -> None:  # fmt: skip
        """The client has its answer."""
        self._mark("answered", at, rid, node, verdict, retry_after_us, right_body)
        self._behind.answered(at, rid, node, verdict, retry_after_us, right_body)

    def left(self, at: int, rid: str) -> None:
        """The client has given up."""
        self._mark("left", at, rid)
        self._behind.left(at, rid)

    def lost(self, at: int, rid: str, node: str, why: str) -> None:
        """The node ended the connection of a try that it had taken."""
        self._mark("lost", at, rid, node, why)
        self._behind.lost(at, rid, node, why)

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery has written to a node."""
        self._mark("told", at, node, endpoint, state)
        self._behind.told(at, node, endpoint, state)

    def dialed(self, at: int, node: str, endpoint: str) -> None:
        """A connection has come up at an endpoint."""
        self._mark("dialed", at, node, endpoint)
        self._behind.dialed(at, node, endpoint)

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        """An attempt has arrived."""
        self._mark("sent", at, rid, node, endpoint, first_byte_at)
        self._behind.sent(at, rid, node, endpoint, first_byte_at)

    def ran(self, at: int, rid: str, endpoint: str, work_us: float) -> None:
        """Work on an attempt has begun."""
        self._mark("ran", at, rid, endpoint, work_us)
        self._behind.ran(at, rid, endpoint, work_us)

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        """An endpoint is done with an attempt."""
        self._mark("ended", at, rid, endpoint, outcome)
        self._behind.ended(at, rid, endpoint, outcome)

    def probed(self, at: int, node: str, endpoint: str) -> None:
        """A probe has arrived."""
        self._mark("probed", at, node, endpoint)
        self._behind.probed(at, node, endpoint)

    def endpoint_up(self, at: int, endpoint: str, inc: int, zone: int, capacity: float, cold_from: float,
                    cold_us: int) -> None:  # fmt: skip
        """An endpoint's process has started."""
        self._mark("endpoint_up", at, endpoint, inc, zone, capacity, cold_from, cold_us)
        self._behind.endpoint_up(at, endpoint, inc, zone, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """An endpoint's process is gone."""
        self._mark("endpoint_down", at, endpoint, why)
        self._behind.endpoint_down(at, endpoint, why)

    def node_up(self, at: int, node: str, zone: int) -> None:
        """A node's process has started."""
        self._mark("node_up", at, node, zone)
        self._behind.node_up(at, node, zone)

    def node_ready(self, at: int, node: str) -> None:
        """A node's ready path says 200."""
        self._mark("node_ready", at, node)
        self._behind.node_ready(at, node)

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM has gone to a node."""
        self._mark("node_stopping", at, node)
        self._behind.node_stopping(at, node)

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """A node's process is gone."""
        self._mark("node_down", at, node, planned, code)
        self._behind.node_down(at, node, planned, code)

    def fault(self, at: int, index: int, begins: bool) -> None:
        """A fault begins or ends."""
        self._mark("fault", at, index, begins)
        self._behind.fault(at, index, begins)


class Blind:
    """A witness that sees nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        setattr(self, name, _nothing)
        return _nothing


def _nothing(*_: object) -> None:
    return
