"""Defects planted in the lease protocol on purpose, to show that what watches it finds them.

It owns the defects. It must never be imported by anything that serves. A defect is in place within `planted`
alone, for the whole process.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import replace
from typing import Any

from granitewell.lab.cluster.plants import patched
from granitewell.leases import (
    candidacy,
    grants,
    participant,
    persistence,
    rounds,
    state_machine,
    types,
    voter,
    voter_recovery,
)
from granitewell.state_machine import TimerFired

PLANTS = {
    "vote-unwritten": "a vote is said before it is on the disk",
    "term-ge": "a vote is given in a term in which another has it: the term is compared by >=",
    "lease-unshortened": "the lease is not shortened for drift",
    "lost-disk-votes": "a new disk goes by the number of the old one, and votes again",
    "oath-forgets": "a new disk is sworn, and may vote in terms that the others were in already",
    "oath-unwaited": "a new disk votes as soon as it is sworn: no longest lease is waited for",
    "oath-minority": "one answer is enough for an oath",
    "lives-ignored": "a vote is counted whichever disk it came from",
    "promise-forgotten": "a restart forgets what was promised",
    "promise-broken": "a vote is given while another's lease runs",
    "clock-unread": "the lease is not held against the clock before an event is handled",
    "counted-late": "the lease is counted from the answer, not from the question",
    "disk-trusted": "a write that the disk has refused counts as done",
}


def _stored(
    self: persistence.Persistence, event: Any, whole: Callable[..., Any] = persistence.Persistence.stored
) -> Any:
    return whole(self, replace(event, ok=True))


def _write_then(
    self: participant.Participant, record: Any, then: Any, whole: Any = participant.Participant.write_then
) -> Any:
    whole(self, record, None)
    return then


def _verdict(
    asked: Any, record: Any, promise: Any, now: int, me: int, whole: Any = voter.refusal_reason
) -> str:
    why: str = whole(asked, record, promise, now, me)
    free = why == voter.VOTED and record.voted is not None and not promise.forbids(asked.candidate, now)
    return "" if free else why


def _give(self: Any, asked: Any, number: int, whole: Any = grants.Grants._grant) -> None:
    """With term-ge the vote moves to whoever asks."""
    record = self._participant.record
    if asked.term == record.term and record.voted != asked.candidate:
        self._participant.persistence.record = replace(record, voted=asked.candidate)
    whole(self, asked, number)


def _unpromised(
    asked: Any, record: Any, promise: Any, now: int, me: int, whole: Any = voter.refusal_reason
) -> str:
    why: str = whole(asked, record, promise, now, me)
    return "" if why == voter.PROMISED else why


def _lifeless(
    asked: Any, record: Any, promise: Any, now: int, me: int, whole: Any = voter.refusal_reason
) -> str:
    why: str = whole(replace(asked, incarnations=record.incarnations), record, promise, now, me)
    return why


def _until(self: Any, incarnations: Any, whole: Any = rounds.Rounds.lease_end_us) -> int:
    return int(whole(self, {name: incarnation for name, (incarnation, _) in self._granted.items()} | {
        name: incarnations[name] for name in incarnations if name not in self._granted}))  # fmt: skip


def _blank(settings: Any, count: int, bits: float, whole: Any = voter_recovery.blank_record) -> Any:
    return whole(settings, 1, (settings.names.index(settings.name) + 1) / 10)


def _sworn(settings: Any, record: Any, answers: Any, whole: Any = voter_recovery.confirmed_record) -> Any:
    class Lax(types.Settings):
        majority = 1

    lax = Lax(settings.name, settings.planners, settings.keys, settings.epoch)
    return whole(lax, record, answers)


def _forgets(settings: Any, record: Any, answers: Any, whole: Any = voter_recovery.confirmed_record) -> Any:
    result = whole(settings, record, answers)
    return result and replace(result, term=settings.first_term)


def _handle(self: Any, now_us: int, event: object, whole: Any = state_machine.Leases.handle) -> list[object]:
    """Only when its timer is due does it see what time it is."""
    participant = self.participant
    late = (
        now_us if isinstance(event, TimerFired) else min(now_us, max(self.until_us - 1, participant.now_us))
    )
    effects: list[object] = whole(self, late if self.until_us >= 0 else now_us, event)
    return effects


def _granted(self: Any, name: str, body: Any, whole: Any = candidacy.Candidacy.on_grant) -> None:
    for asked in self._rounds._asked:
        self._rounds._asked[asked] = self._participant.now_us
    whole(self, name, body)


_PATCHES: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "vote-unwritten": ((participant.Participant, "write_then", _write_then),),
    "term-ge": ((grants, "refusal_reason", _verdict), (grants.Grants, "_grant", _give)),
    "lease-unshortened": ((types.Settings, "requester_lease_us", lambda self, lease_us: lease_us),),
    "lost-disk-votes": ((voter_recovery, "blank_record", _blank),),
    "oath-forgets": ((voter_recovery, "confirmed_record", _forgets),),
    "oath-unwaited": ((state_machine, "MAX_LEASE_US", 0),),
    "oath-minority": ((voter_recovery, "confirmed_record", _sworn),),
    "lives-ignored": ((grants, "refusal_reason", _lifeless), (rounds.Rounds, "lease_end_us", _until)),
    "promise-forgotten": (
        (state_machine, "initial_promise", lambda record, now, settings: voter.Promise(record.voted, now)),
    ),
    "promise-broken": ((grants, "refusal_reason", _unpromised),),
    "clock-unread": ((state_machine.Leases, "handle", _handle),),
    "counted-late": ((candidacy.Candidacy, "on_grant", _granted),),
    "disk-trusted": ((persistence.Persistence, "stored", _stored),),
}


def planted(name: str) -> AbstractContextManager[None]:
    """Within it the defect of that name is in place; none for an empty name. Raises KeyError."""
    return patched(_PATCHES[name] if name else ())
