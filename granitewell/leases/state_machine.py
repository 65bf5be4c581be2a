"""State machine of a planner: which of a few planners leads, by a lease that a majority grants.

This module owns the dispatch of events to the parts of a planner, and the start of a process. No part handles
an event before the current time has been checked against the lease.

Theory of operation. A planner that hears of no holder first asks whether it would be voted for (PROBING).
That changes no state anywhere, so that a partitioned planner does not raise terms. If a majority says yes, it
begins a new term, votes for itself, writes that to disk, and asks for votes (CANDIDATE). A vote is on disk
before it is announced; it is also the first grant of the lease. With a majority, including itself, the
planner leads (HOLDER) until the lease expires, counted from the beginning of the round that the majority has
granted. It asks again eight times per lease. Waits before probing and after a failure are random; no planner
has priority.

A process that was stopped and continues late compares the clock with its lease before anything else. A
planner that stops, fails or lets its lease lapse announces that, which frees its voters at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import assert_never

from granitewell.leases import voter_recovery
from granitewell.leases.candidacy import Candidacy
from granitewell.leases.duplicate_identity import DuplicateIdentityCheck
from granitewell.leases.grants import Grants
from granitewell.leases.incarnation_numbers import merge
from granitewell.leases.participant import Participant
from granitewell.leases.persistence import Go, Persistence, Reply, Then
from granitewell.leases.record import BLANK, KEY, RECOVERED, MalformedRecordError, Record, read
from granitewell.leases.types import MAX_LEASE_US, Cause, Floor, Refuses, Settings, State, Stop
from granitewell.leases.voter import Promise, at_start
from granitewell.leases.voter_recovery import VoterRecovery
from granitewell.protocols.peers.leases import (
    Ask,
    Grant,
    Here,
    Message,
    No,
    Oath,
    Probe,
    Release,
    Sworn,
    Would,
)
from granitewell.state_machine import LogLine, MessageReceived, Stored, TimerFired

OATHS_A_LEASE = 8
_DONE = (State.REFUSED, State.STOPPED)


class Leases:
    """A planner.

    Args:
        settings: Settings of the protocol.
        disk: Stored values by key; an empty one is a new disk.
        now_us: Current time on the planner's own clock, in microseconds.
        rng: Source of random numbers.

    Raises:
        MalformedRecordError: The record cannot be read. The process should stop, and an operator decide
            whether to continue with a new disk.
    """

    __slots__ = ("grants", "participant", "candidacy", "voter_recovery", "duplicate_identity")

    def __init__(self, settings: Settings, rng: Random, now_us: int, disk: Mapping[str, bytes]) -> None:
        record = restored(settings, disk)
        persistence = Persistence(
            record or voter_recovery.blank(settings, 1, rng.random()), record is not None
        )
        participant = self.participant = Participant(settings, rng, now_us, persistence)
        participant.promise = at_start(persistence.record, now_us, settings)
        self.grants, self.voter_recovery = Grants(participant), VoterRecovery(participant)
        self.candidacy, self.duplicate_identity = Candidacy(participant), DuplicateIdentityCheck(participant)
        if persistence.record.sworn != BLANK:
            self.candidacy.sworn()

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When a TimerFired event is wanted, in microseconds; -1 for never."""
        return -1 if self.state in _DONE else min(self.candidacy.next_us, self.duplicate_identity.next_us)

    @property
    def state(self) -> State:
        """Current state."""
        return self.candidacy.state

    @property
    def term(self) -> int:
        """Highest term voted in or adopted."""
        return self.participant.record.term

    @property
    def until_us(self) -> int:
        """Until when this planner leads, on its own clock; -1 if it does not."""
        return self.candidacy.until_us

    @property
    def follows(self) -> tuple[str, int]:
        """Name and term of the planner that last claimed to lead."""
        return self.grants.follows

    def leads(self, now_us: int) -> bool:
        """Return whether this planner holds the lease at a time of its own clock."""
        return self.state is State.HOLDER and now_us < self.until_us

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; return the effects in order. A time before the last one counts as the last one."""
        self.participant.now_us = max(now_us, self.participant.now_us)
        self.participant.out = []
        if self.state not in _DONE:
            self.candidacy.look()
            self._event(event)
        return self.participant.out

    def _event(self, event: object) -> None:
        if isinstance(event, MessageReceived):
            message = self.participant.open(event)
            if message is not None:
                self._heard(event.sender, *message)
        elif isinstance(event, TimerFired):
            self._due()
        elif isinstance(event, Stored):
            self._stored(event)
        elif isinstance(event, Floor):
            self.candidacy.floor(event.term)
        elif isinstance(event, Stop):
            self.candidacy.end(Cause.STOP)

    def _due(self) -> None:
        self.duplicate_identity.due()
        if self.participant.now_us < self.candidacy.next_us:
            return
        if self.state is State.BLANK:
            self._swear()
        else:
            self.candidacy.due()

    def _stored(self, event: Stored) -> None:
        if not event.ok:
            self.participant.out.append(
                LogLine("disk", "the disk has refused the lease record: no vote without it")
            )
        then = self.participant.persistence.stored(event)
        if then is not None:
            self._go_on(then)

    def _go_on(self, then: Then) -> None:
        """Continue with a step that has waited for the disk."""
        if isinstance(then, Reply):
            self.participant.say(then.to, then.body)
        elif then == Go("ask") and self.state is State.CANDIDATE:
            self.candidacy.ask()
        elif then == Go("swear") and self.state is State.BLANK:
            self._swear()
        elif then == Go("sworn") and self.state is State.BLANK:
            self._may_vote()

    # --- A new disk -------------------------------------------------------------------------------------
    def _swear(self) -> None:
        """Wait for a duplicate process, then recover this disk's vote, repeatedly."""
        participant, candidacy = self.participant, self.candidacy
        if participant.now_us < self.duplicate_identity.waits_us:
            candidacy.next_us = self.duplicate_identity.waits_us
            return
        candidacy.next_us = participant.now_us + participant.settings.lease_us // OATHS_A_LEASE
        if self.voter_recovery.ask():
            self._may_vote()

    def _may_vote(self) -> None:
        """Begin to vote; after a recovery, once earlier promises have expired."""
        participant = self.participant
        if participant.record.sworn == RECOVERED:
            participant.promise = Promise(
                None, participant.now_us + participant.settings.promiser_lease_us(MAX_LEASE_US)
            )
        if participant.record.sworn != BLANK:
            self.candidacy.sworn()
            text = f"the new disk may vote ({participant.record.sworn}), above term {participant.record.term}"
            participant.out.append(LogLine("sworn", text))

    # --- Messages ---------------------------------------------------------------------------------------
    def _heard(self, sender: str, name: str, boot: int, said: Message) -> None:
        if name != self.participant.settings.name:
            if self._incarnations_are_possible(said):
                self._said(name, boot, said)
        elif isinstance(said, Here) and boot != self.participant.boot:
            self._refuse(self.duplicate_identity.heard(sender, boot, said))

    def _incarnations_are_possible(self, said: Message) -> bool:
        """Return whether the incarnations in a message are possible.

        This planner refuses to work if the message shows that its own disk is an old one.
        """
        if isinstance(said, Would | Grant | Release | Oath | Here):
            return True
        if len(said.incarnations) != len(self.participant.settings.names):
            return False
        mine = self.participant.record.incarnation
        if self.participant.votes and merge(said.incarnations[self.participant.me], mine) != mine:
            self._refuse("another process has taken our name with a newer disk")
            return False
        return True

    def _refuse(self, reason: str) -> None:
        """Do nothing more, because another process uses this planner's name."""
        if reason:
            self.candidacy.end(Cause.TWIN)
            self.participant.out += [LogLine("twin", reason), Refuses(reason)]

    def _said(self, name: str, boot: int, said: Message) -> None:
        match said:
            case Oath():
                self.voter_recovery.asked(name, said)
            case Sworn():
                if self.state is State.BLANK:
                    self.voter_recovery.answered(name, said)
            case Here():
                pass
            case _:
                self._said_of_votes(name, boot, said)

    def _said_of_votes(self, name: str, boot: int, said: Probe | Would | Ask | Grant | No | Release) -> None:
        match said:
            case Ask():
                if self.grants.ask(name, boot, said):
                    self.candidacy.gave()
            case Grant():
                self.candidacy.granted(name, said)
            case No():
                self.candidacy.denied(name, said)
            case Probe():
                if self.grants.probe(name, boot, said, self.state is State.PROBING):
                    self.candidacy.defer()
            case Would():
                self.candidacy.would(name, said)
            case Release():
                if self.grants.release(name, boot, said):
                    self.candidacy.freed(said.next)
            case _:
                assert_never(said)


def restored(settings: Settings, disk: Mapping[str, bytes]) -> Record | None:
    """Return the record on the disk, None if there is none of this epoch; raises MalformedRecordError."""
    data = disk.get(KEY)
    if data is None:
        return None
    record = read(data, len(settings.names))
    if record.epoch > settings.epoch:
        raise MalformedRecordError(
            f"lease record: epoch: found {record.epoch}, allowed are up to {settings.epoch}"
        )
    if record.epoch < settings.epoch:
        return None
    if record.fleet != settings.fleet:
        raise MalformedRecordError(
            "lease record: of other planners: a new list of planners needs a new epoch on all"
        )
    return record
