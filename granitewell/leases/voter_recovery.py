"""How a planner with a new disk gets its vote.

This module owns the number of its incarnation and what the others have said about it. It never votes.

A planner that has lost its disk does not know in which terms it has voted, nor what it has promised to whom.
It takes a number for its new disk that is higher than any that the others know, and asks all of them to write
it down. There are two ways to continue:

- **founded**: every other planner has written down this planner's first incarnation, so none has ever heard
  of an earlier disk of it, and none has itself got its vote by recovery. Then this is its first disk, and it
  has never voted.
- **oath** (recovery): a majority of all planners, not counting this one, that have a vote have written it
  down. This planner then votes in no term up to the highest that any of them was in, and not before the
  longest lease has passed.

An answer counts only if no one names a newer disk of the planner that gave it. docs/design/leases.md has the
proof.
"""

from __future__ import annotations

from dataclasses import replace

from granitewell.leases.incarnation_numbers import accepts, count_of, incarnation, merge, merged
from granitewell.leases.participant import Participant
from granitewell.leases.persistence import Reply, Resume
from granitewell.leases.record import BLANK, FOUNDED, RECOVERED, Record
from granitewell.leases.types import MAX_LEASE_US, Settings
from granitewell.protocols.peers.leases import Oath, Sworn

FOUNDING_LEASES = 3  # lease lengths for which a first disk waits for all founders


def blank_record(settings: Settings, count: int, bits: float) -> Record:
    """Return the record of a name's count-th disk.

    Args:
        settings: Settings of the protocol.
        count: Which disk it is, from 1.
        bits: Random number from 0 up to 1.
    """
    mine = incarnation(count, bits)
    incarnations = tuple(mine if name == settings.name else 0 for name in settings.names)
    return Record(settings.epoch, settings.fleet, mine, BLANK, settings.first_term, None, 0, incarnations)


class VoterRecovery:
    """Recovery of a new disk's vote."""

    __slots__ = ("_answers", "_participant")

    def __init__(self, participant: Participant) -> None:
        self._participant = participant
        self._answers: dict[str, Sworn] = {}  # of the other planners, to the current incarnation

    def ask(self) -> bool:
        """Ask the planners that have not answered or had no vote themselves.

        Returns whether no more need be asked. What has been decided is on disk first.
        """
        participant = self._participant
        if participant.record.vote_status != BLANK:
            return participant.write_then(participant.record, Resume("sworn")) is not None
        if participant.write_then(participant.record, Resume("swear")) is None or self._decide():
            return False
        for name in participant.others:
            if name not in self._answers or self._answers[name].sworn == BLANK:
                participant.send_to(name, Oath(participant.record.incarnation))
        return False

    def on_request(self, name: str, body: Oath) -> None:
        """Write down another planner's new disk, and report what this one knows."""
        participant, record = self._participant, self._participant.record
        index = participant.settings.names.index(name)
        if accepts(record.incarnations[index], body.incarnation):
            others = record.incarnations[:index], record.incarnations[index + 1 :]
            record = replace(record, incarnations=(*others[0], body.incarnation, *others[1]))
        incarnations = participant.incarnations_announced(record)
        answer = Sworn(body.incarnation, record.incarnation, record.vote_status, record.term, incarnations)
        if participant.write_then(record, Reply(name, answer)) is not None:
            participant.send_to(name, answer)

    def on_answer(self, name: str, body: Sworn) -> None:
        """Record an answer; with enough of them, write down that this planner may vote."""
        participant, record = self._participant, self._participant.record
        if record.vote_status != BLANK:
            return
        known = body.incarnations[participant.own_index]
        if count_of(known) >= count_of(record.incarnation) and known != record.incarnation:
            self._take_next_incarnation(count_of(known) + 1)
        elif body.asked == record.incarnation == known:
            self._answers[name] = body
            self._decide()

    def _decide(self) -> bool:
        """Write down that this planner may vote, if there are enough answers.

        A first disk waits a while for all of them, because a recovery would cost it the longest lease.
        """
        participant = self._participant
        result = confirmed_record(participant.settings, participant.record, self._answers)
        early = participant.now_us < participant.started_us + FOUNDING_LEASES * participant.settings.lease_us
        if result is None or (
            result.vote_status == RECOVERED and count_of(result.incarnation) == 1 and early
        ):
            return False
        participant.write(result, Resume("sworn"))
        return True

    def _take_next_incarnation(self, count: int) -> None:
        """Take a higher number, because another disk of this name is known."""
        participant = self._participant
        self._answers = {}
        record = blank_record(participant.settings, count, participant.rng.random())
        participant.write(
            replace(record, incarnations=merged(record.incarnations, participant.record.incarnations)),
            Resume("swear"),
        )


def confirmed_record(settings: Settings, record: Record, answers: dict[str, Sworn]) -> Record | None:
    """Return the record with which this planner may vote, once there are enough answers."""
    incarnations = record.incarnations
    for answer in answers.values():
        incarnations = merged(incarnations, answer.incarnations)
    index_of = settings.names.index
    counted = [
        a
        for name, a in answers.items()
        if merge(incarnations[index_of(name)], a.incarnation) == a.incarnation
    ]
    first = count_of(record.incarnation) == 1 and all(a.sworn != RECOVERED for a in counted)
    if first and len(counted) == len(settings.names) - 1:
        return replace(record, incarnations=incarnations, vote_status=FOUNDED)
    voters = [a for a in counted if a.sworn != BLANK]
    if len(voters) < settings.majority:
        return None
    term = max(a.term for a in voters)
    return replace(record, incarnations=incarnations, vote_status=RECOVERED, term=term, lease_us=MAX_LEASE_US)
