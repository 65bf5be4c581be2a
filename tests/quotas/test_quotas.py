"""Quotas: the nodes never spend more than the budget, whatever loans and network faults there are."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.lab.cluster.budgets import KEY, KEYS, SETTINGS, play
from granitewell.lab.cluster.budgets_plants import PLANTS, planted
from granitewell.lab.cluster.budgets_search import look
from granitewell.lab.cluster.days import Case
from granitewell.protocols.peers.frames import Frame, Key, Keys, Kind, open_, seal
from granitewell.protocols.peers.rights import CODEC, Back, Lend, Want
from granitewell.quotas.quota_transfer import Quota
from granitewell.quotas.state_machine import QuotaManager
from granitewell.quotas.types import MILLI, ActiveNodes, BudgetTotals, KeysChanged, QuotaSettings
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired

S = 1_000_000
# Planted defects that random simulations must find.
FOUND_BY_RANDOM_FAULTS = (
    "loan-from-answer",
    "lent-short",
    "doubled-counts",
    "begins-free",
)


def node(name: str, first: bool = True, max_nodes: int = 2) -> QuotaManager:
    made = QuotaManager(name, ord(name), KEYS, SETTINGS, Random(name), 0, first=first)
    made.handle(0, ActiveNodes(max_nodes, {n: n for n in "ab" if n != name}))
    made.handle(0, BudgetTotals({KEY: 100 * MILLI}))
    return made


def exchange_messages(now: int, *nodes: QuotaManager) -> list[SendMessage]:
    """Wake all nodes and deliver their messages immediately, and the replies too."""
    by_name, heard = {n.name: n for n in nodes}, list[SendMessage]()
    said = [(n.name, e) for n in nodes for e in n.handle(now, TimerFired())]
    while said:
        source, say = said.pop(0)
        assert isinstance(say, SendMessage)
        heard.append(say)
        said += [(say.to, e) for e in by_name[say.to].handle(now, MessageReceived(source, say.data))]
    return heard


def available_rate(one: QuotaManager, now: int) -> float:
    return one.budgets[KEY].quota.available(now) / MILLI


def run_with_demand(now: int, a: QuotaManager, b: QuotaManager, until: int) -> int:
    while now < until:
        now += 5_000
        a.try_acquire(now, KEY)
        if now % SETTINGS.round_interval_us == 0:
            exchange_messages(now, a, b)
    return now


# --- Random simulation and exhaustive search ------------------------------------------------------------
def test_random_faults_never_exceed_the_budget_and_are_reproducible() -> None:
    days = [play(Case(seed, 0.7)) for seed in range(1, 25)]
    assert not any(d.broken for d in days), [d.broken for d in days if d.broken]
    assert max(float(str(d.figures["right_max"])) for d in days) <= 1.0 and any(d.done for d in days)
    assert play(Case(5, 0.7)).digest == days[4].digest


@pytest.mark.parametrize("plant", FOUND_BY_RANDOM_FAULTS)
def test_planted_defect_is_found_by_random_faults(plant: str) -> None:
    assert any(play(Case(seed, 0.8, plant=plant)).broken for seed in range(1, 65))


def test_exhaustive_search_never_exceeds_the_budget() -> None:
    seen = look(1, 1)
    assert seen.whole and not seen.broken and seen.states > 8_000


@pytest.mark.parametrize(("plant", "wants", "ends"), [("lent-short", 1, 0), ("begins-free", 1, 1)])
def test_search_finds_planted_defect_by_a_shortest_path(plant: str, wants: int, ends: int) -> None:
    with planted(plant):
        seen = look(wants, ends)
    assert "all may spend" in seen.broken and 2 <= len(seen.trace) <= 8


# --- Quota of one node ----------------------------------------------------------------------------------
def test_returned_loan_is_never_restored() -> None:
    def played() -> None:
        made = Quota(SETTINGS, 1_000, 2, 0)
        made.borrow(0, 10, ("b", 1, 1), 300)
        made.return_loan(20, ("b", 1, 1))
        # The loan has expired, but not that of a later request.
        made.remove_expired(SETTINGS.borrower_loan_us + 10)
        made.borrow(15, SETTINGS.borrower_loan_us + 12, ("b", 1, 1), 300)
        assert made.borrowed_amount(SETTINGS.borrower_loan_us + 12) == 0

    played()
    with planted("back-forgotten"), pytest.raises(AssertionError):
        played()


def test_restarted_lender_does_not_spend_loans_of_its_predecessor() -> None:
    one = node("a", first=False)
    assert (
        available_rate(one, 0) == pytest.approx(5.0) and available_rate(one, SETTINGS.lender_loan_us) == 50.0
    )
    assert one.budgets[KEY].quota.lendable(SETTINGS.lender_loan_us - 1) == 0


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("lbgr"), st.integers(1, 60), st.integers(0, 3 * S)), max_size=30))
def test_lender_keeps_its_reserve_and_lends_no_more_than_it_has(steps: list[tuple[str, int, int]]) -> None:
    made, now = Quota(QuotaSettings(reserve_fraction=0.3), 100, 2, 0), 0
    for what, amount, wait in steps:
        now += wait
        if what == "l":
            made.lend(now, "x", amount)
        elif what == "b":
            made.borrow(now - wait, now, ("y", 1, amount), amount)
        elif what == "g":
            made.renew(now, amount % 5 + 1, "x")
        else:
            made.handle_return(amount % 5 + 1, "x")
        made.remove_expired(now)
        assert made.lent_amount(now) <= made.base - made.reserve and made.available(now) >= made.reserve


# --- Lending and borrowing ------------------------------------------------------------------------------
def test_quota_moves_to_demand_and_returns() -> None:
    a, b = node("a"), node("b")
    now = run_with_demand(0, a, b, 2 * S)
    assert (
        available_rate(a, now) > 85.0
        and available_rate(a, now) + available_rate(b, now) <= 100.0
        and available_rate(b, now) >= 5.0
    )
    for _ in range(25):  # without demand, a returns its loans, and messages end
        now += SETTINGS.round_interval_us
        last = exchange_messages(now, a, b)
    assert available_rate(a, now) == available_rate(b, now) == 50.0 and last == []


def test_isolated_node_falls_back_to_its_base_quota() -> None:
    a, b = node("a"), node("b")
    now = run_with_demand(0, a, b, 2 * S)
    later = now + 60 * S
    assert available_rate(a, later) == 50.0
    taken = sum(a.try_acquire(later + k, KEY) < 0 for k in range(200))
    assert taken <= 50  # the burst of one second, not the quota of a minute

    def stopped() -> None:
        one, other = node("a"), node("b")
        at = run_with_demand(0, one, other, 2 * S) + 60 * S
        assert sum(one.try_acquire(at + k, KEY) < 0 for k in range(200)) <= 50

    with planted("stall-spends"), pytest.raises(AssertionError):
        stopped()


def test_duplicate_and_late_grants_are_ignored() -> None:
    a, b = node("a"), node("b")
    for k in range(400):
        a.try_acquire(k * 1_000, KEY)
    (want,) = (e for e in a.handle(S, TimerFired()) if isinstance(e, SendMessage))
    (lend,) = (e for e in b.handle(S, MessageReceived("a", want.data)) if isinstance(e, SendMessage))
    a.handle(S, MessageReceived("b", lend.data))
    once = available_rate(a, S)
    a.handle(S, MessageReceived("b", lend.data))
    assert available_rate(a, S) == once > 50.0
    a.handle(3_600 * S, MessageReceived("b", lend.data))
    assert available_rate(a, 3_600 * S) == 50.0


def test_node_lends_spare_quota_but_never_its_reserve() -> None:
    a, b = node("a"), node("b")
    now = 0
    while now < 10 * S:
        now += 10_000
        b.try_acquire(now, KEY)  # b soon needs more than its base quota, after lending some
        for _ in range(2):
            a.try_acquire(now, KEY)
        if now % SETTINGS.round_interval_us == 0:
            exchange_messages(now, a, b)
    assert available_rate(b, now) >= 45.0

    def starved() -> None:
        made = Quota(SETTINGS, 1_000, 2, 0)
        made.lend(0, "x", 9_999)
        assert made.available(0) == made.reserve == 50

    starved()
    with planted("floor-lent"), pytest.raises(AssertionError):
        starved()


def test_budget_changes_and_keys_without_budget() -> None:
    a = node("a")
    assert a.try_acquire(S, "unknown") == -1 and a.try_acquire(S, KEY) == -1
    a.handle(S, BudgetTotals({KEY: 20 * MILLI, "other": 0}))
    assert available_rate(a, S) == 10.0 and a.try_acquire(S, "other") == SETTINGS.round_interval_us
    a.handle(S, ActiveNodes(5, {"b": "b"}))
    assert available_rate(a, S) == 4.0
    a.handle(S, BudgetTotals({}))
    assert a.try_acquire(S, KEY) == -1 and a.wake_us == -1
    with pytest.raises(TypeError, match="budgets"):
        a.handle(S, object())


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"x" * 99, "magic"), (seal(Kind.COUNT, b"", KEYS, "b"), "kind"),
        (seal(Kind.RIGHT, b"", Keys(Key(b"q" * 20)), "b"), "key"),
        (seal(Kind.RIGHT, b"\x80", KEYS, "b"), "malformed"),
        (seal(Kind.RIGHT, CODEC.encode(Want(1, KEY, 9)), KEYS, "z"), "unknown_peer"),
        (seal(Kind.RIGHT, CODEC.encode(Want(1, "none", 9)), KEYS, "b"), "unknown_budget"),
        (seal(Kind.RIGHT, CODEC.encode(Lend(1, KEY, 9, [1, 50])), KEYS, "b"), "unsolicited"),
    ],
)  # fmt: skip
def test_invalid_messages_are_counted_and_ignored(data: bytes, why: str) -> None:
    a = node("a")
    assert (
        a.handle(S, MessageReceived("b", data)) == []
        and a.counts[f"dropped {why}"] == 1
        and available_rate(a, S) == 50.0
    )


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_authenticated_bytes_raise_nothing(body: bytes) -> None:
    node("a").handle(S, MessageReceived("b", seal(Kind.RIGHT, body, KEYS, "b")))


def test_keys_are_replaced_and_every_planted_defect_is_covered() -> None:
    a = node("a")
    other = Keys(Key(b"another key altogether"))
    a.handle(0, KeysChanged(other))
    for k in range(400):
        a.try_acquire(k * 1_000, KEY)
    assert isinstance(
        open_(next(e for e in a.handle(S, TimerFired()) if isinstance(e, SendMessage)).data, other), Frame
    )
    assert set(PLANTS) == {*FOUND_BY_RANDOM_FAULTS, "back-forgotten", "stall-spends", "floor-lent"}
    assert CODEC.decode(CODEC.encode(Back(KEY, 1, [2]))) == Back(KEY, 1, [2])
