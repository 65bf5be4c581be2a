"""Processing of received assertions: merging, events for the shell, dissemination and suspicion timers.

Whether a message is trusted is decided in `state_machine`, which of two assertions wins in `states`.
"""

from __future__ import annotations

from granitewell.membership.history import History, HistoryEntry
from granitewell.membership.local_member import LocalMember
from granitewell.membership.probes import RoundRobin
from granitewell.membership.refutation import LocalIdentity
from granitewell.membership.states import MEMBER_EVENTS, UP, MemberEvent, Phase, Standing, State
from granitewell.membership.suspicion import Suspicions
from granitewell.membership.table import Change, Record, assertions_for, not_alive_assertion
from granitewell.membership.types import Changed, Died, Joined, Left, Member, Suspected
from granitewell.protocols.peers.gossip import Assertion, Ping, is_valid, pack
from granitewell.state_machine import Transport

_EFFECTS = {
    MemberEvent.JOINED: Joined,
    MemberEvent.SUSPECTED: Suspected,
    MemberEvent.DIED: Died,
    MemberEvent.LEFT: Left,
    MemberEvent.CHANGED: Changed,
}


EXPECTED_CHECKERS, MAX_CHECKED_SUSPECTS = 8, 3
"""Members that probe a suspect early on average, and the most concurrent suspects for which they do."""


