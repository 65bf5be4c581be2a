"""The membership state machine that a shell runs: reports which members are up, as that changes.

It calls its parts in a fixed order and decides which received assertions are trusted. It uses no socket and
reads no clock.

Each member probes one other per period (probes). A member that cannot be reached is suspected, and declared
dead when its time to refute is over (suspicion). Every message carries assertions, and while there are new
ones some messages carry nothing else (dissemination). Whole tables are compared at joining and periodically
(anti_entropy). Assertions about the local process are handled in refutation. Assertions merge to their
maximum (states), with one exception: a reported death of a member that is up here counts as a suspicion with
the shortest timeout. So two halves of a healed partition do not declare each other dead; a running member
refutes the suspicion.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from granitewell.membership import health
from granitewell.membership.anti_entropy import MIN_INTERVAL_US, AntiEntropy
from granitewell.membership.assertions import AssertionHandler
from granitewell.membership.history import HistoryEntry
from granitewell.membership.local_member import LocalMember, ReceivedMessage
from granitewell.membership.probes import Prober, RoundRobin
from granitewell.membership.process_clock import ProcessClock
from granitewell.membership.refutation import LocalIdentity
from granitewell.membership.states import DOWN, Phase, State
from granitewell.membership.types import (
    Config,
    Died,
    ForceLeave,
    Leave,
    Member,
    ReplaceKeys,
    ReplaceSeeds,
    TableEntry,
    UpdatePayload,
    check_payload,
)
from granitewell.protocols.peers.gossip import (
    Ack,
    Assertion,
    Hello,
    Nack,
    Page,
    Ping,
    Push,
    Relay,
    Rumour,
    Welcome,
)
from granitewell.state_machine import MessageReceived, TimerFired

MAX_SLEEP_US = 500_000  # longest time between wakeups, so that a stall is noticed
DIGEST_MISMATCH_US = 750_000  # for which a digest must differ before tables are compared
EXPIRY_INTERVAL_US = 30_000_000  # between two runs of the expiry of dead members
_GOSSIP_PHASES = (Phase.ACTIVE, Phase.LEAVING)


class Membership:
    """The membership state machine of one process.

    Its events and effects, besides the shared ones, are in `types`. Input from the network raises nothing.

    Attributes:
        local: State shared by all parts.
        identity: The local process and its own assertion.
        stalled_us: Total time of all stalls.
    """

    __slots__ = (
        "_mismatch_since_us",
        "_last_phase",
        "_started",
        "_assertions",
        "_next_expiry_us",
        "_next_gossip_us",
        "_prober",
        "_anti_entropy",
        "_clock",
        "_gossip_order",
        "identity",
        "local",
        "stalled_us",
    )

    def __init__(self, config: Config, rng: Random) -> None:
        """Create the machine; the birth id is drawn from rng, which must differ with each start."""
        self.local = LocalMember(config, rng)
        self.identity = LocalIdentity(self.local)
        self._prober, self._anti_entropy = Prober(self.local), AntiEntropy(self.local)
        self._gossip_order = RoundRobin(self.local)  # receivers of gossip, in turn, so that none is missed
        self._assertions = AssertionHandler(
            self.local, self.identity, self._prober.probe_order, self._gossip_order
        )
        self._clock = ProcessClock(config.parameters.stall_us)
        self._started = False
        self._last_phase = self.phase
        self._next_expiry_us = self._next_gossip_us = self._mismatch_since_us = -1
        self.stalled_us = 0

    # --- Queries ----------------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted, on the outer clock; 0 before the first event, -1 for never."""
        return self._clock.wake_us if self._started else 0

    @property
    def phase(self) -> Phase:
        """Phase of the local process."""
        return self.identity.phase

    @property
    def health(self) -> int:
        """Local health score, from 0 for healthy to 8."""
        return self.local.health.score

    @property
    def drop_counts(self) -> dict[str, int]:
        """Dropped messages and assertions, by reason."""
        return {**self.local.drop_counts, "full": self.local.table.refused}

    def members(self, role: str = "") -> tuple[Member, ...]:
        """Return members that are up (alive or suspect), sorted by name, of one role or all.

        The local process is included once it is a member.
        """
        table = self.local.table
        found = [m for m in map(table.member, sorted(table.up.names)) if m is not None]
        return tuple(m for m in found if role in ("", m.about.role))

    def member(self, name: str) -> Member | None:
        """Return a member, up or down; None if it is unknown or has no description."""
        return self.local.table.member(name)

    def entries(self) -> tuple[TableEntry, ...]:
        """Return all known names, up or down, sorted.

        The description of a member that was dead before this process joined is unknown.
        """
        records = self.local.table.records
        return tuple(
            TableEntry(r.name, r.standing, r.about, r.by, r.down_since_us if r.standing.state in DOWN else -1)
            for r in (records[name] for name in sorted(records))
        )

    def history(self, name: str) -> tuple[HistoryEntry, ...]:
        """Return the latest changes of a name and who reported them, newest last."""
        return self._assertions.history.entries(name)

    def is_up(self, name: str) -> bool:
        """Whether it is up (alive or suspect)."""
        member = self.local.table.member(name)
        return member is not None and member.up

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event and return its effects, in order.

        Raises ValueError on a payload that is too long.
        """
        local = self.local
        effects = local.effects = []
        if self.phase is Phase.STOPPED:
            return effects
        local.now_us, stalled_us = self._clock.read(now_us)
        if not self._started:
            self._start()
        elif stalled_us:
            self._stalled(stalled_us)
        if isinstance(event, MessageReceived):
            self._receive(event)
        elif isinstance(event, Leave):
            self._leave()
        elif isinstance(event, UpdatePayload):
            check_payload(event.payload)
            self.identity.update_payload(event.payload)
        elif isinstance(event, ForceLeave):
            self._assertions.force_leave(event.name)
        elif isinstance(event, ReplaceKeys):
            local.config = replace(local.config, keys=event.keys)
        elif isinstance(event, ReplaceSeeds):
            local.config = replace(local.config, seeds=event.seeds)
        elif not isinstance(event, TimerFired):
            raise TypeError(
                f"event: found {type(event).__name__}, allowed are those of membership and state_machine"
            )
        self._run_due()
        if any(isinstance(effect, Died) for effect in effects):
            self._anti_entropy.member_died()
        self._apply_phase_change()
        self._clock.schedule(self._next_wake_us())
        return effects

    def _start(self) -> None:
        self._started = True
        local, parameters = self.local, self.local.parameters
        local.start(local.now_us)
        self._anti_entropy.start()
        self._next_expiry_us = local.now_us + EXPIRY_INTERVAL_US
        others = [s for s in local.config.seeds if s != local.config.address]
        self._anti_entropy.schedule_within(0)
        self.identity.join_alone_after(parameters.alone_us if others else 0)
        if local.continues_previous:  # the name is ours already, and other members expect answers
            self.identity.join()

    def _stalled(self, stalled_us: int) -> None:
        """Discard what timed out during a stall: no other member is to blame for it."""
        self.stalled_us += stalled_us
        self._prober.discard_current()
        self.local.health.adjust(health.PROCESS_STALLED)
        self.local.log(
            "stood", f"this process stood still for {stalled_us / 1e6:.1f} s; nobody else is blamed"
        )

    def _leave(self) -> None:
        self.identity.leave()
        if self.phase is Phase.LEAVING:
            for member in self.local.random_members(
                self.local.dissemination.max_transmissions(self.local.member_count)
            ):
                self.local.send_to(member, Rumour())

    # --- Time -------------------------------------------------------------------------------------------
    def _run_due(self) -> None:
        local = self.local
        failed = self._prober.run()
        if self._prober.dead_address:
            self._anti_entropy.hello_limited(self._prober.dead_address)
            self._prober.dead_address = ""
        if failed is not None:
            process = (failed.name, failed.gen, failed.birth, failed.inc)
            self._assertions.merge(Assertion(*process, State.SUSPECT, by=local.config.name))
        for name, standing, expired in self._assertions.suspicions.take_due(local.now_us):
            member = local.table.member(name)
            if expired:
                self._assertions.merge(Assertion(name, *standing[:3], State.DEAD, by=local.config.name))
            elif member is not None:
                local.send_to(member, Ping(local.next_number()))
                self._assertions.ask_others(name)
        self._gossip()
        self._anti_entropy.run(self.phase)
        self.identity.run()
        if local.now_us >= self._next_expiry_us:
            self._next_expiry_us = local.now_us + EXPIRY_INTERVAL_US
            local.table.expire(local.now_us)

    def _gossip(self) -> None:
        local = self.local
        if not len(local.dissemination) or self.phase not in _GOSSIP_PHASES:
            self._next_gossip_us = -1
        elif self._next_gossip_us < 0:
            self._next_gossip_us = local.now_us + local.random_below(local.parameters.gossip_us)
        elif local.now_us >= self._next_gossip_us:
            self._next_gossip_us = local.now_us + local.parameters.gossip_us
            for _ in range(local.parameters.fanout):
                member = self._gossip_order.next() if len(local.dissemination) else None
                if member is not None:
                    local.send_to(member, Rumour())

    def _next_wake_us(self) -> int:
        if self.phase is Phase.STOPPED:
            return -1
        due_times = (
            self._prober.due_us,
            self._assertions.suspicions.due_us,
            self._next_gossip_us,
            self._anti_entropy.due_us,
            self.identity.due_us,
            self._next_expiry_us,
            self.local.now_us + MAX_SLEEP_US,
        )
        return min(due for due in due_times if due >= 0)

    def _apply_phase_change(self) -> None:
        """Start or stop the parts if the phase changed during this event."""
        before, self._last_phase = self._last_phase, self.phase
        if self.phase is before:
            return
        if self.phase is Phase.ACTIVE:
            self._prober.start()
            self._anti_entropy.joined()
            self._assertions.start()
        elif before is Phase.ACTIVE:
            self._prober.stop()
            self._assertions.suspicions.clear_all()
            self._anti_entropy.schedule_within(MIN_INTERVAL_US)

    # --- Messages ---------------------------------------------------------------------------------------
    def _receive(self, incoming: MessageReceived) -> None:
        received = self.local.receive(incoming)
        if received is None:
            return
        before = self.local.table.member(received.sender)
        trusted, complete = self._handle_exchange(received)
        if received.envelope.to and (received.known or trusted):
            for assertion in received.envelope.assertions:
                self._assertions.receive(assertion, received.sender, received.transport)
            self._repeat_missed_refutation(received)
        if complete:
            self.identity.table_compared()
        self._handle_probe_message(received)
        self._compare_with_revived(received, before)

    def _repeat_missed_refutation(self, received: ReceivedMessage) -> None:
        """Queue our assertion again for a sender that still suspects an older incarnation of ours.

        It has missed our refutation; the ack of its ping carries it.
        """
        identity, assertions = self.identity, received.envelope.assertions
        if self.phase is Phase.ACTIVE and assertions and isinstance(received.envelope.message, Ping):
            first = assertions[0]
            if (first.birth, first.gen) == (self.local.birth, identity.gen) and first.inc < identity.inc:
                identity.announce()

    def _handle_exchange(self, received: ReceivedMessage) -> tuple[bool, bool]:
        """Handle messages of table comparisons.

        Returns:
            Whether the assertions are trusted even if the sender is unknown, and whether the comparison is
            complete.
        """
        message, anti_entropy = received.envelope.message, self._anti_entropy
        if isinstance(message, Hello):
            anti_entropy.receive_hello(received, message)
        elif isinstance(message, Welcome):
            return False, anti_entropy.receive_welcome(received, message)
        elif isinstance(message, Push):
            return anti_entropy.receive_push(received, message), False
        elif isinstance(message, Page):
            return anti_entropy.receive_page(received, message)
        return False, False

    def _handle_probe_message(self, received: ReceivedMessage) -> None:
        message, local = received.envelope.message, self.local
        if isinstance(message, Ping):
            ack = Ack(message.number, local.table.up_digest)
            local.send(received.address, received.envelope.birth, ack, received.sender, received.transport)
            self.identity.ping_received(received)
            self._check_digest(received, message.seen)
            if not received.known and received.sender != local.config.name:
                self._anti_entropy.hello_limited(received.address)
        elif isinstance(message, Ack):
            self._prober.ack(received, message.number)
            self.identity.ack(received, message.number)
            self._check_digest(received, message.seen)
        elif isinstance(message, Nack):
            self._prober.nack(received, message.number)
        elif isinstance(message, Relay):
            self._prober.relay(received, message)

    def _check_digest(self, received: ReceivedMessage, seen: int) -> None:
        """Start a table comparison if a sender's digest has differed from ours for some time.

        Assertions are sent a bounded number of times, so a member may miss one, and the next periodic
        comparison may be far off. While an assertion spreads, digests differ for a moment; a single mismatch
        is no reason to compare.
        """
        local = self.local
        if self.phase is not Phase.ACTIVE or not received.known or not seen:
            return
        if seen == local.table.up_digest:
            self._mismatch_since_us = -1
        elif self._mismatch_since_us < 0:
            self._mismatch_since_us = local.now_us
        elif local.now_us - self._mismatch_since_us >= DIGEST_MISMATCH_US:
            self._mismatch_since_us = -1
            self._anti_entropy.hello_limited(received.address)

    def _compare_with_revived(self, received: ReceivedMessage, before: Member | None) -> None:
        """Compare tables with a sender that was dead here: after a partition much may differ."""
        if before is not None and before.state is State.DEAD and self.is_up(received.sender):
            self._anti_entropy.hello_limited(received.address)
