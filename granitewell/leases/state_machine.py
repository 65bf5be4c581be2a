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
from granitewell.leases.persistence import Continuation, Persistence, Reply, Resume
from granitewell.leases.record import BLANK, KEY, RECOVERED, MalformedRecordError, Record, read
from granitewell.leases.types import MAX_LEASE_US, Cause, Halted, MinimumTerm, Settings, State, Stop
from granitewell.leases.voter import Promise, initial_promise
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

RECOVERY_REQUESTS_PER_LEASE = 8
_FINAL_STATES = (State.REFUSED, State.STOPPED)


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
        record = restore(settings, disk)
        persistence = Persistence(
            record or voter_recovery.blank_record(settings, 1, rng.random()), record is not None
        )
        participant = self.participant = Participant(settings, rng, now_us, persistence)
        participant.promise = initial_promise(persistence.record, now_us, settings)
        self.grants, self.voter_recovery = Grants(participant), VoterRecovery(participant)
        self.candidacy, self.duplicate_identity = Candidacy(participant), DuplicateIdentityCheck(participant)
        if persistence.record.vote_status != BLANK:
            self.candidacy.start_voting()

    # --- Views ------------------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When a TimerFired event is wanted, in microseconds; -1 for never."""
        return (
            -1
            if self.state in _FINAL_STATES
            else min(self.candidacy.next_us, self.duplicate_identity.next_us)
        )

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
        self.participant.effects = []
        if self.state not in _FINAL_STATES:
            self.candidacy.check_expiry()
            self._event(event)
        return self.participant.effects

    def _event(self, event: object) -> None:
        if isinstance(event, MessageReceived):
            message = self.participant.open(event)
            if message is not None:
                self._receive(event.sender, *message)
        elif isinstance(event, TimerFired):
            self._on_timer()
        elif isinstance(event, Stored):
            self._stored(event)
        elif isinstance(event, MinimumTerm):
            self.candidacy.require_term_above(event.term)
        elif isinstance(event, Stop):
            self.candidacy.end(Cause.STOP)

    def _on_timer(self) -> None:
        self.duplicate_identity.on_timer()
        if self.participant.now_us < self.candidacy.next_us:
            return
        if self.state is State.BLANK:
            self._recover_vote()
        else:
            self.candidacy.on_timer()

    def _stored(self, event: Stored) -> None:
        if not event.ok:
            self.participant.effects.append(
                LogLine("disk", "the disk has refused the lease record: no vote without it")
            )
        then = self.participant.persistence.stored(event)
        if then is not None:
            self._resume(then)

    def _resume(self, then: Continuation) -> None:
        """Continue with a step that has waited for the disk."""
        if isinstance(then, Reply):
            self.participant.send_to(then.to, then.body)
        elif then == Resume("ask") and self.state is State.CANDIDATE:
            self.candidacy.start_round()
        elif then == Resume("swear") and self.state is State.BLANK:
            self._recover_vote()
        elif then == Resume("sworn") and self.state is State.BLANK:
            self._start_voting()

    # --- A new disk -------------------------------------------------------------------------------------
    def _recover_vote(self) -> None:
        """Wait for a duplicate process, then recover this disk's vote, repeatedly."""
        participant, candidacy = self.participant, self.candidacy
        if participant.now_us < self.duplicate_identity.wait_ends_us:
            candidacy.next_us = self.duplicate_identity.wait_ends_us
            return
        candidacy.next_us = participant.now_us + participant.settings.lease_us // RECOVERY_REQUESTS_PER_LEASE
        if self.voter_recovery.ask():
            self._start_voting()

    def _start_voting(self) -> None:
        """Begin to vote; after a recovery, once earlier promises have expired."""
        participant = self.participant
        if participant.record.vote_status == RECOVERED:
            participant.promise = Promise(
                None, participant.now_us + participant.settings.promiser_lease_us(MAX_LEASE_US)
            )
        if participant.record.vote_status != BLANK:
            self.candidacy.start_voting()
            text = (
                f"the new disk may vote ({participant.record.vote_status}), "
                f"above term {participant.record.term}"
            )
            participant.effects.append(LogLine("sworn", text))

    # --- Messages ---------------------------------------------------------------------------------------
    def _receive(self, sender: str, name: str, boot: int, message: Message) -> None:
        if name != self.participant.settings.name:
            if self._incarnations_are_possible(message):
                self._dispatch(name, boot, message)
        elif isinstance(message, Here) and boot != self.participant.boot:
            self._refuse(self.duplicate_identity.on_announcement(sender, boot, message))

    def _incarnations_are_possible(self, message: Message) -> bool:
        """Return whether the incarnations in a message are possible.

        This planner refuses to work if the message shows that its own disk is an old one.
        """
        if isinstance(message, Would | Grant | Release | Oath | Here):
            return True
        if len(message.incarnations) != len(self.participant.settings.names):
            return False
        mine = self.participant.record.incarnation
        if self.participant.votes and merge(message.incarnations[self.participant.own_index], mine) != mine:
            self._refuse("another process has taken our name with a newer disk")
            return False
        return True

    def _refuse(self, reason: str) -> None:
        """Do nothing more, because another process uses this planner's name."""
        if reason:
            self.candidacy.end(Cause.DUPLICATE_IDENTITY)
            self.participant.effects += [LogLine("twin", reason), Halted(reason)]

    def _dispatch(self, name: str, boot: int, message: Message) -> None:
        match message:
            case Oath():
                self.voter_recovery.on_request(name, message)
            case Sworn():
                if self.state is State.BLANK:
                    self.voter_recovery.on_answer(name, message)
            case Here():
                pass
            case _:
                self._dispatch_vote_message(name, boot, message)

    def _dispatch_vote_message(
        self, name: str, boot: int, message: Probe | Would | Ask | Grant | No | Release
    ) -> None:
        match message:
            case Ask():
                if self.grants.ask(name, boot, message):
                    self.candidacy.vote_given()
            case Grant():
                self.candidacy.on_grant(name, message)
            case No():
                self.candidacy.on_denial(name, message)
            case Probe():
                if self.grants.probe(name, boot, message, self.state is State.PROBING):
                    self.candidacy.defer()
            case Would():
                self.candidacy.on_probe_reply(name, message)
            case Release():
                if self.grants.release(name, boot, message):
                    self.candidacy.on_release(message.next)
            case _:
                assert_never(message)


def restore(settings: Settings, disk: Mapping[str, bytes]) -> Record | None:
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