class AssertionHandler:
    """Applies assertions to the table and carries out what follows.

    Attributes:
        suspicions: Running suspicion timeouts.
        history: Changes by name and who reported them.
    """

    __slots__ = ("_identity", "_probe_order", "_local", "_source", "_gossip_order", "history", "suspicions")

    def __init__(
        self, local: LocalMember, identity: LocalIdentity, probe_order: RoundRobin, gossip_order: RoundRobin
    ) -> None:
        """Takes the orders in which members are probed and receive gossip."""
        self._local, self._identity, self._probe_order, self._gossip_order = (
            local,
            identity,
            probe_order,
            gossip_order,
        )
        self.suspicions = Suspicions(local.parameters)
        self.history = History()
        # reporter and transport of the assertion being merged; empty for this process
        self._source: tuple[str, str] = ("", "")

    def start(self) -> None:
        """Start the timeouts of known suspects, when the local process becomes a member."""
        for record in self._local.table.records.values():
            if record.standing.state is State.SUSPECT:
                self.suspect(record.name, record.standing, record.by, False)

    def receive(self, assertion: Assertion, source: str, transport: Transport = Transport.DATAGRAM) -> None:
        """Process an assertion of another member, which may be wrong."""
        record = self._local.table.records.get(assertion.name)
        if record is not None and _changes_nothing(record, assertion):
            self._repeat_missed_refutation(record, assertion)
            return
        if not is_valid(assertion):
            self._local.count_drop("unsound")
            return
        expired_elsewhere = self._is_hearsay_death(assertion)
        if expired_elsewhere:
            gen, birth, inc = assertion.gen, assertion.birth, assertion.inc
            assertion = Assertion(assertion.name, gen, birth, inc, State.SUSPECT, by=assertion.by or source)
        self._source = source, transport.value
        self.merge(assertion, expired_elsewhere)
        self._source = "", ""

    def _repeat_missed_refutation(self, record: Record, assertion: Assertion) -> None:
        """Queue a refutation again for a sender that still suspects an older incarnation.

        It has missed the refutation; the answer to its message carries it.
        """
        gen, birth, inc, state = record.standing
        suspected = assertion.state in (State.SUSPECT, State.DEAD) and state is State.ALIVE
        older = (assertion.gen, assertion.birth) == (gen, birth) and assertion.inc < inc
        if suspected and older and record.about is not None:
            self._local.dissemination.add(record.name, pack(assertions_for(record, self._local.now_us)[0]))

    def ask_others(self, name: str) -> None:
        """Tell a random member that a suspicion is about to expire, in case it has seen a refutation."""
        local, record = self._local, self._local.table.records.get(name)
        if record is not None and record.standing.state is State.SUSPECT:
            local.dissemination.add(name, pack(not_alive_assertion(record, local.now_us)))
            for member in local.random_members(1, name):
                local.send_to(member, Ping(local.next_number()))

    def force_leave(self, name: str) -> None:
        """Mark a dead member as left, on an operator's request."""
        record = self._local.table.records.get(name)
        if record is not None and record.standing.state is State.DEAD:
            gen, birth, inc, _ = record.standing
            self._source = "an operator", ""
            self.merge(Assertion(name, gen, birth, inc, State.LEFT, by=self._local.config.name))
            self._source = "", ""

    def _is_hearsay_death(self, assertion: Assertion) -> bool:
        """Whether it reports the death of a process that is up in our table."""
        local = self._local
        if (
            assertion.state != State.DEAD
            or self._identity.phase is not Phase.ACTIVE
            or assertion.name == local.config.name
        ):
            return False
        if not local.parameters.soften:
            return False
        record = local.table.records.get(assertion.name)
        if record is None or record.standing.state not in UP or assertion.inc < record.standing.inc:
            return False
        return (assertion.gen, assertion.birth) == record.standing[:2]

    def merge(self, assertion: Assertion, expired_elsewhere: bool = False) -> None:
        """Merge an assertion that is trusted.

        Args:
            assertion: The assertion.
            expired_elsewhere: It is a suspicion whose timeout has expired at another member.
        """
        local, refused = self._local, self._local.table.refused
        change = local.table.merge(assertion, local.now_us)
        if change is not None:
            self._apply_change(change, expired_elsewhere)
            return
        if local.table.refused > refused:
            local.log("full", f"no room for {assertion.name}: there are {local.parameters.most} members")
        record = local.table.records.get(assertion.name)
        if record is None or assertion.state != State.SUSPECT or self._identity.phase is not Phase.ACTIVE:
            return
        same = record.standing == (assertion.gen, assertion.birth, assertion.inc, State.SUSPECT)
        if same and self.suspect(assertion.name, record.standing, assertion.by, expired_elsewhere):
            local.dissemination.add(assertion.name, pack(assertion))

    def suspect(self, name: str, standing: Standing, by: str, expired_elsewhere: bool) -> bool:
        """Start or shorten a suspicion timeout; return whether that changed anything."""
        local = self._local
        return self.suspicions.suspect(
            name, standing, by, local.member_count, local.now_us, expired_elsewhere
        )

    def _apply_change(self, change: Change, expired_elsewhere: bool) -> None:
        local, record = self._local, change.record
        if change.standing_changed:
            self.history.add(
                record.name, HistoryEntry(local.now_us, *self._source, record.by, record.standing)
            )
        if record.name == local.config.name:
            self._identity.check_record()
            if record.standing.birth == local.birth:
                return
        self._emit_events(change.before, change.now)
        if self._identity.phase is not Phase.ACTIVE:
            return
        if record.standing.state is State.SUSPECT and record.name != local.config.name:
            self.suspect(record.name, record.standing, record.by, expired_elsewhere)
            self._check_soon(record)
        else:
            self.suspicions.clear(record.name)
        self._disseminate(change)

    def _check_soon(self, record: Record) -> None:
        """Maybe probe a member next that another member suspects.

        A few members in all do so. If none reaches it, each further suspicion shortens its timeout; a running
        one learns of the suspicion soon.
        """
        local = self._local
        few = len(self.suspicions) <= MAX_CHECKED_SUSPECTS  # with many, each would wait for all before it
        if (
            few
            and record.by != local.config.name
            and local.rng.random() * local.member_count < EXPECTED_CHECKERS
        ):
            self._probe_order.insert_next(record.name)

    def _disseminate(self, change: Change) -> None:
        record, local = change.record, self._local
        if record.standing.state is not State.ALIVE:
            if change.standing_changed:
                local.dissemination.add(record.name, pack(not_alive_assertion(record, local.now_us)))
        elif record.about is not None:
            local.dissemination.add(record.name, pack(assertions_for(record, local.now_us)[0]))

    def _emit_events(self, before: Member | None, now: Member | None) -> None:
        """Emit the events of a change."""
        out = self._local.effects
        if before is not None and (now is None or now.birth != before.birth or now.gen != before.gen):
            if before.up:
                out.append(Died(before))
            before = None
        if now is None:
            return
        for event in MEMBER_EVENTS[before.state if before is not None else None][now.state]:
            same = before is not None and (before.about, before.state) == (now.about, now.state)
            if event is not MemberEvent.CHANGED or not same:
                out.append(_EFFECTS[event](now))
        if now.up and (before is None or not before.up):
            self._probe_order.insert(now.name)
            self._gossip_order.insert(now.name)


def _changes_nothing(record: Record, assertion: Assertion) -> bool:
    """Whether an assertion cannot change the record, as is true of most; a cheap check made first."""
    key, known = (assertion.gen, assertion.birth, assertion.inc), record.standing[:3]
    if key == known:
        return assertion.state == record.standing.state == State.ALIVE and assertion.about == record.about
    return key < known and (
        assertion.about is None or key[:2] < known[:2] or assertion.inc <= record.about_inc
    )
