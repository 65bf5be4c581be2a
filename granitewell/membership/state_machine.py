"""The member that a shell runs: who else is alive, told as it changes.

It owns the order in which its parts are called and which letters' claims are believed. It must never touch a
socket, read a clock, or look at a letter that the seat has not passed.

Theory of operation. Each member probes one other a period (probes); whom nobody can reach is suspected, and
dies when its time to refute is over (suspicion). Every letter carries news (spread), and while there is news
some letters carry nothing else. Whole tables are compared at joining and now and then (sync). What is said of
our own name goes to `own`. Claims merge to the maximum (states); one is softened first: that a member whom we
see alive is dead is believed as a suspicion with the shortest time, so that two halves that meet again do not
bury each other, and who does live refutes it.
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

MAX_SLEEP_US = 500_000  # woken so often at least, so that standing still shows
DIGEST_MISMATCH_US = (
    750_000  # between two looks at a digest that is not ours, after which tables are compared
)
EXPIRY_INTERVAL_US = 30_000_000  # between two looks at who is to be forgotten
_GOSSIP_PHASES = (Phase.ACTIVE, Phase.LEAVING)


class Membership:
    """A member.

    Attributes:
        rng: Its own; the birth of the process is drawn from it, so it must differ with each start. Effects
            besides the shared ones are those of `terms`. Raises nothing on what comes from outside.
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
        self.local = LocalMember(config, rng)
        self.identity = LocalIdentity(self.local)
        self._prober, self._anti_entropy = Prober(self.local), AntiEntropy(self.local)
        self._gossip_order = RoundRobin(
            self.local
        )  # of those who are told news: all in turn, so that none is missed
        self._assertions = AssertionHandler(
            self.local, self.identity, self._prober.probe_order, self._gossip_order
        )
        self._clock = ProcessClock(config.parameters.stall_us)
        self._started = False
        self._last_phase = self.phase
        self._next_expiry_us = self._next_gossip_us = self._mismatch_since_us = -1
        self.stalled_us = 0  # in all

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted, by the clock: at once before the first event; -1 for never."""
        return self._clock.wake_us if self._started else 0

    @property
    def phase(self) -> Phase:
        """Where we stand."""
        return self.identity.phase

    @property
    def health(self) -> int:
        """How ill we take ourselves to be, 0 to 8."""
        return self.local.health.score

    @property
    def drop_counts(self) -> dict[str, int]:
        """Letters and claims that were dropped, by reason."""
        return {**self.local.drop_counts, "full": self.local.table.refused}

    def members(self, role: str = "") -> tuple[Member, ...]:
        """Those up (alive or suspect), ourselves included once we are one, by name; of a role, or all."""
        table = self.local.table
        found = [m for m in map(table.member, sorted(table.up.names)) if m is not None]
        return tuple(m for m in found if role in ("", m.about.role))

    def member(self, name: str) -> Member | None:
        """What is known of a name, up or gone; None for nothing."""
        return self.local.table.member(name)

    def entries(self) -> tuple[TableEntry, ...]:
        """All names that are known, up or gone, in order.

        Of one that was dead before we came it is not known what it said of itself.
        """
        records = self.local.table.records
        return tuple(
            TableEntry(r.name, r.standing, r.about, r.by, r.down_since_us if r.standing.state in DOWN else -1)
            for r in (records[name] for name in sorted(records))
        )

    def history(self, name: str) -> tuple[HistoryEntry, ...]:
        """What has changed of a name, by whose word, the newest last; a bounded number of them."""
        return self._assertions.history.entries(name)

    def is_up(self, name: str) -> bool:
        """Whether it is up (alive or suspect)."""
        member = self.local.table.member(name)
        return member is not None and member.up

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; the effects, in order. Raises ValueError on a Describe that is too long."""
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
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of terms and machine")
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
        if (
            local.continues_previous
        ):  # our name is ours already, and whoever asks wants an answer from a member
            self.identity.join()

    def _stalled(self, stalled_us: int) -> None:
        """Nobody else is to blame for what came too late."""
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
            life = (failed.name, failed.gen, failed.birth, failed.inc)
            self._assertions.merge(Assertion(*life, State.SUSPECT, by=local.config.name))
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
            self._next_gossip_us = local.now_us + local.random_part(local.parameters.gossip_us)
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
        """What follows from where we stand now, if that has changed in this event."""
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

    # --- Letters ----------------------------------------------------------------------------------------
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
        """Whoever asks us and still suspects an incarnation that we have left behind has missed what we said
        since: say it again, so that the answer carries it.
        """
        identity, assertions = self.identity, received.envelope.assertions
        if self.phase is Phase.ACTIVE and assertions and isinstance(received.envelope.message, Ping):
            first = assertions[0]
            if (first.birth, first.gen) == (self.local.birth, identity.gen) and first.inc < identity.inc:
                identity.announce()

    def _handle_exchange(self, received: ReceivedMessage) -> tuple[bool, bool]:
        """What has to do with comparing tables.

        Whether its claims may be believed though we don't know the sender, and whether the comparison is
        over.
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
        """Whoever has missed a piece of news differs from all others, and finds out here.

        For news is told so often and no more, and the next comparison may be far. While news is on its way
        all differ for a moment: once is no reason to ask.
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
        """Somebody we took for dead talks to us: we were cut off from each other, and have much to
        compare.
        """
        if before is not None and before.state is State.DEAD and self.is_up(received.sender):
            self._anti_entropy.hello_limited(received.address)
