"""What is seen of members in the virtual cluster.

Deaths and when each is noticed, false alarms, and what must hold at any time.

It owns the invariants and the counts. It must never change what it watches. Each invariant is said with its
name first:

- `own-fell`: the life and incarnation that a process claims never fall
- `invented`: nobody is told of an incarnation that its process has not claimed
- `resurrected`: who has told of a death never tells of that life again without a higher incarnation
- `name-twice`: once all is quiet, one process a name is a member
- `apart`: once all is quiet, every member sees every member, and nobody else
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from granitewell.lab.cluster.world import Cluster, Node
from granitewell.membership.state_machine import Membership
from granitewell.membership.states import Phase
from granitewell.membership.types import (
    Changed,
    Died,
    DuplicateIdentity,
    Joined,
    Left,
    Member,
    PhaseChanged,
    Suspected,
)
from granitewell.state_machine import LogLine, SendMessage

_TOLD = (Joined, Suspected, Died, Left, Changed)


@dataclass(slots=True)
class Life:
    """One process.

    Attributes:
        claimed: Its life and incarnation.
        noticed: Who has told of its end, and when.
        suspected, died: By incarnation, how many told so while it was up; where it stood still, that is
            noted.
    """

    name: str
    node: Node
    began_us: int
    boot: int
    ended_us: int = -1
    claimed: tuple[int, int] = (0, 0)
    noticed: dict[str, int] = field(default_factory=dict)
    suspected: dict[int, int] = field(default_factory=dict)
    died: dict[int, int] = field(default_factory=dict)
    ill: bool = False  # it has been stopped by the day


@dataclass(slots=True)
class Watch:
    """Give `watch` to a cluster whose nodes run `Membership` as their first machine.

    Attributes:
        lives: By birth.
    """

    lives: dict[int, Life] = field(default_factory=dict)
    twins: int = 0
    _buried: dict[tuple[str, int, int], tuple[int, int]] = field(default_factory=dict)

    def watch(self, cluster: Cluster, node: Node, event: object, effects: list[object]) -> str | None:
        """Called after every event; what is broken, if anything is."""
        machine = member_of(node)
        if machine is None:
            return None
        life = self._life(cluster, node, machine)
        own = machine.identity
        if (own.gen, own.inc) != life.claimed:
            if (own.gen, own.inc) < life.claimed:
                return f"own-fell: {node.id} claimed {life.claimed} and claims {(own.gen, own.inc)}"
            life.claimed = (own.gen, own.inc)
        for effect in effects:
            if type(effect) is SendMessage or type(effect) is LogLine:
                continue
            if isinstance(effect, _TOLD):
                text = self._told(cluster, node, effect, effect.member)
                if text is not None:
                    return text
            elif isinstance(effect, PhaseChanged):
                life.ended_us = cluster.now_us if effect.phase is Phase.LEAVING else life.ended_us
            self.twins += isinstance(effect, DuplicateIdentity)
        return None

    def _life(self, cluster: Cluster, node: Node, machine: Membership) -> Life:
        birth = machine.local.birth
        life = self.lives.get(birth)
        if life is None:
            life = self.lives[birth] = Life(machine.local.config.name, node, cluster.now_us, node.boots)
        return life

    def _told(self, cluster: Cluster, node: Node, effect: object, member: Member) -> str | None:
        life = self.lives.get(member.birth)
        if life is None or (member.gen, member.inc) > life.claimed:
            return f"invented: {node.id} tells of {member.name} at {member.gen}, {member.inc}"
        key = (node.id, node.boots, member.birth)
        if isinstance(effect, Died | Left):
            self._buried[key] = (member.gen, member.inc)
            life.noticed.setdefault(node.id, cluster.now_us)
        elif isinstance(effect, Joined) and (member.gen, member.inc) <= self._buried.get(key, (-1, -1)):
            return f"resurrected: {node.id} tells of {member.name} at {member.gen}, {member.inc} again"
        if life.ended_us < 0 and life.node.up and life.node.boots == life.boot:
            if isinstance(effect, Suspected):
                life.suspected[member.inc] = life.suspected.get(member.inc, 0) + 1
            elif isinstance(effect, Died):
                life.died[member.inc] = life.died.get(member.inc, 0) + 1
                life.noticed.pop(node.id, None)
        return None

    # --- What befalls them ------------------------------------------------------------------------------
    def life_of(self, node: Node) -> Life | None:
        """Of the process that runs there now."""
        machine = member_of(node)
        return self.lives.get(machine.local.birth) if machine is not None else None

    def ended(self, cluster: Cluster, node: Node) -> None:
        """It is about to be killed."""
        life = self.life_of(node)
        if life is not None and life.ended_us < 0:
            life.ended_us = cluster.now_us

    def clear(self) -> None:
        """Count false alarms from now on."""
        for life in self.lives.values():
            life.suspected, life.died = {}, {}


def member_of(node: Node) -> Membership | None:
    """What runs there."""
    machine = node.machines[0] if node.machines else None
    return machine if isinstance(machine, Membership) else None


def running(cluster: Cluster) -> Iterator[tuple[Node, Membership]]:
    """All that are up and don't stand still."""
    for node in cluster.nodes.values():
        machine = member_of(node)
        if machine is not None and not node.stalled:
            yield node, machine


def agreed(cluster: Cluster) -> str | None:
    """What keeps the members from seeing the same, if anything does."""
    there: dict[str, int] = {}
    for node, machine in running(cluster):
        name = machine.local.config.name
        if machine.phase is Phase.ACTIVE:
            if name in there:
                return f"name-twice: {name} is a member twice, one of them {node.id}"
            there[name] = machine.local.birth
    for node, machine in running(cluster):
        if machine.phase is not Phase.ACTIVE and machine.local.config.name not in there:
            return f"apart: {node.id} is {machine.phase.value}, and nobody has its name"
        if machine.phase is Phase.ACTIVE and len(machine.local.table.up) != len(there):
            return f"apart: {node.id} sees {len(machine.local.table.up)} of {len(there)}"
    return _same(cluster, there)


def _same(cluster: Cluster, there: dict[str, int]) -> str | None:
    for node, machine in running(cluster):
        table = machine.local.table
        for name in table.up.names if machine.phase is Phase.ACTIVE else ():
            if table.records[name].standing.birth != there.get(name):
                return f"apart: {node.id} sees another life of {name}"
    return None
