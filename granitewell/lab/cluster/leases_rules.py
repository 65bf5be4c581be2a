"""What must hold of leases at any time, as a watch of the virtual cluster, and the figures of a day.

It owns the invariants. It must never change what it watches. Each is said with its name first:

- `term-twice`: no two processes ever lead in one term: the fencing token names one of them
- `two-holders`: no two processes hold the lease at one moment, each by its own clock
- `outlived`: whoever gets or prolongs it has a majority that keeps to its promise until the lease is over,
  each
  by its own clock
- `voted-twice`: a disk grants each term to one process
- `unwritten`: a vote that is said is on the disk, or is there no more because a higher term is
- `term-fell`: the term on a disk never falls
- `late-word`: nobody says that it leads, to others or to its own shell, when its clock says that it does not
- `no-holder`: once all is quiet for `QUIET_US`, somebody leads
"""

from __future__ import annotations

from dataclasses import dataclass, field

from granitewell.lab.cluster.world import Cluster, Node
from granitewell.leases.record import KEY, read
from granitewell.leases.state_machine import Leases
from granitewell.leases.types import Follows, Halted, LeadershipLost, Leads
from granitewell.protocols.peers.frames import HEADER_BYTES, TAG_BYTES
from granitewell.protocols.peers.leases import CODEC, Ask, Envelope, Grant
from granitewell.state_machine import SendMessage

QUIET_US = 20_000_000  # after the last trouble: a new disk waits 12.2 s on the slowest clock; then some tries
SAMPLE_US = 20_000  # how often it is looked whether anybody leads


@dataclass(slots=True)
class Rules:
    """Give `watch` to a cluster whose nodes run `Leases` as their first machine, and call `begin`.

    Attributes:
        names: Of the planners.
        gaps_s: Times without a holder after the first.
    """

    names: tuple[str, ...]
    gaps_s: list[float] = field(default_factory=list)
    terms: dict[int, str] = field(default_factory=dict)  # term: the process that led in it
    lost: int = 0
    refused: int = 0
    followed: int = 0
    _votes: dict[tuple[str, int, int], tuple[str, int]] = field(default_factory=dict)
    _high: dict[tuple[str, int], int] = field(default_factory=dict)
    _without_us: int = -1  # since when nobody leads

    def begin(self, cluster: Cluster, until_us: int) -> None:
        """Look for a holder now and then, until that time."""
        cluster.watches.append(self.watch)
        cluster.engine.at(cluster.now_us + SAMPLE_US, self._sample, cluster, until_us)

    def watch(self, cluster: Cluster, node: Node, event: object, effects: list[object]) -> str | None:
        """Called after every event; what is broken, if anything is."""
        machine = planner_of(node)
        if machine is None:
            return None
        text = self._fell(node, machine)
        for effect in effects:
            if isinstance(effect, SendMessage):
                text = text or self._said(cluster, node, machine, effect)
            elif isinstance(effect, Leads):
                text = text or self._leads(cluster, node, machine, effect)
            else:
                self._count(effect)
        return text

    def _count(self, effect: object) -> None:
        self.lost += isinstance(effect, LeadershipLost)
        self.refused += isinstance(effect, Halted)
        self.followed += isinstance(effect, Follows)

    def _fell(self, node: Node, machine: Leases) -> str | None:
        durable = machine.participant.persistence.durable
        if durable is None:
            return None
        key, term = (node.id, durable.incarnation), durable.term
        before = self._high.get(key, 0)
        self._high[key] = max(term, before)
        return f"term-fell: {node.id} was in term {before} and is in {term}" if term < before else None

    def _leads(self, cluster: Cluster, node: Node, machine: Leases, effect: Leads) -> str | None:
        if effect.until_us <= node.clock.local(cluster.now_us):
            return f"late-word: {node.id} leads in term {effect.term} until a time that has passed"
        process = f"{node.id} start {node.boots}"
        first = self.terms.setdefault(effect.term, process)
        if first != process:
            return f"term-twice: {first} and {process} led in term {effect.term}"
        for other in cluster.nodes.values():
            if other is not node and holds(cluster, other):
                return f"two-holders: {other.id} holds the lease, and so does {node.id} in term {effect.term}"
        return self._outlived(cluster, node, machine)

    def _outlived(self, cluster: Cluster, node: Node, machine: Leases) -> str | None:
        until, short = node.clock.real(machine.until_us), 0
        for name in self.names:
            voter = cluster.nodes[name]
            other = planner_of(voter)
            if other is None or not other.participant.votes:
                continue  # it votes for nobody, and for a while after it is back
            promise = other.participant.promise
            kept = (
                promise.to in (None, machine.participant.identity)
                and voter.clock.real(promise.until_us) >= until
            )
            short += not kept
        if short >= machine.participant.settings.majority:
            return f"outlived: {node.id} leads in term {machine.term} longer than {short} planners promise"
        return None

    def _said(self, cluster: Cluster, node: Node, machine: Leases, say: SendMessage) -> str | None:
        message = letter_of(say.data)
        if message is None:
            return None
        said = message.said
        if isinstance(said, Ask) and said.leads and not machine.leads(node.clock.local(cluster.now_us)):
            return f"late-word: {node.id} says that it leads in term {said.term}, and its lease is over"
        if isinstance(said, Grant):
            to = (say.to, said.for_boot)
            first = self._votes.setdefault((node.spec.address, said.incarnation, said.term), to)
            if first != to:
                return f"voted-twice: {node.id} has granted term {said.term} to {first} and to {to}"
            return _unwritten(node, said, to, len(self.names))
        return None

    def _sample(self, cluster: Cluster, until_us: int) -> None:
        now = cluster.now_us
        if any(holds(cluster, node) and not node.stalled for node in cluster.nodes.values()):
            if self._without_us >= 0:
                self.gaps_s.append((now - self._without_us) / 1e6)
            self._without_us = -1
        elif self._without_us < 0 and self.terms:
            self._without_us = now
        if now + SAMPLE_US <= until_us:
            cluster.engine.at(now + SAMPLE_US, self._sample, cluster, until_us)


def holds(cluster: Cluster, node: Node) -> bool:
    """Whether it leads by its own clock, stopped or not."""
    machine = planner_of(node)
    return machine is not None and machine.leads(node.clock.local(cluster.now_us))


def _unwritten(node: Node, said: Grant, to: tuple[str, int], planners: int) -> str | None:
    """A grant against what the disk has now. The lab's addresses are names."""
    kept = node.disk.kept.get(KEY)
    record = None if kept is None else read(kept, planners)
    if record is not None and (record.term > said.term or (record.term, record.voted) == (said.term, to)):
        return None
    return f"unwritten: {node.id} says that it has granted term {said.term} to {to}; the disk has {record}"


def letter_of(frame: bytes) -> Envelope | None:
    """What a sealed letter says, unverified."""
    return CODEC.decode(frame[HEADER_BYTES + frame[HEADER_BYTES - 1] : -TAG_BYTES])


def planner_of(node: Node) -> Leases | None:
    """Its machine, while it is up."""
    machine = node.machines[0] if node.machines else None
    return machine if isinstance(machine, Leases) else None
