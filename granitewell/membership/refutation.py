"""The local process: its phase, its own assertion, refutation of suspicions, and ownership of its name.

Generation and incarnation of the local process never decrease.

A process whose name is held by another one that is not known to be down does not become a member. The
holder may be its previous process, whose death is not yet detected, or a duplicate. It probes the holder by
datagram, by stream and through helpers. An answer shows a duplicate: the process logs that and waits until
the other one is dead. A missing answer alone proves nothing, since the local process may be the partitioned
one. Only if the holder's address is its own, at which nothing else can run now, is the holder gone after a
few unanswered probes, and the process takes the next generation. Otherwise it waits until the other members
have declared the holder dead, or, if there is no other member, for a suspicion timeout.

A member that was partitioned long enough to be declared dead, and finds that a later generation holds its
name, does the same. So a name never alternates between two running processes.
"""

from __future__ import annotations

from granitewell.membership import health
from granitewell.membership.local_member import LocalMember, ReceivedMessage
from granitewell.membership.states import DOWN, TRANSITIONS, Cause, Phase, Standing, State
from granitewell.membership.suspicion import timeout_us
from granitewell.membership.table import Record
from granitewell.membership.types import DuplicateIdentity, Member, PhaseChanged
from granitewell.protocols.peers.gossip import MAX_GEN, MAX_INC, Assertion, Ping, Relay, pack
from granitewell.state_machine import Transport

HOLDER_PROBE_US = 500_000  # between probes of the holder of our name
MAX_UNANSWERED_PROBES = 3  # after which a holder at our own address is taken for gone
SLOW_HOLDER_PROBE_US = 2_000_000  # between probes after that, and while the name is taken
MAX_DUPLICATES = 64  # remembered, so that each is reported once


