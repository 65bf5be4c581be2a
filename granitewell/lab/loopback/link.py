"""One connection from a node, as an endpoint's machine holds it.

It owns the connection's bytes both ways: when they get in and out (each leg takes the network's time, and
nothing overtakes), and what a cut or the machine's vanishing makes of it. It must never decide what is
answered: what is read goes to the machine, what is written comes from there.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from granitewell.lab.day import NodeDay
from granitewell.lab.loopback import spoil
from granitewell.lab.loopback.network_faults import Way
from granitewell.lab.loopback.platform_http import EndpointParser, head_bytes
from granitewell.lab.loopback.wire import Wire

if TYPE_CHECKING:
    from granitewell.lab.loopback.machine import Machine


class Link:
    """One connection from a node. What comes in and what goes out each keep their order."""

    def __init__(self, machine: Machine, number: int, node: NodeDay, sock: socket.socket) -> None:
        self._machine, self.id, self.node = machine, number, node
        self._agenda = machine.around.agenda
        self.wire = Wire(asyncio.get_running_loop(), sock)
        self.wire.on_bytes, self.wire.on_end = self._arrives, self._ends
        self.open = True  # as the model sees it
        self.accepted = self.refused = False
        self._held: list[bytes] = []  # read before the connection stands
        self._in_us = self._out_us = 0  # when the last piece so far gets in, or out
        self._first_us = -1  # when the first byte of the request that is being read came
        self._parser = EndpointParser(machine.around.day)
        self._lossy = False  # something on it was lost for good: nothing more comes through
        self._silent = False  # its machine has vanished

    # --- In -----------------------------------------------------------------------------------------------
    def _arrives(self, data: bytes) -> None:
        if self._first_us < 0:
            self._first_us = self._agenda.clock.now()
        if self.accepted or self.refused:
            self._in_us = max(self._in_us, self._agenda.clock.now() + self._machine.leg_us(self.node))
            self._agenda.at(self._in_us, self._read, data)
        else:
            self._held.append(data)

    def stands(self, refused: bool) -> None:
        """The model has taken the connection, or has no room.

        Its word takes a leg back, the first byte that the node then writes a leg here.
        """
        self.accepted, self.refused = not refused, refused
        legs = self._machine.leg_us(self.node) + self._machine.leg_us(self.node)
        self._in_us = self._agenda.clock.now() + legs
        for data in self._held:
            self._agenda.at(self._in_us, self._read, data)
        self._held = []

    def _read(self, data: bytes) -> None:
        if not self.open or not self.wire.open:
            return None
        first, busy = self._first_us, self._parser.begun
        try:
            heard = self._parser.feed(data)
        except ValueError:
            self._machine.around.notes["malformed"] += 1
            self.say((spoil.Step(0, head_bytes(400, 0, None, "Connection: close\r\n"), "close"),))
            return self.leave()
        if len(heard) > 1 or (heard and self._parser.begun and not busy):
            self._machine.around.notes["pipelined"] += 1
        for one in heard:
            self._first_us = -1
            self._machine.heard(self, one, first)
        return None

    def _ends(self, reset: bool) -> None:
        """The node has closed, or ends its sending: either way it waits no more."""
        self._in_us = max(self._in_us, self._agenda.clock.now() + self._machine.leg_us(self.node))
        self._agenda.at(self._in_us, self._left)

    def _left(self) -> None:
        self.leave()
        self.wire.end()

    def leave(self) -> None:
        """For the model the node has gone."""
        if self.open:
            self.open = False
            self._machine.gone(self)

    # --- Out ----------------------------------------------------------------------------------------------
    def say(self, script: spoil.Script) -> None:
        """Write this, a leg from now and behind what is still on its way."""
        at = max(self._out_us, self._agenda.clock.now() + self._machine.leg_us(self.node))
        for step in script:
            at += step.wait_us
            self._agenda.at(at, self._out, step)
        self._out_us = at

    def hang_up(self, reset: bool) -> None:
        """The machine ends the connection."""
        self.open = False
        self.say((spoil.Step(0, b"", "reset" if reset else "close"),))

    def _out(self, step: spoil.Step) -> None:
        if self._silent:
            return
        if step.data:
            self.wire.write(step.data)
        if step.then:
            self.wire.end(reset=self._lossy or step.then == "reset", half=step.then == "half")

    # --- Network ------------------------------------------------------------------------------------------
    def look(self, way: Way) -> None:
        """The network has changed. A connection on which something was lost meanwhile is dead for good."""
        if self._lossy or self._silent or not self.wire.open:
            return
        if way.there and way.back and self.wire.hushed:
            self._lossy = self.wire.waiting or _unread(self.wire.sock)
        if not self._lossy:
            self.wire.hush(reads=not way.there, writes=not way.back)

    def drop(self, silent: bool) -> None:
        """The process is gone: reset, or silent for as long as the machine is away."""
        self.open = False
        if silent:
            self._silent = True
            self.wire.hush(reads=True, writes=True)
        else:
            self.wire.end(reset=True)


def _unread(sock: socket.socket) -> bool:
    """Whether bytes have come that nobody has read; an end alone is no loss."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
