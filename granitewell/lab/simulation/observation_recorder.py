"""Records every observation of a day in its digest and trace and passes it on to a witness.

Each observation goes into the day's digest, as a line into the trace if one is written, and to the witness,
without being judged, dropped or changed.
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

DIGEST_BATCH_SIZE = 128  # observations hashed at a time: one hash call for each costs more
MARSHAL_VERSION = 2  # the format without references: stable across Python versions, and faster than repr

_name = itemgetter(0)


class ObservationRecorder:
    """A Witness that feeds the digest, the trace and another witness. `counts` is by method name."""

    def __init__(self, engine: Engine, witness: Witness | None = None, trace: IO[str] | None = None) -> None:
        self._engine, self._trace = engine, trace
        self._witness: Witness | NullWitness = witness if witness is not None else NullWitness()
        self._pending: list[tuple[Any, ...]] = []
        self.counts: Counter[str] = Counter()

    def flush(self) -> None:
        """Write the pending observations to the digest and the trace."""
        pending = self._pending
        if pending:
            self._engine.mark(blake2b(marshal.dumps(pending, MARSHAL_VERSION), digest_size=16).digest())
            self.counts.update(map(_name, pending))
            if self._trace is not None:
                self._trace.writelines(json.dumps(m) + "\n" for m in pending)
            pending.clear()

    def _record(self, *what: Any) -> None:
        self._pending.append(what)
        if len(self._pending) >= DIGEST_BATCH_SIZE:
            self.flush()

    # --- Witness ----------------------------------------------------------------------------------------
    def asked(self, at: int, rid: str, first: str, cls: int, tenant: int, key: int, zone: int,
              timeout_us: int, rebooks: str = "") -> None:  # fmt: skip
        """Record an observation, as all methods below do; see Witness for their meaning."""
        self._record("asked", at, rid, first, cls, tenant, key, zone, timeout_us, rebooks)
        self._witness.asked(at, rid, first, cls, tenant, key, zone, timeout_us, rebooks)

    def taken(self, at: int, rid: str, node: str) -> None:
        """A node's machine has the attempt."""
        self._record("taken", at, rid, node)
        self._witness.taken(at, rid, node)

    def answered(self, at: int, rid: str, node: str, verdict: str, retry_after_us: int,
                 right_body: bool) -> None:  # fmt: skip
        """The client has its response."""
        self._record("answered", at, rid, node, verdict, retry_after_us, right_body)
        self._witness.answered(at, rid, node, verdict, retry_after_us, right_body)

    def left(self, at: int, rid: str) -> None:
        """The client has given up."""
        self._record("left", at, rid)
        self._witness.left(at, rid)

    def lost(self, at: int, rid: str, node: str, why: str) -> None:
        """The node ended the connection of an attempt that it had taken."""
        self._record("lost", at, rid, node, why)
        self._witness.lost(at, rid, node, why)

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery has written to a node."""
        self._record("told", at, node, endpoint, state)
        self._witness.told(at, node, endpoint, state)

    def dialed(self, at: int, node: str, endpoint: str) -> None:
        """A connection has come up at an endpoint."""
        self._record("dialed", at, node, endpoint)
        self._witness.dialed(at, node, endpoint)

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        """An upstream attempt has arrived."""
        self._record("sent", at, rid, node, endpoint, first_byte_at)
        self._witness.sent(at, rid, node, endpoint, first_byte_at)

    def ran(self, at: int, rid: str, endpoint: str, work_us: float) -> None:
        """Work on an attempt has begun."""
        self._record("ran", at, rid, endpoint, work_us)
        self._witness.ran(at, rid, endpoint, work_us)

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        """An endpoint finished an attempt."""
        self._record("ended", at, rid, endpoint, outcome)
        self._witness.ended(at, rid, endpoint, outcome)

    def probed(self, at: int, node: str, endpoint: str) -> None:
        """A probe has arrived."""
        self._record("probed", at, node, endpoint)
        self._witness.probed(at, node, endpoint)

    def endpoint_up(self, at: int, endpoint: str, inc: int, zone: int, capacity: float, cold_from: float,
                    cold_us: int) -> None:  # fmt: skip
        """An endpoint's process has started."""
        self._record("endpoint_up", at, endpoint, inc, zone, capacity, cold_from, cold_us)
        self._witness.endpoint_up(at, endpoint, inc, zone, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """An endpoint's process is gone."""
        self._record("endpoint_down", at, endpoint, why)
        self._witness.endpoint_down(at, endpoint, why)

    def node_up(self, at: int, node: str, zone: int) -> None:
        """A node's process has started."""
        self._record("node_up", at, node, zone)
        self._witness.node_up(at, node, zone)

    def node_ready(self, at: int, node: str) -> None:
        """A node's ready path returned 200."""
        self._record("node_ready", at, node)
        self._witness.node_ready(at, node)

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM was sent to a node."""
        self._record("node_stopping", at, node)
        self._witness.node_stopping(at, node)

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """A node's process is gone."""
        self._record("node_down", at, node, planned, code)
        self._witness.node_down(at, node, planned, code)

    def fault(self, at: int, index: int, begins: bool) -> None:
        """A fault begins or ends."""
        self._record("fault", at, index, begins)
        self._witness.fault(at, index, begins)


class NullWitness:
    """A witness that ignores everything."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        setattr(self, name, _nothing)
        return _nothing


def _nothing(*_: object) -> None:
    return
