"""Terms, votes and leases: edge cases of a single planner, driven step by step."""

from __future__ import annotations

import pytest

from granitewell.lab.cluster.leases import KEYS
from granitewell.leases.incarnation_numbers import NUMBERS_PER_COUNT
from granitewell.leases.types import (
    Halted,
    LeadershipLost,
    Leads,
    MinimumTerm,
    State,
    Stop,
)
from granitewell.protocols.peers.frames import Key, Keys, Kind, seal
from granitewell.protocols.peers.leases import (
    CODEC,
    Ask,
    Envelope,
    Grant,
    Release,
)
from granitewell.state_machine import LogLine, MessageReceived, SendMessage, Store, TimerFired
from tests.leases.planner import (
    FIRST,
    FLEET,
    INCARNATIONS,
    SECOND,
    SteppedPlanner,
    refusal_reason,
    sent_bodies,
    start_candidacy,
    win_election,
    with_fields,
)


def test_a_vote_is_on_disk_before_it_is_sent() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    effects = planner.ask("p1", 11, 1)
    assert sent_bodies(effects) == [] and any(isinstance(e, Store) for e in effects)
    assert sent_bodies(planner.ask("p1", 11, 1)) == []  # the same request, while the write is in progress
    assert sent_bodies(planner.stored(effects)) == [Grant(1, 11, INCARNATIONS[1], FIRST + 1)]
    assert sent_bodies(planner.ask("p1", 11, 1, 5)) == [
        Grant(5, 11, INCARNATIONS[1], FIRST + 1)
    ]  # nothing to write


def test_a_vote_that_the_disk_refuses_is_not_sent_and_is_written_again() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    refused = planner.stored(planner.ask("p1", 11, 1), ok=False)
    assert sent_bodies(refused) == [] and any(isinstance(e, LogLine) and e.topic == "disk" for e in refused)
    assert refusal_reason(planner.ask("p3", 33, 1)) == "voted"  # the refused vote may be on the disk
    again = planner.ask("p1", 11, 1, 2)
    assert sent_bodies(again) == [] and sent_bodies(planner.stored(again)) == [
        Grant(2, 11, INCARNATIONS[1], FIRST + 1)
    ]


def test_a_vote_superseded_while_being_written_is_not_sent() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    slow = planner.ask("p1", 11, 1)
    planner.wait(4 * SECOND)  # the promise has expired, and another planner asks
    newer = planner.ask("p3", 33, 2)
    assert sent_bodies(planner.stored(slow)) == []
    assert sent_bodies(planner.stored(newer)) == [Grant(1, 33, INCARNATIONS[1], FIRST + 2)]


def test_one_vote_per_term_and_promises_are_kept() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    planner.stored(planner.ask("p1", 11, 3))
    assert refusal_reason(planner.ask("p3", 33, 3)) == "voted"
    assert refusal_reason(planner.ask("p1", 12, 3)) == "voted"  # p1 was restarted: another process
    assert refusal_reason(planner.ask("p3", 33, 2)) == "term"
    assert refusal_reason(planner.ask("p3", 33, 4)) == "promised"
    assert refusal_reason(planner.ask("p1", 11, 3, lease_us=4 * SECOND)) == "length"
    planner.wait(FLEET.promiser_lease_us(3 * SECOND) - 1)
    assert refusal_reason(planner.ask("p3", 33, 4)) == "promised"
    planner.wait(1)
    assert refusal_reason(planner.ask("p3", 33, 3)) == "voted"
    assert sent_bodies(planner.stored(planner.ask("p3", 33, 4))) == [Grant(1, 33, INCARNATIONS[1], FIRST + 4)]


def test_a_restart_keeps_the_vote_and_the_longest_possible_promise() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    planner.stored(planner.ask("p1", 11, 1, lease_us=9 * SECOND))
    planner.wait(SECOND)
    planner.start()
    assert sent_bodies(planner.ask("p1", 11, 1, 2, lease_us=9 * SECOND)) == [
        Grant(2, 11, INCARNATIONS[1], FIRST + 1)
    ]
    planner.start()
    assert (
        refusal_reason(planner.ask("p3", 33, 1)) == "voted"
        and refusal_reason(planner.ask("p3", 33, 2)) == "promised"
    )
    planner.wait(FLEET.promiser_lease_us(9 * SECOND) - 1)
    assert refusal_reason(planner.ask("p3", 33, 2)) == "promised"
    planner.wait(1)
    assert planner.stored(planner.ask("p3", 33, 2))


def test_a_release_frees_the_voters_of_its_term_only() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    planner.stored(planner.ask("p1", 11, 2))
    planner.hear("p1", 11, Release(FIRST + 1))
    planner.hear("p1", 10, Release(FIRST + 2))
    assert refusal_reason(planner.ask("p3", 33, 3)) == "promised"
    planner.hear("p1", 11, Release(FIRST + 2))
    assert (
        refusal_reason(planner.ask("p1", 11, 2, 9)) == "given up"
    )  # a request that arrives after its release
    assert planner.stored(planner.ask("p3", 33, 3))


def test_no_votes_are_requested_before_the_own_vote_is_on_disk() -> None:
    planner = SteppedPlanner()
    effects = start_candidacy(planner)
    assert sent_bodies(effects) == [] and planner.state() == "candidate"
    assert sent_bodies(planner.stored(effects, ok=False)) == []
    planner.wait(3 * SECOND)
    planner.event(TimerFired())
    assert planner.state() == "follower"


