"""The clients' side on loopback: tries on connections to real nodes, round the model of the clients.

It owns the clients' connections (kept open, one try at a time on each, a new one when all to that node are
busy) and the way of each try from its asking to its end. It must never decide what a client does next: the
model does. Nor does it believe a node: it sees what comes back.

A node may close a connection between requests. Where that crosses a request that the node has not read, its
machine answers with a reset, and the client sends the request once more on a new connection; an end without
a reset means that the node had read it, and the try is lost. A connection whose end has come in is not
written on, also where the client's loop has not seen that end yet.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import Counter
from typing import Any

from granitewell.lab.day import Day, NodeDay
from granitewell.lab.emulator import types as t
from granitewell.lab.emulator.clients import Clients
from granitewell.lab.emulator.front import Front
from granitewell.lab.loopback.clock import Agenda
from granitewell.lab.loopback.network_faults import Weather
from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.loopback.platform_http import AnswerParser, ask_bytes, filler
from granitewell.lab.loopback.wire import Wire
from granitewell.lab.witness import Witness

CROSS_US = 20_000  # for the reset to come in that says an ended connection had bytes unread


class Trip:
    """One try on its way."""

    __slots__ = ("again", "ask", "line", "taken")

    def __init__(self, ask: t.Ask) -> None:
        self.ask = ask
        self.line: Line | None = None
        self.taken = self.again = False


class Line:
    """One client connection to one node."""

    __slots__ = ("answers", "begun", "node", "parser", "trip", "wire", "zone")

    def __init__(self, node: NodePlace, zone: int, wire: Wire) -> None:
        self.node, self.zone, self.wire = node, zone, wire
        self.parser = AnswerParser()
        self.trip: Trip | None = None
        self.answers = 0  # that have come on it
        self.begun = False  # a byte of the present answer is there


class Street:
    """All clients of the day."""

    def __init__(
        self, day: Day, agenda: Agenda, front: Front, places: tuple[NodePlace, ...], weather: Weather,
        witness: Witness, notes: Counter[str],
    ) -> None:  # fmt: skip
        self._day, self._agenda, self._front, self._weather = day, agenda, front, weather
        self._witness, self._notes = witness, notes
        self._places = {p.name: p for p in places}
        self._specs: dict[str, NodeDay] = {n.name: n for n in day.nodes}
        self._loop = asyncio.get_running_loop()
        self.clients = Clients(day, day.seed)
        self._trips: dict[str, Trip] = {}
        self._idle: dict[tuple[str, int], list[Line]] = {}  # by node and zone, the one used last at the end
        self._lines: dict[int, Line] = {}
        self._wake_us = -1
        self._do: dict[type, Any] = {t.Ask: self._ask, t.Leave: self._leave}
        self._rewake()

    @property
    def owed(self) -> int:
        """Tries without an end."""
        return len(self._trips)

    def look(self) -> None:
        """The network has changed."""
        for line in list(self._lines.values()):
            way = self._weather.client(line.zone, self._specs[line.node.name])
            line.wire.hush(reads=not way.back, writes=not way.there)

    def close(self) -> None:
        """The run is over."""
        for line in list(self._lines.values()):
            line.wire.end(reset=True)

    # --- The model ----------------------------------------------------------------------------------------
    def _hand(self, event: t.ClientEvent) -> None:
        for effect in self.clients.handle(self._agenda.clock.now(), event):
            self._do[type(effect)](effect)
        self._rewake()

    def _rewake(self) -> None:
        wake = self.clients.wake_us
        if wake >= 0 and (self._wake_us < 0 or wake < self._wake_us):
            self._wake_us = wake
            self._agenda.at(wake, self._wake, wake)

    def _wake(self, due_us: int) -> None:
        if due_us == self._wake_us:
            self._wake_us = -1
            self._hand(t.Tick())

    # --- There --------------------------------------------------------------------------------------------
    def _ask(self, ask: t.Ask) -> None:
        trip = self._trips[ask.rid] = Trip(ask)
        now = self._agenda.clock.now()
        self._witness.asked(
            now, ask.rid, ask.first, ask.cls, ask.tenant, ask.key, ask.zone, ask.timeout_us, ask.rebooks
        )
        self._agenda.at(now + self._weather.client_us(), self._send, trip)

    def _send(self, trip: Trip) -> None:
        if trip.ask.rid not in self._trips:
            return None
        name = self._front.pick(self._agenda.clock.now(), trip.ask.zone)
        if name is None:
            return self._later(self._broken, trip)
        way = self._weather.client(trip.ask.zone, self._specs[name])
        line = None if trip.again else self._kept(name, trip.ask.zone)
        if line is not None:
            self._write(trip, line)
            return None
        if way.there and way.back:  # else it never comes up, and the client leaves in its time
            self._dial(trip, self._places[name])
            return None
        return None

    def _later(self, call: Any, *args: Any) -> None:
        """A leg from now."""
        self._agenda.at(self._agenda.clock.now() + self._weather.client_us(), call, *args)

    def _kept(self, name: str, zone: int) -> Line | None:
        """The connection used last to that node that still stands."""
        lines = self._idle.get((name, zone))
        while lines:
            line = lines.pop()
            if line.wire.open and not line.wire.ended and not line.wire.end_is_in:
                return line
        return None

    def _dial(self, trip: Trip, place: NodePlace) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        error = sock.connect_ex((place.host, place.port))
        if error not in (0, errno.EINPROGRESS):
            sock.close()
            return self._later(self._broken, trip)
        self._loop.add_writer(sock, self._dialed, trip, place, sock)
        return None

    def _dialed(self, trip: Trip, place: NodePlace, sock: socket.socket) -> None:
        self._loop.remove_writer(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or trip.ask.rid not in self._trips:
            sock.close()
            return self._later(self._broken, trip) if error else None
        line = Line(place, trip.ask.zone, Wire(self._loop, sock))
        self._lines[id(line)] = line
        line.wire.on_bytes = lambda data: self._bytes(line, data)
        line.wire.on_end = lambda reset: self._end(line, reset)
        line.wire.start()
        self._write(trip, line)
        return None

    def _write(self, trip: Trip, line: Line) -> None:
        trip.line, line.trip, line.begun = line, trip, False
        line.parser.next()
        line.wire.on_written = lambda: self._taken(trip, line)
        line.wire.write(ask_bytes(self._day, trip.ask, f"{line.node.host}:{line.node.port}"))

    def _taken(self, trip: Trip, line: Line) -> None:
        if trip.line is line:
            trip.taken = True
            self._witness.taken(self._agenda.clock.now(), trip.ask.rid, line.node.name)

    # --- And back -----------------------------------------------------------------------------------------
    def _bytes(self, line: Line, data: bytes) -> None:
        if line.trip is None:
            self._notes["bytes that nobody asked for"] += 1
            return self._drop(line)
        line.begun = True
        try:
            whole = line.parser.feed(data)
        except ValueError:
            if not line.parser.answer.whole:  # no answer at all; else there is more than one, which is noted
                return self._lose(line, "no HTTP")
            whole, line.parser.answer.keep = True, False
            self._notes["bytes behind an answer"] += 1
        if whole:
            self._answered(line)
            return None
        return None

    def _answered(self, line: Line) -> None:
        trip, answer = line.trip, line.parser.answer
        assert trip is not None
        trip.line = line.trip = None
        line.answers += 1
        rid, verdict, wait_us = trip.ask.rid, answer.verdict, answer.retry_after_us
        right = verdict != "served" or bytes(answer.body) == filler(rid, "answer")
        self._witness.answered(self._agenda.clock.now(), rid, line.node.name, verdict, wait_us, right)
        if answer.keep:
            self._idle.setdefault((line.node.name, line.zone), []).append(line)
        else:
            self._drop(line)
        del self._trips[rid]
        self._later(self._hand, t.Replied(rid, verdict, wait_us))

    def _end(self, line: Line, reset: bool) -> None:
        """The node has ended the connection."""
        trip = line.trip
        if trip is None:
            lines = self._idle.get((line.node.name, line.zone), [])
            if line in lines:
                lines.remove(line)
            return self._drop(line)
        if line.begun:
            if not reset and line.parser.end():
                return self._answered(line)
            return self._lose(line, "an answer that is not whole")
        if line.answers and not trip.again and not reset:
            self._agenda.at(self._agenda.clock.now() + CROSS_US, self._was_it_read, line, trip)
            return None
        self._cross(line, trip, reset)
        return None

    def _was_it_read(self, line: Line, trip: Trip) -> None:
        if line.trip is trip and line.wire.open:
            error = line.wire.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._cross(line, trip, error != 0)

    def _cross(self, line: Line, trip: Trip, reset: bool) -> None:
        if reset and line.answers and not trip.again:
            trip.again = True
            trip.line = line.trip = None
            self._drop(line)
            self._send(trip)
        else:
            self._lose(line, "reset" if reset else "ended without an answer")

    def _lose(self, line: Line, why: str) -> None:
        trip = line.trip
        assert trip is not None
        trip.line = line.trip = None
        self._drop(line)
        if trip.taken:
            self._witness.lost(self._agenda.clock.now(), trip.ask.rid, line.node.name, why)
        self._later(self._broken, trip)

    def _broken(self, trip: Trip) -> None:
        if self._trips.pop(trip.ask.rid, None) is not None:
            self._hand(t.Broken(trip.ask.rid, trip.taken))

    def _leave(self, effect: t.Leave) -> None:
        trip = self._trips.pop(effect.rid, None)
        if trip is None:
            return
        self._witness.left(self._agenda.clock.now(), effect.rid)
        line, trip.line = trip.line, None
        if line is not None:
            line.trip = None
            self._drop(line)

    def _drop(self, line: Line) -> None:
        self._lines.pop(id(line), None)
        line.wire.end()
