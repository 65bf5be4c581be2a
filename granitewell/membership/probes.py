"""The failure detector: direct and indirect probes, and probes relayed for other members.

Members are probed one by one in a random order that is drawn anew when all had their turn, which bounds the
time between two probes of a member (SWIM, section 4.3). A probe is a list of steps made when it starts:
pings, repeated while there is no answer; requests to helpers, which ping for us and send a nack if they get
no answer; the end. An ack at any time before the end counts. Local health stretches all steps.

A ping is repeated, which SWIM does not do: the timeout is hundreds of round trips long, and under loss a
second datagram is much cheaper than a suspicion that is sent to every member.

The prober changes no member; it returns the one that could not be reached.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from granitewell.membership import health
from granitewell.membership.local_member import LocalMember, ReceivedMessage
from granitewell.membership.types import Member
from granitewell.protocols.peers.gossip import Ack, Nack, Ping, Relay

MAX_RELAYS = 256
NACK_DELAY_RATIO = 0.8  # of the timeout, after which a helper sends a nack


class Step(Enum):
    """Step of a probe."""

    PING = "ping"
    ASK = "ask"
    END = "end"


@dataclass(slots=True)
class Probe:
    """A probe in progress.

    Attributes:
        number: Request number of its pings.
        member: The probed member.
        steps: Steps still to come, with their times.
        helpers: Helpers of the first round; each should send a nack if it gets no answer.
        asked: Helpers of all rounds.
        nacked: Helpers that sent a nack.
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
    """A ping on behalf of another member.

    Attributes:
        origin: Name of the member that asked.
        address: Address of that member.
        birth: Birth id of its process.
        number: Its request number.
        target: The process to ping.
        retry_us: Time of the second ping; -1 once it is sent.
        nack_us: Time of the nack; -1 if there is none or it is sent.
        end_us: Time at which it is given up.
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
    """Round-robin over all other members that are up, in random order."""

    __slots__ = ("_position", "_order", "_local")

    def __init__(self, local: LocalMember) -> None:
        self._local, self._order, self._position = local, list[str](), 0

    def insert(self, name: str) -> None:
        """Insert a name at a random place among those still to come in this round."""
        left = len(self._order) - self._position
        self._order.insert(self._position + self._local.random_below(left + 1), name)

    def insert_next(self, name: str) -> None:
        """Make a name the next one; its regular turn in this round stays."""
        self._order.insert(self._position, name)

    def next(self) -> Member | None:
        """Return the next member that is up; None if there is no other."""
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
        """Start a round over all members in a new order (Durstenfeld 1964, algorithm 235)."""
        order = list(self._local.table.up.names)
        for k in range(len(order) - 1, 0, -1):
            other = self._local.random_below(k + 1)
            order[k], order[other] = order[other], order[k]
        self._order, self._position = order, 0


class Prober:
    """Runs one probe at a time and the relayed probes.

    Attributes:
        probe_order: Order in which members are probed.
        dead_address: Address of the dead member that was pinged last; another process may use it by now.
    """

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
        self.dead_address = ""

    def start(self) -> None:
        """Start at a random time in the period, so that members that start together do not probe in step."""
        local = self._local
        self._next_us = local.now_us + local.random_below(local.parameters.probe_us)
        self._next_revive_us = local.now_us + local.random_below(local.parameters.revive_us)

    def stop(self) -> None:
        """Stop probing, when the local process is no member any more."""
        self._probe, self._next_us, self._next_revive_us = None, -1, -1

    def discard_current(self) -> None:
        """Drop the current probe after a stall: its missing answer proves nothing."""
        if self._probe is not None:
            self._probe = None

    @property
    def due_us(self) -> int:
        """Time of the next step; -1 for never."""
        due_times = [t for t in (self._next_us, self._next_revive_us) if t >= 0]
        if self._probe is not None and self._probe.steps:
            due_times.append(self._probe.steps[0][0])
        due_times += [
            min(t for t in (e.retry_us, e.nack_us, e.end_us) if t >= 0) for e in self._relayed_probes.values()
        ]
        return min(due_times, default=-1)

    def run(self) -> Member | None:
        """Run the steps that are due; return the member that a probe has just failed to reach."""
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

    # --- Local probes -----------------------------------------------------------------------------------
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
        """End a failed probe; missing nacks raise the health score, as the fault may be ours."""
        missing_nacks = len(probe.helpers) - len(probe.nacked)
        self._local.health.adjust(
            missing_nacks * health.NACK_MISSED if probe.helpers else health.PROBE_FAILED
        )
        member = self._local.table.member(probe.member.name)
        return member if member is not None and member.birth == probe.member.birth and member.up else None

    def ack(self, received: ReceivedMessage, number: int) -> None:
        """Handle an ack: of the current probe, by its target or a helper, or of a relayed probe."""
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
        """Handle a nack of a helper."""
        probe, sender = self._probe, received.sender
        if probe is None or number != probe.number or sender in probe.nacked:
            return
        if sender in probe.helpers:
            probe.nacked.append(sender)

    def _ping_dead_member(self, now: int) -> None:
        """Ping a random dead member, which may only have been unreachable.

        The ping carries the assertion that it is dead, which it refutes. A newer process at that address
        ignores a ping for an earlier one.
        """
        local = self._local
        self._next_revive_us = now + local.parameters.revive_us
        for name in local.table.dead.sample(local.rng, 1, (local.config.name,)):
            member = local.table.member(name)
            if member is not None:
                local.send_to(member, Ping(local.next_number()))
                self.dead_address = member.about.address

    # --- Relayed probes ---------------------------------------------------------------------------------
    def relay(self, received: ReceivedMessage, message: Relay) -> None:
        """Handle a request to ping a process for another member."""
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
