"""Following, campaigning and leading of a planner: its state (types.TABLE), its timers, and its lease.

This module owns the states from FOLLOWER to HOLDER and every transition between states. It never announces a
vote of its own before that vote is on disk, and does not verify messages: state_machine does.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases import voter
from granitewell.leases.incarnation_numbers import merged
from granitewell.leases.participant import Participant
from granitewell.leases.persistence import Resume
from granitewell.leases.rounds import Rounds
from granitewell.leases.types import TRANSITIONS, Cause, LeadershipLost, Leads, State
from granitewell.leases.voter import Promise
from granitewell.protocols.peers.leases import Ask, Grant, No, Probe, Release, Would
from granitewell.state_machine import LogLine, Transport

ROUNDS_PER_LEASE = 8
PROBES_PER_LEASE = 16
MAX_TERM = 1 << 53  # higher terms in messages are ignored
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
        "_deadline_us",
        "_highest_term_seen",
        "_participant",
        "_probe_round",
        "_next_raise_us",
        "_rounds",
        "next_us",
        "state",
        "until_us",
    )

    def __init__(self, participant: Participant) -> None:
        self._participant, self._rounds = participant, Rounds(participant.settings)
        self.state = State.BLANK
        self.until_us = -1
        self.next_us = self._next_raise_us = participant.now_us
        self._deadline_us = -1  # end of the current campaign
        self._probe_round: tuple[int, tuple[str, ...]] = (
            0,
            (),
        )  # number of the round, and the planners that agreed
        self._denials: tuple[str, ...] = ()  # planners that voted for another one in this term
        self._highest_term_seen = 0

    @property
    def _max_jitter_us(self) -> int:
        return self._participant.settings.lease_us // 4

    @property
    def _next_term(self) -> int:
        return max(self._participant.record.term, self._highest_term_seen) + 1

    # --- Transitions ------------------------------------------------------------------------------------
    def _transition(self, cause: Cause) -> None:
        self.state = TRANSITIONS[self.state, cause]

    def _schedule(self, time_us: int) -> None:
        self.next_us = time_us + self._participant.random_part(self._max_jitter_us)

    def start_voting(self) -> None:
        """Begin to vote, once earlier promises have expired."""
        participant = self._participant
        self._transition(Cause.VOTE_CONFIRMED)
        participant.votes = True
        self._schedule(max(participant.promise.until_us, participant.now_us))

    def check_expiry(self) -> None:
        """Check whether the lease or the campaign has expired; called before each event."""
        now = self._participant.now_us
        if self.state is State.HOLDER and now >= self.until_us:
            self._participant.effects.append(
                LogLine("lease", f"the lease of term {self._participant.record.term} is over")
            )
            self._step_down(Cause.LEASE_EXPIRED)
        elif self.state in (State.PROBING, State.CANDIDATE) and now >= self._deadline_us:
            self._step_down(Cause.CAMPAIGN_OVER)

    def vote_given(self) -> None:
        """Record that another planner got this planner's vote, or an extension."""
        if self.state in (State.FOLLOWER, State.PROBING):
            self._transition(Cause.VOTE_GIVEN)
            self._schedule(self._participant.promise.until_us)

    def on_release(self, successor: str | None) -> None:
        """Record that the planner that had this one's vote has stepped down.

        The planner that it names campaigns first.
        """
        if self.state is State.FOLLOWER:
            self._schedule(self._participant.now_us + (self._max_jitter_us if successor else 0))
            if successor == self._participant.settings.name:
                self.next_us = self._participant.now_us

    def defer(self) -> None:
        """Let another planner that also probes campaign first."""
        if self.state is State.PROBING:
            self._step_down(Cause.CAMPAIGN_OVER)

    def end(self, cause: Cause) -> None:
        """Stop for good, and transfer leadership to the planner that granted last."""
        if self.state in _ASKING:
            self._release(self._rounds.last_granter())
        self._transition(cause)

    def _step_down(self, cause: Cause) -> None:
        """Become a follower; release all votes for this planner, and campaign again later."""
        if self.state in _ASKING:
            self._release(None)
        self._transition(cause)
        self._schedule(self._participant.now_us + self._max_jitter_us)

    def _end_lease(self) -> None:
        if self.until_us >= 0:
            self._participant.effects.append(LeadershipLost(self._participant.record.term))
        self.until_us = -1
        self._rounds.clear()

    def _release(self, successor: str | None) -> None:
        """Give up the term for good."""
        self._end_lease()
        participant = self._participant
        if participant.promise.to == participant.identity:
            participant.promise = Promise(None, participant.now_us)
        for transport in Transport:  # the datagram is faster, the stream reliable
            participant.broadcast(Release(participant.record.term, successor), transport)

    # --- Campaigning ------------------------------------------------------------------------------------
    def on_timer(self) -> None:
        """Handle the timer `next_us`."""
        if self.state is State.FOLLOWER:
            self._start_probing()
        elif self.state is State.PROBING:
            self._send_probes()
        elif self.state in _ASKING:
            self.start_round()

    def _start_probing(self) -> None:
        participant = self._participant
        if participant.promise.forbids(participant.identity, participant.now_us):
            self._schedule(participant.promise.until_us)
            return
        self._transition(Cause.ELECTION_TIMEOUT)
        self._deadline_us = participant.now_us + self._max_jitter_us
        self._probe_round = (self._rounds.begin(participant.now_us), ())
        self._send_probes()

    def _send_probes(self) -> None:
        """Ask planners that have not granted again.

        The message may be lost, or they may have been bound by a promise.
        """
        participant, length = self._participant, self._participant.settings.lease_us
        self.next_us = min(participant.now_us + length // PROBES_PER_LEASE, self._deadline_us)
        number, supporters = self._probe_round
        for name in participant.others:
            if name not in supporters:
                participant.send_to(
                    name, Probe(number, self._next_term, list(participant.record.incarnations), length)
                )

    def on_probe_reply(self, name: str, body: Would) -> None:
        """Handle the answer to a probe."""
        number, supporters = self._probe_round
        if self.state is not State.PROBING or (body.for_boot, body.round) != (self._participant.boot, number):
            return
        self.observe_term(body.term)
        if (
            not body.why
            and name not in supporters
            and body.incarnation == self._participant.incarnation_of(name)
        ):
            self._probe_round = (number, (*supporters, name))
        if len(self._probe_round[1]) + 1 >= self._participant.settings.majority:
            self._transition(Cause.MAJORITY)
            self._campaign()

    def _campaign(self) -> None:
        """Begin a new term and vote for this planner; the vote is announced only once it is on disk."""
        participant, length = self._participant, self._participant.settings.lease_us
        self._rounds.clear()
        self._denials = ()
        participant.promise = Promise(
            participant.identity, participant.now_us + participant.settings.promiser_lease_us(length)
        )
        self.next_us = self._deadline_us = (
            participant.now_us + length // 2 + participant.random_part(self._max_jitter_us)
        )
        participant.write(
            replace(participant.record, term=self._next_term, voted=participant.identity, lease_us=length),
            Resume("ask"),
        )

    def start_round(self) -> None:
        """Begin a round: a candidate asks for votes, a holder for an extension.

        It is also the planner's own grant.
        """
        if self.state not in _ASKING:
            return
        participant, length = self._participant, self._participant.settings.lease_us
        is_holder = self.state is State.HOLDER
        participant.promise = Promise(
            participant.identity, participant.now_us + participant.settings.promiser_lease_us(length)
        )
        end = self.until_us if is_holder else self._deadline_us
        self.next_us = min(participant.now_us + length // ROUNDS_PER_LEASE, end)
        number = self._rounds.begin(participant.now_us)
        participant.broadcast(
            Ask(number, participant.record.term, list(participant.record.incarnations), length, is_holder)
        )

    def on_grant(self, name: str, body: Grant) -> None:
        """Handle a vote or an extension; with a majority the planner leads."""
        participant = self._participant
        if self.state not in _ASKING or (body.for_boot, body.term) != (
            participant.boot,
            participant.record.term,
        ):
            return
        self._rounds.grant(name, body.incarnation, body.round)
        until = self._rounds.lease_end_us({n: participant.incarnation_of(n) for n in participant.others})
        if until <= max(self.until_us, participant.now_us):
            return
        self.until_us = until
        if self.state is State.CANDIDATE:
            self._transition(Cause.MAJORITY)
            self.next_us = participant.now_us  # tell the others at once
        participant.effects.append(Leads(participant.record.term, until))

    def on_denial(self, name: str, body: No) -> None:
        """Handle a refusal: record the incarnations that it names, and follow a higher term."""
        participant = self._participant
        if body.for_boot != participant.boot:
            return
        self.observe_term(body.term)
        incarnations = merged(participant.record.incarnations, body.incarnations)
        if incarnations != participant.record.incarnations:
            participant.write(replace(participant.record, incarnations=incarnations), None)
        if body.why not in (voter.TERM, voter.VOTED) or body.term < participant.record.term:
            return
        if self.state is State.HOLDER:
            self._raise_term()
        elif self.state is State.CANDIDATE:
            self._denials = tuple(sorted({*self._denials, name}))
            left = len(participant.settings.names) - len(self._denials)
            if body.why == voter.TERM or left < participant.settings.majority:
                self._step_down(Cause.CAMPAIGN_OVER)

    # --- Higher terms -----------------------------------------------------------------------------------
    def observe_term(self, term: int) -> None:
        """Record that another planner is or was in a term, so that this one campaigns in a higher one."""
        if term < MAX_TERM:
            self._highest_term_seen = max(self._highest_term_seen, term)

    def require_term_above(self, term: int) -> None:
        """Record that a plan of a term was accepted, so that this planner's plans need a higher one."""
        self.observe_term(term)
        if self.state is State.HOLDER and term > self._participant.record.term:
            self._raise_term()

    def _raise_term(self) -> None:
        """Continue to lead in a higher term.

        At most once per lease, because it interrupts leadership briefly.
        """
        participant = self._participant
        if participant.now_us < self._next_raise_us:
            return
        self._next_raise_us = participant.now_us + participant.settings.lease_us
        self._end_lease()
        self._transition(Cause.HIGHER_TERM)
        self._campaign()
