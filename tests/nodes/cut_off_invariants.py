"""Invariants of the output of control nodes under partitions, suspensions and kills.

With lease = ReplicaSettings.lease_s, age = MAX_READ_STALENESS_S, hold and slack those of the edge's watch,
and clocks that drift by up to `drift`:

- an answer to an operator is true at a moment between its request's sending and its leaving;
- a node that is cut off from every majority answers neither 200 to a GET nor 4xx later than
  lease x (1 + drift) after the cut, counted at the last look at the state;
- a reply to an edge lacks nothing that was committed age x (1 + drift) before it was made;
- what an edge takes lacks nothing that was committed (hold + slack + age) x (1 + drift) before;
- an edge in touch has what was confirmed config-apply-ms before;
- no confirmation is lost, no two changes of one base are confirmed, what was taken is never refused;
- the version in force at an edge never falls in one run of its process.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import Any

import orjson

from granitewell.controlplane.publication.publisher import MAX_READ_STALENESS_S
from granitewell.coordination.consensus.settings import ReplicaSettings

SLACK_S = 1e-6
MAX_DRIFT = 0.05
"""Relative drift of clocks; a lease of 0.5 s under an election timeout of 0.65 s tolerates 0.13."""


class ViolationError(AssertionError):
    """An invariant does not hold."""


class Invariants:
    """Records commits, acknowledgements and rejections with their times, and checks the invariants."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self._times: list[float] = []
        self._versions: list[int] = []
        self._indexes: dict[int, tuple[int, bytes]] = {}
        self._bodies: dict[int, bytes] = {}  # accepted changes, by version
        self._confirmed: dict[int, bytes] = {}
        self._confirmed_at: list[tuple[float, int]] = []
        self._refused: list[tuple[bytes, int]] = []
        self.answers: dict[str, int] = {}

    # History

    def taken(self, index: int, version: int, document: bytes) -> None:
        """Record a change that a node has applied."""
        known = self._indexes.setdefault(index, (version, document))
        if known != (version, document):
            raise ViolationError(f"entry {index} is version {version} here and {known[0]} there")
        if version in self._bodies:
            return
        if self._versions and version <= self._versions[-1]:
            raise ViolationError(f"version {version} after {self._versions[-1]}")
        self._times.append(self._world.now)
        self._versions.append(version)
        self._bodies[version] = document

    @property
    def newest(self) -> int:
        """The newest accepted version."""
        return self._versions[-1] if self._versions else 0

    def committed_before(self, time: float) -> int:
        """Return the newest version known to be committed before a time."""
        count = bisect_left(self._times, time)
        return self._versions[count - 1] if count else 0

    # Operators

    def confirmed(self, version: int, body: bytes) -> None:
        """Check an acknowledgement that is sent."""
        if version not in self._bodies or not _same(self._bodies[version], body):
            raise ViolationError(f"version {version} is confirmed, and not what was taken")
        self._confirmed[version] = body
        self._confirmed_at.append((self._world.now, version))

    def answered(self, node: Any, request: Any, response: Any, sent_at: float) -> None:
        """Check an answer to an operator when it is made; it may be sent later, after a suspension."""
        status = response.status
        kind = f"{request.method} {status}"
        self.answers[kind] = self.answers.get(kind, 0) + 1
        if status in (307, 503):
            return
        self._check_cut_off(node, kind, status)
        if request.method == "GET":
            self._check_read(node, response)
        elif status == 412:
            self._check_stale(node, orjson.loads(response.body)["version"], sent_at)
            self._refused.append((request.body, status))
        elif status != 200:
            self._refused.append((request.body, status))

    def _check_cut_off(self, node: Any, kind: str, status: int) -> None:
        lease_s = ReplicaSettings().lease_s / node.rate
        if kind != "PUT 200" and self._world.now > node.cut_off_since + lease_s + SLACK_S:
            cut_s = self._world.now - node.cut_off_since
            raise ViolationError(f"{node.host} answers {kind}, cut off for {cut_s:.3f} s")

    def _check_read(self, node: Any, response: Any) -> None:
        version = orjson.loads(response.body)["version"] if response.status == 200 else 0
        if version < self.newest:
            raise ViolationError(f"{node.host} reads {version}, {self.newest} is committed")

    def _check_stale(self, node: Any, version: int, sent_at: float) -> None:
        least = self.committed_before(sent_at)
        if version < least:
            raise ViolationError(f"{node.host} refuses by version {version}, {least} was committed")

    # Edges

    def published(self, host: str, version: int, rate: float) -> None:
        """Check a reply to an edge.

        Args:
            host: Control node that replied.
            version: The newer of what it brings and what the edge has.
            rate: Speed of the control node's clock; 1.0 is real time.
        """
        least = self.committed_before(self._world.now - MAX_READ_STALENESS_S / rate - SLACK_S)
        if version < least:
            raise ViolationError(f"{host} publishes {version}, {least} is older than a contact may be")

    def took(self, host: str, version: int, reply_timeout_s: float, rate: float) -> None:
        """Check the version of an edge after it has accepted a reply."""
        bound_s = reply_timeout_s / rate + MAX_READ_STALENESS_S / (1 - MAX_DRIFT)
        least = self.committed_before(self._world.now - bound_s - SLACK_S)
        if version < least:
            raise ViolationError(f"{host} takes {version}, {least} was committed {bound_s:.3f} s before")

    def in_force(self, host: str, before: int, version: int) -> None:
        """Check a configuration that an edge applies."""
        if version <= before:
            raise ViolationError(f"{host} goes back from {before} to {version}")
        if version not in self._bodies:
            raise ViolationError(f"{host} has {version}, which was not taken")

    def in_touch(self, host: str, version: int, confirmed: int) -> None:
        """Check an edge in contact, config-apply-ms after an acknowledgement."""
        if version < confirmed:
            raise ViolationError(f"{host} in touch has {version}, {confirmed} was confirmed")

    # End of the scenario

    def end(self) -> None:
        """Check all rejections and acknowledgements at the end."""
        for body, status in self._refused:
            version = orjson.loads(body)["version"]
            if version in self._bodies and _same(self._bodies[version], body):
                raise ViolationError(f"version {version} was taken, and refused with {status}")
        last = max(self._confirmed, default=0)
        if last > self.newest:
            raise ViolationError(f"version {last} was confirmed, the newest is {self.newest}")

    @property
    def confirmations(self) -> int:
        """Number of acknowledged changes."""
        return len(self._confirmed)


def _same(document: bytes, body: bytes) -> bool:
    """Return whether a current document is the result of a change."""
    held, sent = orjson.loads(document), orjson.loads(body)
    return all(held[name] == sent[name] for name in ("version", "limits"))
