"""One endpoint's machine on loopback: its listeners, one for each node, and its side of the connections.

It owns descriptors and bytes round one `model.endpoint.Endpoint`: what is read becomes the model's events,
what the model does is written. It must never decide what the process does with a request. A dead process's
machine refuses and resets; one that has vanished or is cut off says nothing, and what was lost meanwhile on
a connection is lost for good, as in virtual time.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from dataclasses import dataclass
from typing import Any

from granitewell.lab.day import Day, EndpointDay, NodeDay
from granitewell.lab.emulator import types as t
from granitewell.lab.emulator.endpoint import Endpoint
from granitewell.lab.engine import stream
from granitewell.lab.loopback import spoil
from granitewell.lab.loopback.clock import Agenda
from granitewell.lab.loopback.link import Link
from granitewell.lab.loopback.network_faults import CLEAR, NetworkFaults, Way
from granitewell.lab.loopback.platform_http import RUDE, Heard, head_bytes, reply_bytes
from granitewell.lab.loopback.wire import Listener
from granitewell.lab.witness import Witness


@dataclass(slots=True)
class Surroundings:
    """What all machines of one process share.

    Attributes:
        notes: Offences against the protocol that no rule of the judge knows (a changed request, an id that
            nobody sent), by kind.
    """

    day: Day
    agenda: Agenda
    network_faults: NetworkFaults
    witness: Witness
    fields: tuple[str, ...]
    rough: float
    notes: Counter[str]


class Machine:
    """The machine of one endpoint, through all of its processes."""

    def __init__(self, spec: EndpointDay, around: Surroundings, hosts: dict[str, str]) -> None:
        """hosts: the address at which each node finds it. OSError: one can't be had."""
        day = around.day
        self.spec, self.around = spec, around
        self.model = Endpoint(spec, day, stream(day.seed, "endpoint", spec.id))
        self.inc, self.up, self.drains, self.silent = 0, False, False, False
        self._nodes = {n.name: n for n in day.nodes}
        self._ways: dict[str, Way] = dict.fromkeys(self._nodes, CLEAR)
        self._refuses: Counter[str] = Counter()  # conditions that refuse all connections of a node
        self._links: dict[int, Link] = {}
        self._silenced: list[Link] = []  # of a process that has vanished
        self._number, self._wake_us = 0, -1
        self._losses = stream(day.seed, "losses", spec.id)
        self.doors: dict[str, Listener] = {}
        loop = asyncio.get_running_loop()
        for name, host in hosts.items():
            self.doors[name] = Listener(loop, host, 0, self._welcome(self._nodes[name]))
        self._do: dict[type, Any] = {
            t.Accept: self._accept, t.Refuse: self._refuse, t.Reply: self._reply, t.Hangup: self._hang_up,
            t.Ran: self._ran, t.Done: self._done, t.Overloaded: self._fell,
        }  # fmt: skip

    def take_doors(self, other: Machine) -> None:
        """Stand at the address of one that is gone for good."""
        for name, door in other.doors.items():
            door.set("refuses")
            door.on_conn = self._welcome(self._nodes[name])
        self.doors, other.doors = other.doors, {}

    # --- Life ---------------------------------------------------------------------------------------------
    def start(self) -> None:
        """A new process; one that is there already stays, and one that fell stays down."""
        if self.up or self.model.fallen:
            return
        now, kind = self.now(), self.around.day.kinds[self.spec.kind]
        self.inc += 1
        self.around.witness.endpoint_up(
            now, self.spec.id, self.inc, self.spec.zone, kind.cores * self.spec.speed, kind.cold_from,
            kind.cold_us if now > 0 else 0,
        )  # fmt: skip
        for link in self._silenced:
            link.wire.end(reset=True)
        self._silenced, self.up, self.silent, self.drains = [], True, False, False
        self.hand(t.Ordered(t.Order.START))
        self.look()

    def order(self, order: t.Order) -> None:
        """DRAIN, PAUSE or RESUME."""
        self.drains = self.drains or order is t.Order.DRAIN
        self.hand(t.Ordered(order))

    def end(self, order: t.Order) -> None:
        """STOP or VANISH: the process is gone."""
        if not self.up:
            return
        self.silent = order is t.Order.VANISH
        self.around.witness.endpoint_down(self.now(), self.spec.id, "cut" if self.silent else "stopped")
        self.hand(t.Ordered(order))
        self._gone_down()

    def fall(self, fall: t.ConditionChange) -> None:
        """A condition begins or ends. One that refuses all connections of a node does so by the listener."""
        condition = fall.condition
        if condition.effect == "refuse" and condition.share >= 1.0:
            for name in condition.nodes or tuple(self._nodes):
                self._refuses[name] += 1 if fall.on else -1
            self.look()
        self.hand(fall)

    def look(self) -> None:
        """Listeners and connections as the network and the process are now."""
        for name, node in self._nodes.items():
            way = self._ways[name] = self.around.network_faults.between(node, self.spec)
            door = self.doors.get(name)
            if door is None:
                continue
            if self.silent or not (way.there and way.back):
                door.set("mute")
            else:
                door.set("open" if self.up and not way.refuses and not self._refuses[name] else "refuses")
        for link in list(self._links.values()):
            link.look(self._ways[link.node.name])

    def close(self) -> None:
        """The run is over."""
        for door in self.doors.values():
            door.close()

    def _gone_down(self) -> None:
        self.up = False
        for link in list(self._links.values()):
            link.drop(self.silent)
            if self.silent:
                self._silenced.append(link)
        self._links.clear()
        self.look()

    # --- The model ----------------------------------------------------------------------------------------
    def now(self) -> int:
        """The day's time."""
        return self.around.agenda.clock.now()

    def leg_us(self, node: NodeDay) -> int:
        """One way between a node and this machine, drawn anew."""
        return self.around.network_faults.leg_us(node.zone, self.spec.zone) + self._ways[node.name].more_us

    def hand(self, event: t.EndpointEvent) -> None:
        """Hand an event to the model and do what it says; then have it woken in its time."""
        for effect in self.model.handle(self.now(), event):
            self._do[type(effect)](effect)
        wake = self.model.wake_us
        if wake >= 0 and (self._wake_us < 0 or wake < self._wake_us):
            self._wake_us = wake
            self.around.agenda.at(wake, self._wake, wake)

    def _wake(self, due_us: int) -> None:
        if due_us == self._wake_us:
            self._wake_us = -1
            self.hand(t.Tick())

    # --- From nodes ---------------------------------------------------------------------------------------
    def _welcome(self, node: NodeDay) -> Any:
        return lambda sock: self._connected(node, sock)

    def _connected(self, node: NodeDay, sock: socket.socket) -> None:
        self._number += 1
        link = self._links[self._number] = Link(self, self._number, node, sock)
        legs = max(2.0 * self.around.day.conn.handshake_rtts - 1.0, 1.0)
        self.around.agenda.at(self.now() + round(legs * self.leg_us(node)), self._opened, link)
        link.wire.start()

    def _opened(self, link: Link) -> None:
        if link.open and self.up and link.id in self._links:
            self.hand(t.Opened(link.id, link.node.name))

    def gone(self, link: Link) -> None:
        """The node has closed this one."""
        if self._links.pop(link.id, None) is not None and link.accepted:
            self.hand(t.Gone(link.id))

    def heard(self, link: Link, heard: Heard, first_us: int) -> None:
        """A whole request."""
        if heard.path in ("/-/healthy", "/-/load") and not heard.rid:
            return self._probed(link, heard.path.rpartition("/")[2])
        if not heard.rid or heard.fault:
            what = f"altered {heard.fault}" if heard.rid else "no id"
            self.around.notes[what] += 1
            return link.say((spoil.Step(0, head_bytes(400 if heard.rid else 404, 0, None)),))
        if heard.rid.startswith(RUDE):  # of nobody in the model: it costs nothing and is not witnessed
            return link.say((spoil.Step(0, reply_bytes("ok", heard.rid, None)),))
        now, rid = self.now(), heard.rid
        self.around.witness.sent(now, rid, link.node.name, self.spec.id, first_us)
        if link.refused:  # no room for the connection: PROTOCOL's word for that, once a request is there
            self.around.witness.ended(now, rid, self.spec.id, "full")
            step = spoil.Step(0, reply_bytes("full", rid, None), "close")
            return link.say((step,))
        due = now + heard.wait_us
        self.hand(t.Asked(link.id, rid, heard.cls, heard.tenant, heard.key, heard.work_us, due))
        return None

    def _probed(self, link: Link, what: str) -> None:
        if not self.around.day.probe.allowed or link.refused:
            return link.say((spoil.Step(0, head_bytes(404, 0, None)),))
        self.around.witness.probed(self.now(), link.node.name, self.spec.id)
        self.hand(t.ProbeAsked(link.id, what))
        return None

    # --- From the model -----------------------------------------------------------------------------------
    def _accept(self, effect: t.Accept) -> None:
        link = self._links.get(effect.conn)
        if link is not None:
            self.around.witness.dialed(self.now(), link.node.name, self.spec.id)
            link.stands(refused=False)

    def _refuse(self, effect: t.Refuse) -> None:
        link = self._links.get(effect.conn)
        if link is not None:
            link.stands(refused=True)

    def _reply(self, effect: t.Reply) -> None:
        link = self._links.get(effect.conn)
        if link is None:
            return None
        loss = self._ways[link.node.name].loss
        if loss and self._losses.random() < loss:
            link.say((spoil.Step(0, b"", "reset"),))
            return link.leave()
        script = self._script(effect)
        link.say(script)
        if effect.kind == "spoilt" or script[-1].then:
            link.leave()
            return None
        return None

    def _script(self, effect: t.Reply) -> spoil.Script:
        """How this answer is to be written."""
        report = None
        if effect.report is not None:
            report = dict(zip(self.around.fields, (round(x, 4) for x in effect.report), strict=True))
        if effect.kind in ("spoilt", "head"):
            good = reply_bytes("ok", effect.rid, report)
            if effect.kind == "spoilt":
                return spoil.spoilt(effect.rid, good)[1]
            return (spoil.Step(0, good.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"),)
        good = reply_bytes(effect.kind, effect.rid, report)
        if effect.kind == "ok" and (odd := spoil.rough(effect.rid, good, self.around.rough)) is not None:
            return odd[1]
        return (spoil.Step(0, good),)

    def _hang_up(self, effect: t.Hangup) -> None:
        link = self._links.pop(effect.conn, None)
        if link is not None:
            link.hang_up(effect.reset)

    def _ran(self, effect: t.Ran) -> None:
        self.around.witness.ran(self.now(), effect.rid, self.spec.id, effect.work_us)

    def _done(self, effect: t.Done) -> None:
        self.around.witness.ended(self.now(), effect.rid, self.spec.id, effect.outcome)

    def _fell(self, _: t.Overloaded) -> None:
        self.around.witness.endpoint_down(self.now(), self.spec.id, "fell")
        self._gone_down()
        self.fallen()

    def fallen(self) -> None:
        """For whoever has to tell discovery."""
