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
from granitewell.lab.loopback.network_faults import NetworkFaults
from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.loopback.platform_http import AnswerParser, ask_bytes, filler
from granitewell.lab.loopback.wire import Wire
from granitewell.lab.witness import Witness

CROSS_US = 20_000  # for the reset to come in that says an ended connection had bytes unread


class ClientAttempt:
    """One try on its way."""

    __slots__ = ("again", "ask", "connection", "taken")

    def __init__(self, ask: t.Ask) -> None:
        self.ask = ask
        self.connection: ClientConnection | None = None
        self.taken = self.again = False


class ClientConnection:
    """One client connection to one node."""

    __slots__ = ("answers", "attempt", "begun", "node", "parser", "wire", "zone")

    def __init__(self, node: NodePlace, zone: int, wire: Wire) -> None:
        self.node, self.zone, self.wire = node, zone, wire
        self.parser = AnswerParser()
        self.attempt: ClientAttempt | None = None
        self.answers = 0  # that have come on it
        self.begun = False  # a byte of the present answer is there


class ClientTraffic:
    """All clients of the day."""

    def __init__(
        self, day: Day, agenda: Agenda, front: Front, places: tuple[NodePlace, ...],
        network_faults: NetworkFaults, witness: Witness, notes: Counter[str],
    ) -> None:  # fmt: skip
        self._day, self._agenda, self._front, self._network_faults = day, agenda, front, network_faults
        self._witness, self._notes = witness, notes
        self._places = {p.name: p for p in places}
        self._specs: dict[str, NodeDay] = {n.name: n for n in day.nodes}
        self._loop = asyncio.get_running_loop()
        self.clients = Clients(day, day.seed)
        self._attempts: dict[str, ClientAttempt] = {}
        self._idle: dict[
            tuple[str, int], list[ClientConnection]
        ] = {}  # by node and zone, the one used last at the end
        self._connections: dict[int, ClientConnection] = {}
        self._wake_us = -1
        self._do: dict[type, Any] = {t.Ask: self._ask, t.Leave: self._leave}
        self._rewake()

    @property
    def owed(self) -> int:
        """Tries without an end."""
        return len(self._attempts)

    def look(self) -> None:
        """The network has changed."""
        for connection in list(self._connections.values()):
            way = self._network_faults.client(connection.zone, self._specs[connection.node.name])
            connection.wire.hush(reads=not way.back, writes=not way.there)

    def close(self) -> None:
        """The run is over."""
        for connection in list(self._connections.values()):
            connection.wire.end(reset=True)

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
        attempt = self._attempts[ask.rid] = ClientAttempt(ask)
        now = self._agenda.clock.now()
        self._witness.asked(
            now, ask.rid, ask.first, ask.cls, ask.tenant, ask.key, ask.zone, ask.timeout_us, ask.rebooks
        )
        self._agenda.at(now + self._network_faults.client_us(), self._send, attempt)

    def _send(self, attempt: ClientAttempt) -> None:
        if attempt.ask.rid not in self._attempts:
            return None
        name = self._front.pick(self._agenda.clock.now(), attempt.ask.zone)
        if name is None:
            return self._later(self._broken, attempt)
        way = self._network_faults.client(attempt.ask.zone, self._specs[name])
        connection = None if attempt.again else self._kept(name, attempt.ask.zone)
        if connection is not None:
            self._write(attempt, connection)
            return None
        if way.there and way.back:  # else it never comes up, and the client leaves in its time
            self._dial(attempt, self._places[name])
            return None
        return None

    def _later(self, call: Any, *args: Any) -> None:
        """A leg from now."""
        self._agenda.at(self._agenda.clock.now() + self._network_faults.client_us(), call, *args)

    def _kept(self, name: str, zone: int) -> ClientConnection | None:
        """The connection used last to that node that still stands."""
        connections = self._idle.get((name, zone))
        while connections:
            connection = connections.pop()
            if connection.wire.open and not connection.wire.ended and not connection.wire.end_is_in:
                return connection
        return None

    def _dial(self, attempt: ClientAttempt, place: NodePlace) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        error = sock.connect_ex((place.host, place.port))
        if error not in (0, errno.EINPROGRESS):
            sock.close()
            return self._later(self._broken, attempt)
        self._loop.add_writer(sock, self._dialed, attempt, place, sock)
        return None

    def _dialed(self, attempt: ClientAttempt, place: NodePlace, sock: socket.socket) -> None:
        self._loop.remove_writer(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or attempt.ask.rid not in self._attempts:
            sock.close()
            return self._later(self._broken, attempt) if error else None
        connection = ClientConnection(place, attempt.ask.zone, Wire(self._loop, sock))
        self._connections[id(connection)] = connection
        connection.wire.on_bytes = lambda data: self._bytes(connection, data)
        connection.wire.on_end = lambda reset: self._end(connection, reset)
        connection.wire.start()
        self._write(attempt, connection)
        return None

    def _write(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        attempt.connection, connection.attempt, connection.begun = connection, attempt, False
        connection.parser.next()
        connection.wire.on_written = lambda: self._taken(attempt, connection)
        connection.wire.write(
            ask_bytes(self._day, attempt.ask, f"{connection.node.host}:{connection.node.port}")
        )

    def _taken(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        if attempt.connection is connection:
            attempt.taken = True
            self._witness.taken(self._agenda.clock.now(), attempt.ask.rid, connection.node.name)

    # --- And back -----------------------------------------------------------------------------------------
    def _bytes(self, connection: ClientConnection, data: bytes) -> None:
        if connection.attempt is None:
            self._notes["bytes that nobody asked for"] += 1
            return self._drop(connection)
        connection.begun = True
        try:
            whole = connection.parser.feed(data)
        except ValueError:
            if (
                not connection.parser.answer.whole
            ):  # no answer at all; else there is more than one, which is noted
                return self._lose(connection, "no HTTP")
            whole, connection.parser.answer.keep = True, False
            self._notes["bytes behind an answer"] += 1
        if whole:
            self._answered(connection)
            return None
        return None

    def _answered(self, connection: ClientConnection) -> None:
        attempt, answer = connection.attempt, connection.parser.answer
        assert attempt is not None
        attempt.connection = connection.attempt = None
        connection.answers += 1
        rid, verdict, wait_us = attempt.ask.rid, answer.verdict, answer.retry_after_us
        right = verdict != "served" or bytes(answer.body) == filler(rid, "answer")
        self._witness.answered(self._agenda.clock.now(), rid, connection.node.name, verdict, wait_us, right)
        if answer.keep:
            self._idle.setdefault((connection.node.name, connection.zone), []).append(connection)
        else:
            self._drop(connection)
        del self._attempts[rid]
        self._later(self._hand, t.Replied(rid, verdict, wait_us))

    def _end(self, connection: ClientConnection, reset: bool) -> None:
        """The node has ended the connection."""
        attempt = connection.attempt
        if attempt is None:
            connections = self._idle.get((connection.node.name, connection.zone), [])
            if connection in connections:
                connections.remove(connection)
            return self._drop(connection)
        if connection.begun:
            if not reset and connection.parser.end():
                return self._answered(connection)
            return self._lose(connection, "an answer that is not whole")
        if connection.answers and not attempt.again and not reset:
            self._agenda.at(self._agenda.clock.now() + CROSS_US, self._was_it_read, connection, attempt)
            return None
        self._cross(connection, attempt, reset)
        return None

    def _was_it_read(self, connection: ClientConnection, attempt: ClientAttempt) -> None:
        if connection.attempt is attempt and connection.wire.open:
            error = connection.wire.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._cross(connection, attempt, error != 0)

    def _cross(self, connection: ClientConnection, attempt: ClientAttempt, reset: bool) -> None:
        if reset and connection.answers and not attempt.again:
            attempt.again = True
            attempt.connection = connection.attempt = None
            self._drop(connection)
            self._send(attempt)
        else:
            self._lose(connection, "reset" if reset else "ended without an answer")

    def _lose(self, connection: ClientConnection, why: str) -> None:
        attempt = connection.attempt
        assert attempt is not None
        attempt.connection = connection.attempt = None
        self._drop(connection)
        if attempt.taken:
            self._witness.lost(self._agenda.clock.now(), attempt.ask.rid, connection.node.name, why)
        self._later(self._broken, attempt)

    def _broken(self, attempt: ClientAttempt) -> None:
        if self._attempts.pop(attempt.ask.rid, None) is not None:
            self._hand(t.Broken(attempt.ask.rid, attempt.taken))

    def _leave(self, effect: t.Leave) -> None:
        attempt = self._attempts.pop(effect.rid, None)
        if attempt is None:
            return
        self._witness.left(self._agenda.clock.now(), effect.rid)
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            connection.attempt = None
            self._drop(connection)

    def _drop(self, connection: ClientConnection) -> None:
        self._connections.pop(id(connection), None)
        connection.wire.end()
