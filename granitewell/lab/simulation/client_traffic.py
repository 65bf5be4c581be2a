"""The clients' traffic in virtual time: carries client attempts over connections for the client model.

It holds the clients' connections (kept open, one attempt at a time on each, a new one when all to that node
are busy) and carries each attempt from sending to its end. What a client does next is decided by the model.
It sees only what comes back, not the state of a node.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from granitewell import core as c
from granitewell.lab.emulator import types as t
from granitewell.lab.engine import stream
from granitewell.lab.simulation.endpoint_host import WakeTimer

if TYPE_CHECKING:
    from granitewell.lab.emulator.clients import Clients
    from granitewell.lab.simulation.node import Node
    from granitewell.lab.simulation.world import World

IDLE_US = 2_000_000  # after which a node closes an idle client connection, as granitewell.net.loop does
ADMIT_RETRY_US = 20_000  # after which a full node checks again for room for a new connection
VERDICTS = {
    c.ResponseStatus.SERVED: "served", c.ResponseStatus.REJECTED: "refused",
    c.ResponseStatus.FAILED: "failed", c.ResponseStatus.DUPLICATE_ID: "failed",
}  # fmt: skip


class ClientConnection:
    """One client connection to one node process.

    Attributes:
        attempt: The attempt on it; None: it is idle.
    """

    __slots__ = ("attempt", "response_written", "id", "idle_us", "node", "open", "has_request", "zone")

    def __init__(self, number: int, node: Node, zone: int) -> None:
        self.id, self.node, self.zone = number, node, zone
        self.open = True
        self.has_request = False  # the node's machine has an unanswered request on it
        self.response_written = True  # the node has written its response
        self.idle_us = 0
        self.attempt: ClientAttempt | None = None


class ClientAttempt:
    """One client attempt in flight.

    Attributes:
        taken: Its last byte was written to a connection that a node's machine had accepted.
    """

    __slots__ = ("resent", "ask", "connection", "taken")

    def __init__(self, ask: t.Ask) -> None:
        self.ask = ask
        self.connection: ClientConnection | None = None
        self.taken = self.resent = False


class ClientTraffic:
    """All clients. `unfinished` counts the attempts that have not ended."""

    def __init__(self, world: World, clients: Clients) -> None:
        self._world, self._engine, self._net, self._observations = (
            world,
            world.engine,
            world.net,
            world.observations,
        )
        self.clients = clients
        self._attempts: dict[str, ClientAttempt] = {}
        self._rng = stream(world.day.seed, "street")
        self._nodes_in_zone = Counter(n.zone for n in world.day.nodes)
        self.asked = 0
        self._wake_timer = WakeTimer(world.engine, clients, self.tick)
        self._do = {t.Ask: self._ask, t.Leave: self._leave}

    @property
    def unfinished(self) -> int:
        """Open attempts, plus one if a client is still going to act."""
        return len(self._attempts) + (self.clients.wake_us >= 0)

    def tick(self) -> None:
        """Wake the client model."""
        self._handle(t.Tick())

    def _handle(self, event: t.ClientEvent) -> None:
        for effect in self.clients.handle(self._engine.now_us, event):
            self._do[type(effect)](effect)  # type: ignore[operator]
        self._wake_timer.update()

    # --- Requests ---------------------------------------------------------------------------------------
    def _ask(self, ask: t.Ask) -> None:
        attempt = self._attempts[ask.rid] = ClientAttempt(ask)
        self.asked += 1
        self._observations.asked(
            self._engine.now_us, ask.rid, ask.first, ask.cls, ask.tenant, ask.key, ask.zone, ask.timeout_us,
            ask.rebooks,
        )  # fmt: skip
        self._send(attempt)

    def _send(self, attempt: ClientAttempt) -> None:
        zone, now = attempt.ask.zone, self._engine.now_us
        for old in self._world.stopping_nodes:  # gets no new connections, but open ones are used
            connection = (
                self._take_idle(old, zone)
                if self._rng.random() * self._nodes_in_zone[old.zone] < 1.0
                else None
            )
            if connection is not None:
                self._write(attempt, connection)
                return
        name = self._world.front.pick(now, zone)
        node = self._world.process(name) if name is not None else None
        if node is None:
            # the machine of a dead process refuses; so does the front if it has no node
            self._engine.at(now + self._world.client_rtt_us, self._on_broken, attempt)
            return
        connection = self._take_idle(node, zone)
        if connection is not None:
            self._write(attempt, connection)
            return
        there, back = self._net.client(zone, node, True), self._net.client(zone, node, False)
        if there >= 0 and back >= 0:  # otherwise it never connects, and the client leaves at its timeout
            self._engine.at(now + there + back, self._on_connected, attempt, node)

    def _take_idle(self, node: Node, zone: int) -> ClientConnection | None:
        """The most recently used idle connection to the node that the node has not closed yet."""
        connections = node.idle_connections.get(zone)
        while connections:
            connection = connections.pop()
            if connection.open and self._engine.now_us - connection.idle_us < IDLE_US:
                return connection
            node.drop(connection)
        return None

    def _on_connected(self, attempt: ClientAttempt, node: Node) -> None:
        if attempt.ask.rid not in self._attempts:
            return
        if not node.alive or not node.listening:
            self._on_broken(attempt)
            return
        connection = ClientConnection(self._world.next_connection_id(), node, attempt.ask.zone)
        connection.open = True
        self._write(attempt, connection, new=True)

    def _write(self, attempt: ClientAttempt, connection: ClientConnection, new: bool = False) -> None:
        attempt.connection, connection.attempt, connection.response_written = connection, attempt, False
        now, name = self._engine.now_us, connection.node.name
        self._observations.taken(now, attempt.ask.rid, name)
        attempt.taken = True
        us = self._net.client(connection.zone, connection.node, True)
        if us >= 0:
            self._engine.at(now + us, self._on_request_arrived, attempt, connection, new)

    def _on_request_arrived(self, attempt: ClientAttempt, connection: ClientConnection, new: bool) -> None:
        node = connection.node
        if not node.alive:
            if new:  # the end of the process did not include this connection
                self._reset(attempt, connection)
            return
        if new and attempt.connection is not connection:
            return  # the client left before the node processed it
        if new and not node.admit(connection):
            self._engine.at(
                self._engine.now_us + ADMIT_RETRY_US, self._on_request_arrived, attempt, connection, new
            )
        elif connection.open:
            connection.has_request = True
            node.post(node.request_read, connection, attempt.ask)
        elif attempt.connection is connection:
            # the node closed it between requests while this one was in flight: sent again once
            us = max(self._net.client(connection.zone, node, False), 0)
            self._engine.at(self._engine.now_us + us, self._on_crossed_close, attempt, connection)

    def _on_crossed_close(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        if attempt.connection is not connection:
            return
        if attempt.resent:
            self._reset(attempt, connection)
        else:
            attempt.resent, attempt.connection, connection.attempt = True, None, None
            self._send(attempt)

    # --- Responses --------------------------------------------------------------------------------------
    def send_response(self, connection: ClientConnection, effect: c.SendResponse, close: bool) -> None:
        """A node writes a final response."""
        connection.response_written, connection.has_request = True, False
        us = self._net.client(connection.zone, connection.node, False)
        if us >= 0:
            self._engine.at(
                self._engine.now_us + us, self._on_response, connection, connection.attempt, effect, close
            )

    def _on_response(
        self, connection: ClientConnection, attempt: ClientAttempt | None, effect: c.SendResponse, close: bool
    ) -> None:
        if attempt is None or attempt.connection is not connection:
            return  # the client has left
        rid, now = attempt.ask.rid, self._engine.now_us
        verdict = VERDICTS[effect.status]
        self._observations.answered(
            now, rid, connection.node.name, verdict, effect.retry_after_us, effect.response == rid
        )
        attempt.connection = connection.attempt = None
        if connection.open and not close:
            connection.idle_us = now
            connections = connection.node.idle_connections.get(connection.zone)
            if connections is None:
                connections = connection.node.idle_connections[connection.zone] = deque()
            connections.append(connection)
        del self._attempts[rid]
        self._handle(t.Replied(rid, verdict, effect.retry_after_us))

    def _leave(self, effect: t.Leave) -> None:
        attempt = self._attempts.pop(effect.rid, None)
        if attempt is None:
            return
        self._observations.left(self._engine.now_us, effect.rid)
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            connection.attempt, connection.open = None, False
            us = self._net.client(connection.zone, connection.node, True)
            if us >= 0:
                self._engine.at(
                    self._engine.now_us + us, connection.node.post, connection.node.client_gone, connection
                )

    def on_node_ended(self, node: Node) -> None:
        """A node's process ended, and its machine resets its connections."""
        for connection in list(node.connections.values()):
            connection.open = False
            if not connection.response_written and connection.attempt is not None:
                us = self._net.client(connection.zone, node, False)
                if us >= 0:
                    self._engine.at(self._engine.now_us + us, self._reset, connection.attempt, connection)
        node.connections.clear()
        node.idle_connections.clear()

    def _reset(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        if attempt.connection is connection:
            connection.attempt = None
            self._observations.lost(self._engine.now_us, attempt.ask.rid, connection.node.name, "reset")
            self._on_broken(attempt)

    def _on_broken(self, attempt: ClientAttempt) -> None:
        rid = attempt.ask.rid
        if self._attempts.pop(rid, None) is not None:
            attempt.connection = None
            self._handle(t.Broken(rid, attempt.taken))