class LocalIdentity:
    """Phase and assertion of the local process.

    Attributes:
        gen: Generation of its assertion; before the first one, the lowest that it may use.
        inc: Incarnation, likewise.
        phase: Current phase.
    """

    __slots__ = (
        "_about",
        "_due_us",
        "_probe_numbers",
        "_last_answer_us",
        "_unanswered_probes",
        "_local",
        "_reported_duplicates",
        "gen",
        "inc",
        "phase",
    )

    def __init__(self, local: LocalMember) -> None:
        self._local, self._about = local, local.config.about
        self.phase = Phase.JOINING
        previous = local.config.previous
        self.gen = self.inc = 0
        if previous is not None:
            self.gen = previous.gen if previous.handed_over else min(previous.gen + 1, MAX_GEN)
            self.inc = previous.inc if previous.handed_over else 0
        self._due_us = self._last_answer_us = -1
        self._unanswered_probes = 0  # unanswered
        self._probe_numbers: list[int] = []
        self._reported_duplicates: list[int] = []

    @property
    def due_us(self) -> int:
        """Time of the next step; -1 for never."""
        return self._due_us

    @property
    def standing(self) -> Standing:
        """Standing in our own assertion."""
        state = State.LEFT if self.phase in (Phase.LEAVING, Phase.STOPPED) else State.ALIVE
        return Standing(self.gen, self._local.birth, self.inc, state)

    @property
    def record(self) -> Record | None:
        """Record of our name, whichever process holds it."""
        return self._local.table.records.get(self._local.config.name)

    @property
    def holder(self) -> Member | None:
        """The other process that holds our name and is not known to be down, if there is one."""
        record = self.record
        if record is None or record.standing.birth == self._local.birth or record.standing.state in DOWN:
            return None
        return record.member

    def _transition(self, cause: Cause) -> None:
        before, self.phase = self.phase, TRANSITIONS[self.phase, cause]
        if self.phase is not before:
            self._local.effects.append(PhaseChanged(self.phase))

    # --- Announcing -------------------------------------------------------------------------------------
    def announce(self) -> None:
        """Merge our own assertion into the table and queue it for dissemination."""
        local, standing = self._local, self.standing
        about = self._about if standing.state is State.ALIVE else None
        assertion = Assertion(local.config.name, *standing, about=about)
        local.table.merge(assertion, local.now_us)
        local.dissemination.add(local.config.name, pack(assertion))

    def update_payload(self, payload: bytes) -> None:
        """Replace the payload in our description."""
        about = self._about
        self._about = type(about)(about.role, about.address, about.zone, about.versions, payload)
        if self.phase is Phase.ACTIVE:
            self._raise_incarnation(self.gen, self.inc)

    def _raise_incarnation(self, gen: int, inc: int) -> None:
        """Announce an assertion that overrides the given generation and incarnation."""
        if inc < MAX_INC:
            self.gen, self.inc = gen, inc + 1
        else:  # only a malicious sender gets here: no incarnation is left in this generation
            self.gen, self.inc = min(gen + 1, MAX_GEN), 0
        self.announce()

    def join(self) -> None:
        """Become a member under our free name, above any known generation or incarnation."""
        self._transition(Cause.NAME_FREE)
        record, self._due_us = self.record, -1
        known = record.standing.gen if record is not None else 0
        is_own_process = record is not None and record.standing.birth == self._local.birth
        self.gen = max(self.gen, known if is_own_process else min(known + 1, MAX_GEN))
        self._raise_incarnation(
            self.gen, max(self.inc, record.standing.inc if record is not None and is_own_process else 0)
        )

    def leave(self) -> None:
        """Announce that we leave."""
        before = self.phase
        self._transition(Cause.LEAVE_REQUESTED)
        if self.phase is Phase.LEAVING is not before:
            self.announce()
            self._due_us = self._local.now_us + self._local.parameters.leave_us

    # --- Receiving --------------------------------------------------------------------------------------
    def check_record(self) -> None:
        """React to a change of our own record: refute it, take the name, or dispute it."""
        record = self.record
        if record is None or record.standing == self.standing and record.about in (None, self._about):
            return
        standing, is_own_process = record.standing, record.standing.birth == self._local.birth
        if self.phase is Phase.LEAVING and is_own_process:
            self._raise_incarnation(standing.gen, standing.inc)
        elif self.phase is Phase.ACTIVE and is_own_process:
            self._local.health.adjust(health.SUSPICION_REFUTED)
            self._raise_incarnation(standing.gen, standing.inc)
        elif self.phase is Phase.ACTIVE and standing.state in DOWN:
            self._raise_incarnation(min(standing.gen + 1, MAX_GEN), self.inc)
        elif self.phase is Phase.ACTIVE:
            self.dispute_name()
        elif self.phase in (Phase.NAME_DISPUTED, Phase.NAME_TAKEN) and (
            is_own_process or standing.state in DOWN
        ):
            self.join()

    def table_compared(self) -> None:
        """Finish joining, after a complete table comparison or without one.

        The table shows whether our name is free.
        """
        if self.phase is not Phase.JOINING:
            return
        record = self.record
        is_own_process = record is not None and record.standing.birth == self._local.birth
        if record is None or is_own_process or record.standing.state in DOWN:
            self.join()
        else:
            self.dispute_name()

    # --- Ownership of the name --------------------------------------------------------------------------
    def dispute_name(self) -> None:
        """Start probing another process that holds our name."""
        self._transition(Cause.NAME_HELD)
        local = self._local
        self._unanswered_probes, self._probe_numbers = 0, []
        self._due_us = self._last_answer_us = local.now_us
        holder = self.holder
        at = holder.about.address if holder is not None else "an unknown address"
        local.log("name", f"{local.config.name} is held by another process, at {at}: asking it")

    def run(self) -> None:
        """Run the step that is due: probe the holder, take the name, finish joining or leaving."""
        if not 0 <= self._due_us <= self._local.now_us:
            return
        if self.phase is Phase.LEAVING:
            self._transition(Cause.LEAVE_COMPLETED)
        elif self.phase is Phase.JOINING:
            self.table_compared()  # no seed has answered: we are the first, or alone
        elif self.phase in (Phase.NAME_DISPUTED, Phase.NAME_TAKEN):
            if self._holder_is_gone():
                self.join()
            else:
                self._probe_holder()

    def join_alone_after(self, length_us: int) -> None:
        """Set the time after which we join without an answer of a seed."""
        self._due_us = self._local.now_us + length_us

    def _holder_is_gone(self) -> bool:
        """Whether the holder of our name must be taken for gone."""
        local, holder = self._local, self.holder
        if holder is None or self._unanswered_probes < MAX_UNANSWERED_PROBES:
            return False
        if holder.about.address == local.config.address:
            return True
        no_other_member = local.member_count <= 1  # besides the holder, so none can declare it dead
        return no_other_member and local.now_us - self._last_answer_us >= timeout_us(local.parameters, 2, 0)

    def _probe_holder(self) -> None:
        local, holder = self._local, self.holder
        slowly = self.phase is Phase.NAME_TAKEN or self._unanswered_probes >= MAX_UNANSWERED_PROBES
        self._due_us = local.now_us + (SLOW_HOLDER_PROBE_US if slowly else HOLDER_PROBE_US)
        if holder is None:
            return
        self._unanswered_probes += 1
        number = local.next_number()
        self._probe_numbers = [*self._probe_numbers[-MAX_UNANSWERED_PROBES:], number]
        for transport in Transport:
            local.send_to(holder, Ping(number), transport)
        relay = Relay(number, holder.name, holder.birth, holder.about.address)
        for member in local.random_members(local.parameters.helpers):
            local.send_to(member, relay)

    def ack(self, received: ReceivedMessage, number: int) -> None:
        """Handle an ack of the holder, or of a helper that reached it: it is running."""
        local, holder = self._local, self.holder
        if (
            self.phase not in (Phase.NAME_DISPUTED, Phase.NAME_TAKEN)
            or number not in self._probe_numbers
            or holder is None
        ):
            return
        from_holder = (received.sender, received.envelope.birth) == (holder.name, holder.birth)
        if not from_holder and not received.known:
            return
        self._unanswered_probes, self._last_answer_us = 0, local.now_us
        self._due_us = max(self._due_us, local.now_us + HOLDER_PROBE_US)
        self._transition(Cause.HOLDER_ANSWERED)
        self._report_duplicate(holder.birth, holder.about.address, owns_name=False)

    def ping_received(self, received: ReceivedMessage) -> None:
        """Report a duplicate if the sender of a ping uses our name."""
        if received.sender == self._local.config.name and self.phase is Phase.ACTIVE:
            self._report_duplicate(received.envelope.birth, received.address, owns_name=True)

    def _report_duplicate(self, birth: int, address: str, owns_name: bool) -> None:
        local = self._local
        what = "holds our name: we wait until it is gone" if not owns_name else "goes by our name, and waits"
        local.log("twin", f"another living process, at {address}, {what} ({local.config.name})")
        if birth not in self._reported_duplicates:
            self._reported_duplicates = [*self._reported_duplicates[-MAX_DUPLICATES:], birth]
            local.effects.append(DuplicateIdentity(birth, address, owns_name))
