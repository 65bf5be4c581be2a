"""A planner as a voter: answers probes and requests for votes, and handles releases.

This module owns what follows from a verdict. It never campaigns or leads.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases import voter
from granitewell.leases.participant import Participant
from granitewell.leases.persistence import Reply
from granitewell.leases.types import Follows
from granitewell.leases.voter import ProcessIdentity, Promise, VoteRequest, refusal_reason
from granitewell.protocols.peers.leases import Ask, Grant, No, Probe, Release, Would


class Grants:
    """Votes of a planner.

    Attributes:
        follows: Name and term of the planner that last claimed to lead.
    """

    __slots__ = ("_released", "_participant", "follows")

    def __init__(self, participant: Participant) -> None:
        self._participant = participant
        self._released: tuple[ProcessIdentity, int] | None = None  # process and term that were released last
        self.follows: tuple[str, int] = ("", -1)

    def probe(self, name: str, boot: int, body: Probe, busy: bool) -> bool:
        """Answer a probe; return whether the answer is yes.

        Args:
            name: Name of the other planner.
            boot: Boot id of its process.
            body: The probe.
            busy: Whether this planner probes too. Of two that probe at once, the one with the lower boot id,
                a random number, goes first.
        """
        participant = self._participant
        why = self._reason(VoteRequest((name, boot), body.term, body.lease_us, tuple(body.incarnations)))
        if not why and busy and boot > participant.boot:
            why = voter.BUSY
        participant.send_to(
            name, Would(body.round, boot, participant.record.incarnation, participant.record.term, why)
        )
        return not why

    def ask(self, name: str, boot: int, body: Ask) -> bool:
        """Grant a request or refuse it with a reason; return whether it is granted."""
        participant, record = self._participant, self._participant.record
        request = VoteRequest((name, boot), body.term, body.lease_us, tuple(body.incarnations))
        if body.leads:
            self._record_leader(name, body.term)
        why = self._reason(request)
        if why:
            participant.send_to(
                name,
                No(
                    body.round,
                    boot,
                    record.incarnation,
                    record.term,
                    why,
                    participant.incarnations_announced(record),
                ),
            )
        else:
            self._grant(request, body.round)
        return not why

    def release(self, name: str, boot: int, body: Release) -> bool:
        """Handle the release of a term; return whether this planner is free to vote."""
        participant, identity = self._participant, (name, boot)
        if (participant.record.voted, participant.record.term) != (identity, body.term):
            return False
        self._released = (identity, body.term)
        freed = participant.promise.to == identity
        if freed:
            participant.promise = Promise(None, participant.now_us)
        return freed

    def _reason(self, request: VoteRequest) -> str:
        if self._released == (request.candidate, request.term):
            return voter.GIVEN_UP
        participant = self._participant
        if not participant.votes:
            return voter.NO_VOTE
        return refusal_reason(
            request, participant.record, participant.promise, participant.now_us, participant.own_index
        )

    def _grant(self, request: VoteRequest, number: int) -> None:
        """Grant a vote or an extension.

        The promise begins now; the message is sent once the vote is on disk.
        """
        participant, record = self._participant, self._participant.record
        if request.term > record.term:
            record = replace(record, term=request.term, voted=request.candidate, lease_us=request.lease_us)
        record = replace(record, incarnations=request.incarnations)
        participant.promise = Promise(
            request.candidate, participant.now_us + participant.settings.promiser_lease_us(request.lease_us)
        )
        grant = Grant(number, request.candidate[1], record.incarnation, request.term)
        now = participant.write_then(record, Reply(request.candidate[0], grant))
        if now is not None:
            participant.send_to(request.candidate[0], grant)

    def _record_leader(self, name: str, term: int) -> None:
        if term >= self.follows[1] and self.follows != (name, term):
            self.follows = (name, term)
            self._participant.effects.append(Follows(name, term))
