"""The clients' side in virtual time: tries on connections to nodes, round the model of the clients.

It owns the clients' connections (kept open, one try at a time on each, a new one when all to that node are
busy) and the way of each try from its asking to its end. It must never decide what a client does next: the
model does. Nor does it know what a node thinks: it sees what comes back.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from granitewell import core as c
from granitewell.lab.emulator import types as t
from granitewell.lab.engine import stream
from granitewell.lab.simulation.site import Alarm

if TYPE_CHECKING:
    from granitewell.lab.emulator.clients import Clients
    from granitewell.lab.simulation.node import Node
    from granitewell.lab.simulation.world import World

IDLE_US = 2_000_000  # after which a node closes a client's idle connection (granitewell.net.loop)
ADMIT_AGAIN_US = 20_000  # and after which it looks again whether it has room for one more
VERDICTS = {
    c.ResponseStatus.SERVED: "served", c.ResponseStatus.REJECTED: "refused",
    c.ResponseStatus.FAILED: "failed", c.ResponseStatus.DUPLICATE_ID: "failed",
}  # fmt: skip


class ClientConnection:
    """One client connection to one node process.

    Attributes:
        attempt: What is asked on it; None: it is idle.
    """

    __slots__ = ("attempt", "done", "id", "idle_us", "node", "open", "read", "zone")

    def __init__(self, number: int, node: Node, zone: int) -> None:
        self.id, self.node, self.zone = number, node, zone
        self.open = True
        self.read = False  # whether the node's machine has something on it that is not answered
        self.done = True  # whether the node has written its answer
        self.idle_us = 0
        self.attempt: ClientAttempt | None = None


class ClientAttempt:
    """One try on its way.

    Attributes:
        taken: Its last byte went to a connection that a node's machine had accepted.
    """

    __slots__ = ("again", "ask", "connection", "taken")

    def __init__(self, ask: t.Ask) -> None:
        self.ask = ask
        self.connection: ClientConnection | None = None
        self.taken = self.again = False


class ClientTraffic:
    """All clients. `owed` counts the tries that have not ended."""

    def __init__(self, world: World, clients: Clients) -> None:
        self._world, self._engine, self._net, self._seen = world, world.engine, world.net, world.seen
        self.clients = clients
        self._attempts: dict[str, ClientAttempt] = {}
        self._rng = stream(world.day.seed, "street")
        self._beside = Counter(n.zone for n in world.day.nodes)
        self.asked = 0
        self._alarm = Alarm(world.engine, clients, self.tick)
        self._do = {t.Ask: self._ask, t.Leave: self._leave}

    @property
    def owed(self) -> int:
        """Tries without an end, and a try that a client is waiting to make."""
        return len(self._attempts) + (self.clients.wake_us >= 0)

    def tick(self) -> None:
        """The clients' time has come."""
        self._hand(t.Tick())

    def _hand(self, event: t.ClientEvent) -> None:
        for effect in self.clients.handle(self._engine.now_us, event):
            self._do[type(effect)](effect)  # type: ignore[operator]
        self._alarm.look()

    # --- There ------------------------------------------------------------------------------------------
    def _ask(self, ask: t.Ask) -> None:
        attempt = self._attempts[ask.rid] = ClientAttempt(ask)
        self.asked += 1
        self._seen.asked(self._engine.now_us, ask.rid, ask.first, ask.cls, ask.tenant, ask.key, ask.zone,
                         ask.timeout_us, ask.rebooks)  # fmt: skip
        self._send(attempt)

    def _send(self, attempt: ClientAttempt) -> None:
        zone, now = attempt.ask.zone, self._engine.now_us
        for old in self._world.leaving:  # new connections no longer go there, but what is open is used
            connection = self._kept(old, zone) if self._rng.random() * self._beside[old.zone] < 1.0 else None
            if connection is not None:
                self._write(attempt, connection)
                return
        name = self._world.front.pick(now, zone)
        node = self._world.process(name) if name is not None else None
        if node is None:
            # a dead process's machine refuses; so does the front where it has no node
            self._engine.at(now + self._world.client_rtt_us, self._broken, attempt)
            return
        connection = self._kept(node, zone)
        if connection is not None:
            self._write(attempt, connection)
            return
        there, back = self._net.client(zone, node, True), self._net.client(zone, node, False)
        if there >= 0 and back >= 0:  # else it never comes up, and the client leaves in its time
            self._engine.at(now + there + back, self._up, attempt, node)

    def _kept(self, node: Node, zone: int) -> ClientConnection | None:
        """The connection used last to that node, if the node has not closed it for idleness."""
        connections = node.kept.get(zone)
        while connections:
            connection = connections.pop()
            if connection.open and self._engine.now_us - connection.idle_us < IDLE_US:
                return connection
            node.drop(connection)
        return None

    def _up(self, attempt: ClientAttempt, node: Node) -> None:
        if attempt.ask.rid not in self._attempts:
            return
        if not node.alive or not node.listening:
            self._broken(attempt)
            return
        connection = ClientConnection(self._world.number(), node, attempt.ask.zone)
        connection.open = True
        self._write(attempt, connection, new=True)

    def _write(self, attempt: ClientAttempt, connection: ClientConnection, new: bool = False) -> None:
        attempt.connection, connection.attempt, connection.done = connection, attempt, False
        now, name = self._engine.now_us, connection.node.name
        self._seen.taken(now, attempt.ask.rid, name)
        attempt.taken = True
        us = self._net.client(connection.zone, connection.node, True)
        if us >= 0:
            self._engine.at(now + us, self._arrive, attempt, connection, new)

    def _arrive(self, attempt: ClientAttempt, connection: ClientConnection, new: bool) -> None:
        node = connection.node
        if not node.alive:
            if new:  # its end did not know of this connection
                self._reset(attempt, connection)
            return
        if new and attempt.connection is not connection:
            return  # left before the node came to it
        if new and not node.admit(connection):
            self._engine.at(self._engine.now_us + ADMIT_AGAIN_US, self._arrive, attempt, connection, new)
        elif connection.open:
            connection.read = True
            node.post(node.arrived, connection, attempt.ask)
        elif attempt.connection is connection:
            # closed by the node between requests, which crossed this one: sent once more on a new connection
            us = max(self._net.client(connection.zone, node, False), 0)
            self._engine.at(self._engine.now_us + us, self._crossed, attempt, connection)

    def _crossed(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        if attempt.connection is not connection:
            return
        if attempt.again:
            self._reset(attempt, connection)
        else:
            attempt.again, attempt.connection, connection.attempt = True, None, None
            self._send(attempt)

    # --- And back ---------------------------------------------------------------------------------------
    def answer(self, connection: ClientConnection, effect: c.SendResponse, close: bool) -> None:
        """A node writes a final answer."""
        connection.done, connection.read = True, False
        us = self._net.client(connection.zone, connection.node, False)
        if us >= 0:
            self._engine.at(
                self._engine.now_us + us, self._answered, connection, connection.attempt, effect, close
            )

    def _answered(
        self, connection: ClientConnection, attempt: ClientAttempt | None, effect: c.SendResponse, close: bool
    ) -> None:
        if attempt is None or attempt.connection is not connection:
            return  # the client has left
        rid, now = attempt.ask.rid, self._engine.now_us
        verdict = VERDICTS[effect.status]
        self._seen.answered(
            now, rid, connection.node.name, verdict, effect.retry_after_us, effect.response == rid
        )
        attempt.connection = connection.attempt = None
        if connection.open and not close:
            connection.idle_us = now
            connections = connection.node.kept.get(connection.zone)
            if connections is None:
                connections = connection.node.kept[connection.zone] = deque()
            connections.append(connection)
        del self._attempts[rid]
        self._hand(t.Replied(rid, verdict, effect.retry_after_us))

    def _leave(self, effect: t.Leave) -> None:
        attempt = self._attempts.pop(effect.rid, None)
        if attempt is None:
            return
        self._seen.left(self._engine.now_us, effect.rid)
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            connection.attempt, connection.open = None, False
            us = self._net.client(connection.zone, connection.node, True)
            if us >= 0:
                self._engine.at(
                    self._engine.now_us + us, connection.node.post, connection.node.client_gone, connection
                )

    def ends(self, node: Node) -> None:
        """A node's process is gone, and its machine resets its connections."""
        for connection in list(node.connections.values()):
            connection.open = False
            if not connection.done and connection.attempt is not None:
                us = self._net.client(connection.zone, node, False)
                if us >= 0:
                    self._engine.at(self._engine.now_us + us, self._reset, connection.attempt, connection)
        node.connections.clear()
        node.kept.clear()

    def _reset(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        if attempt.connection is connection:
            connection.attempt = None
            self._seen.lost(self._engine.now_us, attempt.ask.rid, connection.node.name, "reset")
            self._broken(attempt)

    def _broken(self, attempt: ClientAttempt) -> None:
        rid = attempt.ask.rid
        if self._attempts.pop(rid, None) is not None:
            attempt.connection = None
            self._hand(t.Broken(rid, attempt.taken))