def test_the_lease_counts_from_the_request_and_a_late_process_sees_its_expiry() -> None:
    planner = SteppedPlanner()
    asks = sent_bodies(planner.stored(start_candidacy(planner)))
    asked = planner.now
    planner.wait(SECOND)
    assert isinstance(asks[0], Ask)
    grant = Grant(asks[0].round, planner.machine.participant.boot, INCARNATIONS[0], FIRST + 1)
    assert Leads(FIRST + 1, asked + FLEET.requester_lease_us(3 * SECOND)) in planner.hear("p1", 11, grant)
    planner.wait(3 * SECOND)  # frozen meanwhile; a waiting message is handled before the timer
    effects = planner.hear("p1", 11, grant)
    assert LeadershipLost(FIRST + 1) in effects and not any(isinstance(x, Ask) for x in sent_bodies(effects))
    assert not planner.machine.leads(planner.now) and not any(isinstance(e, Leads) for e in effects)


def test_a_grant_that_arrives_after_its_lease_would_end_has_no_effect() -> None:
    planner = SteppedPlanner()
    asks = sent_bodies(planner.stored(start_candidacy(planner)))
    planner.wait(FLEET.requester_lease_us(3 * SECOND))
    assert isinstance(asks[0], Ask)
    effects = planner.hear(
        "p1", 11, Grant(asks[0].round, planner.machine.participant.boot, INCARNATIONS[0], FIRST + 1)
    )
    assert not any(isinstance(e, Leads) for e in effects)


@pytest.mark.parametrize(
    "changed", [{"for_boot": 1}, {"round": 99}, {"term": FIRST}, {"incarnation": 5}, {"term": FIRST + 2}]
)
def test_grants_for_another_process_round_term_or_disk_do_not_count(changed: dict[str, int]) -> None:
    planner = SteppedPlanner()
    asks = sent_bodies(planner.stored(start_candidacy(planner)))
    assert isinstance(asks[0], Ask)
    good = {
        "round": asks[0].round,
        "for_boot": planner.machine.participant.boot,
        "incarnation": INCARNATIONS[0],
        "term": FIRST + 1,
    }
    planner.hear("p1", 11, Grant(**{**good, **changed}))
    assert planner.state() == "candidate"
    planner.hear("p1", 11, Grant(**good))
    assert planner.state() == "holder"


def test_a_holder_that_learns_of_a_higher_term_continues_above_it() -> None:
    planner = SteppedPlanner()
    win_election(planner)
    assert planner.event(MinimumTerm(FIRST + 1)) == []
    effects = planner.event(MinimumTerm(FIRST + 40))
    assert LeadershipLost(FIRST + 1) in effects
    asks = sent_bodies(planner.stored(effects))
    assert isinstance(asks[0], Ask) and asks[0].term == FIRST + 41


def test_a_stop_transfers_leadership_and_ends_all_activity() -> None:
    planner = SteppedPlanner()
    win_election(planner)
    effects = planner.event(Stop())
    assert effects[0] == LeadershipLost(FIRST + 1) and Release(FIRST + 1, "p1") in sent_bodies(effects)
    assert planner.machine.wake_us == -1 and planner.ask("p3", 33, 9) == []


def test_messages_that_fail_verification_change_nothing() -> None:
    planner = SteppedPlanner()
    planner.wait(10 * SECOND)
    body = Ask(1, FIRST + 1, list(INCARNATIONS), 3 * SECOND)
    message = CODEC.encode(Envelope(planner.settings.fleet, 11, body))
    long = Envelope(planner.settings.fleet, 11, with_fields(body, incarnations=[1] * 5))
    other = CODEC.encode(Envelope(planner.settings.fleet + 1, 11, body))
    for frame in (
        seal(Kind.LEASE, message, Keys(Key(bytes(32))), "p1"), seal(Kind.LEASE, message, KEYS, "p9"),
        seal(Kind.LEASE, message[:-1], KEYS, "p1"), seal(Kind.GOSSIP, message, KEYS, "p1"), b"", b"GW",
        seal(Kind.LEASE, CODEC.encode(long), KEYS, "p1"),
    ):  # fmt: skip
        assert planner.event(MessageReceived("x", frame)) == []
    [line] = planner.event(MessageReceived("x", seal(Kind.LEASE, other, KEYS, "p1")))
    assert isinstance(line, LogLine) and line.topic == "fleet"
    assert planner.machine.term == FIRST and planner.machine.participant.rejected_frames == 3


def test_an_unknown_version_is_answered_once_per_second() -> None:
    planner = SteppedPlanner()
    frame = seal(Kind.LEASE, b"", KEYS, "p1", version=9)
    answers = [
        len([e for e in planner.event(MessageReceived("x", frame)) if isinstance(e, SendMessage)])
        for _ in range(5)
    ]
    planner.wait(SECOND)
    answers += [len([e for e in planner.event(MessageReceived("x", frame)) if isinstance(e, SendMessage)])]
    assert answers == [1, 0, 0, 0, 0, 1]


def test_a_planner_with_an_old_disk_refuses_to_work() -> None:
    planner = SteppedPlanner()
    [_, refuses] = planner.ask(
        "p1", 11, 1, incarnations=[INCARNATIONS[0], 2 * NUMBERS_PER_COUNT, INCARNATIONS[2]]
    )
    assert isinstance(refuses, Halted) and planner.machine.state is State.REFUSED
