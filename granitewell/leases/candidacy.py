"""Following, campaigning and leading of a planner: its state (types.TABLE), its timers, and its lease.

This module owns the states from FOLLOWER to HOLDER and every transition between states. It never announces a
vote of its own before that vote is on disk, and does not verify messages: state_machine does.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases import voter
from granitewell.leases.incarnation_numbers import merged
from granitewell.leases.participant import Participant
from granitewell.leases.persistence import Go
from granitewell.leases.rounds import Rounds
from granitewell.leases.types import TABLE, Cause, Leads, Lost, State
from granitewell.leases.voter import Promise
from granitewell.protocols.peers.leases import Ask, Grant, No, Probe, Release, Would
from granitewell.state_machine import LogLine, Transport

ROUNDS_A_LEASE = 8
PROBES_A_LEASE = 16
MAX_TERM = 1 << 53  # a term above it is not believed
_ASKING = (State.CANDIDATE, State.HOLDER)


class Candidacy:
    """State of a planner that may vote.

    Attributes:
        state: Current state, see types.
        until_us: End of the lease on the planner's own clock, in microseconds; -1 for none.
        next_us: When `due` is to be called, in microseconds.
    """

    __slots__ = (
        "_denials",
        "_end_us",
        "_heard_term",
        "_participant",
        "_probed",
        "_raise_us",
        "_rounds",
        "next_us",
        "state",
        "until_us",
    )

    def __init__(self, participant: Participant) -> None:
        self._participant, self._rounds = participant, Rounds(participant.settings)
        self.state = State.BLANK
        self.until_us = -1
        self.next_us = self._raise_us = participant.now_us
        self._end_us = -1  # when the present try is over
        self._probed: tuple[int, tuple[str, ...]] = (0, ())  # the round, and who has said yes
        self._denials: tuple[str, ...] = ()  # who has voted for another in our term
        self._heard_term = 0

    @property
    def _spread(self) -> int:
        return self._participant.settings.lease_us // 4

    @property
    def _next_term(self) -> int:
        return max(self._participant.record.term, self._heard_term) + 1

    # --- Moves ------------------------------------------------------------------------------------------
    def _move(self, cause: Cause) -> None:
        self.state = TABLE[self.state, cause]

    def _after(self, time_us: int) -> None:
        self.next_us = time_us + self._participant.some(self._spread)

    def sworn(self) -> None:
        """Begin to vote, once earlier promises have expired."""
        participant = self._participant
        self._move(Cause.SWORN)
        participant.votes = True
        self._after(max(participant.promise.until_us, participant.now_us))

    def look(self) -> None:
        """Check whether the lease or the campaign has expired; called before each event."""
        now = self._participant.now_us
        if self.state is State.HOLDER and now >= self.until_us:
            self._participant.out.append(
                LogLine("lease", f"the lease of term {self._participant.record.term} is over")
            )
            self._leave(Cause.LAPSED)
        elif self.state in (State.PROBING, State.CANDIDATE) and now >= self._end_us:
            self._leave(Cause.OVER)

    def gave(self) -> None:
        """Record that another planner got this planner's vote, or an extension."""
        if self.state in (State.FOLLOWER, State.PROBING):
            self._move(Cause.GAVE)
            self._after(self._participant.promise.until_us)

    def freed(self, heir: str | None) -> None:
        """Record that the planner that had this one's vote has stepped down.

        The planner that it names campaigns first.
        """
        if self.state is State.FOLLOWER:
            self._after(self._participant.now_us + (self._spread if heir else 0))
            if heir == self._participant.settings.name:
                self.next_us = self._participant.now_us

    def defer(self) -> None:
        """Let another planner that also probes campaign first."""
        if self.state is State.PROBING:
            self._leave(Cause.OVER)

    def end(self, cause: Cause) -> None:
        """Stop for good, and transfer leadership to the planner that granted last."""
        if self.state in _ASKING:
            self._release(self._rounds.newest())
        self._move(cause)

    def _leave(self, cause: Cause) -> None:
        """Become a follower; release all votes for this planner, and campaign again later."""
        if self.state in _ASKING:
            self._release(None)
        self._move(cause)
        self._after(self._participant.now_us + self._spread)

    def _lose(self) -> None:
        if self.until_us >= 0:
            self._participant.out.append(Lost(self._participant.record.term))
        self.until_us = -1
        self._rounds.clear()

    def _release(self, heir: str | None) -> None:
        """Give up the term for good."""
        self._lose()
        participant = self._participant
        if participant.promise.to == participant.who:
            participant.promise = Promise(None, participant.now_us)
        for transport in Transport:  # at once, and surely
            participant.say_all(Release(participant.record.term, heir), transport)

    # --- Asking -----------------------------------------------------------------------------------------
    def due(self) -> None:
        """Handle the timer `next_us`."""
        if self.state is State.FOLLOWER:
            self._ask_first()
        elif self.state is State.PROBING:
            self._ask_again()
        elif self.state in _ASKING:
            self.ask()

    def _ask_first(self) -> None:
        participant = self._participant
        if participant.promise.against(participant.who, participant.now_us):
            self._after(participant.promise.until_us)
            return
        self._move(Cause.DUE)
        self._end_us = participant.now_us + self._spread
        self._probed = (self._rounds.ask(participant.now_us), ())
        self._ask_again()

    def _ask_again(self) -> None:
        """Ask planners that have not granted again.

        The message may be lost, or they may have been bound by a promise.
        """
        participant, length = self._participant, self._participant.settings.lease_us
        self.next_us = min(participant.now_us + length // PROBES_A_LEASE, self._end_us)
        number, yes = self._probed
        for name in participant.others:
            if name not in yes:
                participant.say(
                    name, Probe(number, self._next_term, list(participant.record.incarnations), length)
                )

    def would(self, name: str, body: Would) -> None:
        """Handle the answer to a probe."""
        number, yes = self._probed
        if self.state is not State.PROBING or (body.for_boot, body.round) != (self._participant.boot, number):
            return
        self.hear(body.term)
        if not body.why and name not in yes and body.incarnation == self._participant.incarnation_of(name):
            self._probed = (number, (*yes, name))
        if len(self._probed[1]) + 1 >= self._participant.settings.majority:
            self._move(Cause.ENOUGH)
            self._campaign()

    def _campaign(self) -> None:
        """Begin a new term and vote for this planner; the vote is announced only once it is on disk."""
        participant, length = self._participant, self._participant.settings.lease_us
        self._rounds.clear()
        self._denials = ()
        participant.promise = Promise(
            participant.who, participant.now_us + participant.settings.promiser_lease_us(length)
        )
        self.next_us = self._end_us = participant.now_us + length // 2 + participant.some(self._spread)
        participant.write(
            replace(participant.record, term=self._next_term, voted=participant.who, lease_us=length),
            Go("ask"),
        )

    def ask(self) -> None:
        """Begin a round: a candidate asks for votes, a holder for an extension.

        It is also the planner's own grant.
        """
        if self.state not in _ASKING:
            return
        participant, length = self._participant, self._participant.settings.lease_us
        holds = self.state is State.HOLDER
        participant.promise = Promise(
            participant.who, participant.now_us + participant.settings.promiser_lease_us(length)
        )
        end = self.until_us if holds else self._end_us
        self.next_us = min(participant.now_us + length // ROUNDS_A_LEASE, end)
        number = self._rounds.ask(participant.now_us)
        participant.say_all(
            Ask(number, participant.record.term, list(participant.record.incarnations), length, holds)
        )

    def granted(self, name: str, body: Grant) -> None:
        """Handle a vote or an extension; with a majority the planner leads."""
        participant = self._participant
        if self.state not in _ASKING or (body.for_boot, body.term) != (
            participant.boot,
            participant.record.term,
        ):
            return
        self._rounds.grant(name, body.incarnation, body.round)
        until = self._rounds.until({n: participant.incarnation_of(n) for n in participant.others})
        if until <= max(self.until_us, participant.now_us):
            return
        self.until_us = until
        if self.state is State.CANDIDATE:
            self._move(Cause.ENOUGH)
            self.next_us = participant.now_us  # tell the others at once
        participant.out.append(Leads(participant.record.term, until))

    def denied(self, name: str, body: No) -> None:
        """Handle a refusal: record the incarnations that it names, and follow a higher term."""
        participant = self._participant
        if body.for_boot != participant.boot:
            return
        self.hear(body.term)
        incarnations = merged(participant.record.incarnations, body.incarnations)
        if incarnations != participant.record.incarnations:
            participant.write(replace(participant.record, incarnations=incarnations), None)
        if body.why not in (voter.TERM, voter.VOTED) or body.term < participant.record.term:
            return
        if self.state is State.HOLDER:
            self._raise()
        elif self.state is State.CANDIDATE:
            self._denials = tuple(sorted({*self._denials, name}))
            left = len(participant.settings.names) - len(self._denials)
            if body.why == voter.TERM or left < participant.settings.majority:
                self._leave(Cause.OVER)

    # --- Higher terms -----------------------------------------------------------------------------------
    def hear(self, term: int) -> None:
        """Record that another planner is or was in a term, so that this one campaigns in a higher one."""
        if term < MAX_TERM:
            self._heard_term = max(self._heard_term, term)

    def floor(self, term: int) -> None:
        """Record that a plan of a term was accepted, so that this planner's plans need a higher one."""
        self.hear(term)
        if self.state is State.HOLDER and term > self._participant.record.term:
            self._raise()

    def _raise(self) -> None:
        """Continue to lead in a higher term.

        At most once per lease, because it interrupts leadership briefly.
        """
        participant = self._participant
        if participant.now_us < self._raise_us:
            return
        self._raise_us = participant.now_us + participant.settings.lease_us
        self._lose()
        self._move(Cause.OUTBID)
        self._campaign()
