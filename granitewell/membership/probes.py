"""Probes: whom to ask next, how often, through whom, and what is done for others who ask.

It owns the open probe and the relays. It must never change a member: it hands back whom nobody could reach.

Theory of operation. Members are asked one by one in a random order that is drawn anew when all have had their
turn, so that the time between two probes of one is bounded (SWIM, section 4.3). A probe is a plan of steps
made when it begins: the question, put again while nothing has come; then helpers, who ask for us and say that
they did (nack); the end. An answer at any time before the end is one. Local health stretches the whole plan.
The question is put more than once, which SWIM does not do: the time-out is hundreds of round trips long, and
under loss a second datagram is much cheaper than a suspicion that everybody hears of.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from granitewell.membership import health
from granitewell.membership.local_member import LocalMember, ReceivedMessage
from granitewell.membership.types import Member
from granitewell.protocols.peers.gossip import Ack, Nack, Ping, Relay

MAX_RELAYS = 256
NACK_DELAY_RATIO = 0.8  # of the time-out, after which a helper says that it has heard nothing


class Step(Enum):
    """Of a probe."""

    PING = "ping"
    ASK = "ask"
    END = "end"


@dataclass(slots=True)
class Probe:
    """Under way.

    Attributes:
        steps: Still to come.
        helpers: Asked first, who owe a nack.
        asked: All.
    """

    number: int
    member: Member
    steps: list[tuple[int, Step]]
    answered: bool = False
    helpers: list[str] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    nacked: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RelayedProbe:
    """A ping for somebody else.

    Pings: still to put;

    Attributes:
        nack_us: -1 once it is message.
    """

    origin: str
    address: str
    birth: int
    number: int
    target: Relay
    retry_us: int
    nack_us: int
    end_us: int


class RoundRobin:
    """Whose turn it is."""

    __slots__ = ("_position", "_order", "_local")

    def __init__(self, local: LocalMember) -> None:
        self._local, self._order, self._position = local, list[str](), 0

    def insert(self, name: str) -> None:
        """At a random place among those whose turn is still to come."""
        left = len(self._order) - self._position
        self._order.insert(self._position + self._local.random_part(left + 1), name)

    def insert_next(self, name: str) -> None:
        """Its turn is next; the one that it still has stays."""
        self._order.insert(self._position, name)

    def next(self) -> Member | None:
        """The next that is up; None where there is nobody else."""
        local = self._local
        for _ in range(2):
            while self._position < len(self._order):
                name = self._order[self._position]
                self._position += 1
                member = local.table.member(name)
                if member is not None and member.up and name != local.config.name:
                    return member
            self._shuffle()
        return None

    def _shuffle(self) -> None:
        """All members in a new order (Durstenfeld 1964, algorithm 235)."""
        order = list(self._local.table.up.names)
        for k in range(len(order) - 1, 0, -1):
            other = self._local.random_part(k + 1)
            order[k], order[other] = order[other], order[k]
        self._order, self._position = order, 0


class Prober:
    """due_us: when there is something to do; -1 for never."""

    __slots__ = (
        "_relayed_probes",
        "_next_us",
        "_probe",
        "_next_revive_us",
        "_local",
        "dead_address",
        "probe_order",
    )

    def __init__(self, local: LocalMember) -> None:
        self._local, self.probe_order = local, RoundRobin(local)
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, RelayedProbe] = {}
        self._next_us = self._next_revive_us = -1
        self.dead_address = ""  # the address of one of the dead: it may be another process's by now

    def start(self) -> None:
        """We are a member: begin somewhere in the period, so that members who start together do not ask
        together.
        """
        local = self._local
        self._next_us = local.now_us + local.random_part(local.parameters.probe_us)
        self._next_revive_us = local.now_us + local.random_part(local.parameters.revive_us)

    def stop(self) -> None:
        """We are none any more."""
        self._probe, self._next_us, self._next_revive_us = None, -1, -1

    def discard_current(self) -> None:
        """We stood still: what is under way proves nothing."""
        if self._probe is not None:
            self._probe = None

    @property
    def due_us(self) -> int:
        """When there is something to do; -1 for never."""
        dues = [t for t in (self._next_us, self._next_revive_us) if t >= 0]
        if self._probe is not None and self._probe.steps:
            dues.append(self._probe.steps[0][0])
        dues += [
            min(t for t in (e.retry_us, e.nack_us, e.end_us) if t >= 0) for e in self._relayed_probes.values()
        ]
        return min(dues, default=-1)

    def run(self) -> Member | None:
        """Do what is due; whom a probe has just failed to reach."""
        now, failed = self._local.now_us, None
        if self._relayed_probes:
            self._run_relayed_probes(now)
        if 0 <= self._next_revive_us <= now:
            self._ping_dead_member(now)
        probe = self._probe
        while probe is not None and probe.steps and probe.steps[0][0] <= now:
            failed = self._step(probe, probe.steps.pop(0)[1])
        if 0 <= self._next_us <= now:
            self._start_probe(now)
        return failed

    # --- Our own ----------------------------------------------------------------------------------------
    def _start_probe(self, now: int) -> None:
        local, parameters = self._local, self._local.parameters
        period, timeout = local.health.scale(parameters.probe_us), local.health.scale(parameters.timeout_us)
        self._next_us = now + period
        member = self.probe_order.next()
        if member is None:
            self._probe = None
            return
        rest = period - timeout
        steps = [(now + timeout * k // parameters.pings, Step.PING) for k in range(parameters.pings)]
        steps += [(now + timeout + rest * k // parameters.asks, Step.ASK) for k in range(parameters.asks)]
        steps.append((now + period, Step.END))
        self._probe = Probe(local.next_number(), member, steps)
        self._step(self._probe, self._probe.steps.pop(0)[1])

    def _step(self, probe: Probe, step: Step) -> Member | None:
        local = self._local
        if step is Step.END:
            self._probe = None
            return self._fail(probe)
        if step is Step.ASK:
            self._ask_helpers(probe)
        member = local.table.member(probe.member.name) or probe.member
        target_now = member if member.birth == probe.member.birth else probe.member
        local.send_to(target_now, Ping(probe.number, local.table.up_digest))
        return None

    def _ask_helpers(self, probe: Probe) -> None:
        local, target = self._local, probe.member
        relay = Relay(probe.number, target.name, target.birth, target.about.address)
        helpers = local.random_members(local.parameters.helpers, target.name, *probe.asked)
        for member in helpers:
            local.send_to(member, relay)
        if not probe.asked:
            probe.helpers = [member.name for member in helpers]
        probe.asked += [member.name for member in helpers]

    def _fail(self, probe: Probe) -> Member | None:
        """Nobody could reach it. Where helpers did not even say that they tried, it may be us."""
        missing_nacks = len(probe.helpers) - len(probe.nacked)
        self._local.health.adjust(
            missing_nacks * health.NACK_MISSED if probe.helpers else health.PROBE_FAILED
        )
        member = self._local.table.member(probe.member.name)
        return member if member is not None and member.birth == probe.member.birth and member.up else None

    def ack(self, received: ReceivedMessage, number: int) -> None:
        """An answer: to our probe, by whom we asked or a helper; or to an errand."""
        probe, sender = self._probe, received.sender
        if probe is not None and number == probe.number:
            target = (probe.member.name, probe.member.birth)
            if (sender, received.envelope.birth) == target or (received.known and sender in probe.asked):
                self._probe = None
                self._local.health.adjust(health.PROBE_ANSWERED)
        relayed = self._relayed_probes.get(number)
        if relayed is not None and (sender, received.envelope.birth) == (
            relayed.target.name,
            relayed.target.birth,
        ):
            del self._relayed_probes[number]
            self._local.send(relayed.address, relayed.birth, Ack(relayed.number), relayed.origin)

    def nack(self, received: ReceivedMessage, number: int) -> None:
        """A helper has tried."""
        probe, sender = self._probe, received.sender
        if probe is None or number != probe.number or sender in probe.nacked:
            return
        if sender in probe.helpers:
            probe.nacked.append(sender)

    def _ping_dead_member(self, now: int) -> None:
        """Ask one of the dead: we may have been cut off from it.

        It hears with the ping that it is dead, and refutes that; a process that has begun there since hears
        no ping for the one before it.
        """
        local = self._local
        self._next_revive_us = now + local.parameters.revive_us
        for name in local.table.dead.sample(local.rng, 1, (local.config.name,)):
            member = local.table.member(name)
            if member is not None:
                local.send_to(member, Ping(local.next_number()))
                self.dead_address = member.about.address

    # --- For others -------------------------------------------------------------------------------------
    def relay(self, received: ReceivedMessage, message: Relay) -> None:
        """Ping somebody for somebody else."""
        local, now = self._local, self._local.now_us
        envelope, wait = received.envelope, int(local.parameters.timeout_us * NACK_DELAY_RATIO)
        if len(self._relayed_probes) >= MAX_RELAYS:
            local.count_drop("relays")
            return
        number = local.next_number()
        self._relayed_probes[number] = RelayedProbe(
            received.sender, received.address, envelope.birth, message.number, message,
            now + wait // 2, now + wait if local.parameters.lifeguard else -1, now + 2 * wait,
        )  # fmt: skip
        local.send(message.address, message.birth, Ping(number), message.name)

    def _run_relayed_probes(self, now: int) -> None:
        for number, relayed in list(self._relayed_probes.items()):
            if now >= relayed.end_us:
                del self._relayed_probes[number]
                continue
            if 0 <= relayed.retry_us <= now:
                relayed.retry_us = -1
                self._local.send(
                    relayed.target.address, relayed.target.birth, Ping(number), relayed.target.name
                )
            if 0 <= relayed.nack_us <= now:
                relayed.nack_us = -1
                self._local.send(relayed.address, relayed.birth, Nack(relayed.number), relayed.origin)
