"""The judge itself: a Witness that hands each observation to the rules, the counts and the worth.

It owns which requests are open and their history, and must never hold a rule of its own. Memory: a request is
kept while a try of it is open, while an attempt is out (for HOLD_US after its last try at most), for
SERVED_US after that where it was served, and else for as long as a client may still come back with a retry.
"""

from __future__ import annotations

from collections import Counter, deque

from granitewell.lab.day import Day
from granitewell.lab.judge.answers import Answers
from granitewell.lab.judge.excuses import Excuses
from granitewell.lab.judge.fleet import Fleet
from granitewell.lab.judge.offence_agenda import Desk
from granitewell.lab.judge.records import Request, Try
from granitewell.lab.judge.repeats import Repeats
from granitewell.lab.judge.report import Report
from granitewell.lab.judge.tallies import Tallies, named
from granitewell.lab.judge.worth import BUCKET_US, Worth

ORDER_US = 5_000  # by which two processes may stamp the ends of one exchange in the wrong order
SERVED_US = 2_000_000
HOLD_US = 10_000_000
SWEEP_US = 100_000
SPARE_US = 1_000_000  # beyond the longest wait of a client before its retry
VERDICTS = frozenset({"served", "refused", "failed"})
OUTCOMES = frozenset({"ok", "error", "full", "dropped", "stopped", "died", "hung", "spoilt"})
STATES = frozenset({"ready", "draining", "gone"})


class Judge:
    """Implements granitewell.lab.witness.Witness for one day.

    Observations come in the order of their times (ValueError otherwise); `report` may be asked for at any
    time and changes nothing.
    """

    def __init__(self, day: Day, order_us: int = ORDER_US) -> None:
        """order_us: 0 is enough where one clock and one process see everything."""
        self._day = day
        self._desk = Desk()
        self._excuses = Excuses(day)
        self._answers = Answers(day, self._desk, self._excuses, self._closed)
        self._repeats = Repeats(day, self._desk, self._excuses, order_us)
        self._fleet = Fleet(day, self._desk, self._excuses)
        self._worth, self._tallies = Worth(day), Tallies(day)
        self._tries: dict[str, Try] = {}
        self._requests: dict[str, Request] = {}
        self._quiet: tuple[deque[tuple[int, int, Request]], ...] = (deque(), deque(), deque())
        clients = day.clients
        comes_back = max(clients.backoff_us, clients.max_retry_after_us) + SPARE_US
        self._keep = (SERVED_US, max(comes_back, SERVED_US), HOLD_US)
        self._now = self._sweep_at = self._rests = 0
        self._unmatched: Counter[str] = Counter()
        self._node_zone = {n.name: n.zone for n in day.nodes}
        self._zone = {e.id: e.zone for e in day.endpoints}

    # --- Time and memory --------------------------------------------------------------------------------
    def _pass(self, at: int) -> None:
        """Time has come to `at`."""
        if at < self._now:
            raise ValueError(f"observations must come in order: found {at} us after {self._now} us")
        if at > self._desk.next_us:
            self._desk.catch_up(at)
        self._now = at
        if at >= self._sweep_at:
            self._sweep_at = at + SWEEP_US
            for keep, quiet in zip(self._keep, self._quiet, strict=True):
                while quiet and quiet[0][0] + keep < at:
                    _, number, request = quiet.popleft()
                    if request.rest == number:  # else something has happened since
                        self._forget(request)

    def _rest(self, at: int, of: Request) -> None:
        """No try of it is open now: it is kept for a while, by what may still be seen of it."""
        self._rests += 1
        of.rest = self._rests
        self._quiet[2 if of.out else 0 if of.served else 1].append((at, self._rests, of))

    def _forget(self, of: Request) -> None:
        self._worth.settle(of, self._now)
        del self._requests[of.first]
        for t in of.tries:
            del self._tries[t.rid]
        of.tries.clear()  # no cycle is left behind: who plays a day may have switched the collector off

    def _closed(self, of: Try, at: int) -> None:
        """A try is over."""
        request = of.group
        request.open -= 1
        self._tallies.closed(of, at)
        if not request.open:
            self._rest(self._now, request)

    def _known(self, rid: str, what: str, *seen: object) -> Try | None:
        """The try of this rid, the observation put into its history."""
        of = self._tries.get(rid)
        if of is None:
            self._unmatched[what] += 1
        else:
            of.group.note((self._now, what, rid, *seen))
        return of

    # --- Witness: clients -------------------------------------------------------------------------------
    def asked(self, at: int, rid: str, first: str, cls: int, tenant: int, key: int, zone: int,
              timeout_us: int, rebooks: str = "") -> None:  # fmt: skip
        """A client sends a try. ValueError for a class that the day does not have."""
        self._pass(at)
        if not 0 <= cls < len(self._day.classes):
            raise ValueError(f"asked: class {cls} is not one of the day's {len(self._day.classes)}")
        if rid in self._tries:
            self._unmatched["asked"] += 1
            return
        request = self._requests.get(first)
        if request is None:
            request = self._requests[first] = Request(first, cls, tenant, at)
            if rid == first:
                self._worth.ask(request)
                self._repeats.rebooked(request, self._requests.get(rebooks))
            else:
                self._unmatched["asked"] += 1
        request.note((at, "asked", rid, first, cls, tenant, key, zone, timeout_us, rebooks))
        of = self._tries[rid] = Try(rid, request, at, timeout_us, zone)
        request.tries.append(of)
        request.open += 1
        request.rest = 0
        self._tallies.tries += 1
        self._answers.asked(of)

    def taken(self, at: int, rid: str, node: str) -> None:
        """A node's machine has the try."""
        self._pass(at)
        of = self._known(rid, "taken", node)
        if of is not None:
            self._answers.taken(at, of, node)

    def answered(self, at: int, rid: str, node: str, verdict: str, retry_after_us: int,
                 right_body: bool) -> None:  # fmt: skip
        """The client has an answer. ValueError for a verdict that is none."""
        self._pass(at)
        if verdict not in VERDICTS:
            raise ValueError(f"answered: verdict {verdict!r}, allowed: {', '.join(sorted(VERDICTS))}")
        of = self._known(rid, "answered", node, verdict, retry_after_us, right_body)
        if of is None:
            text = f"an answer to {rid}, which nobody asks or which was over long ago"
            self._desk.accuse(at, "unknown", text, node=node)
            return
        served = verdict == "served" and right_body and not of.group.served and not of.closed
        if served:  # before it is closed: what is kept how long depends on it
            self._worth.serve(of.group, of, at)
        if self._answers.answered(at, of, node, verdict, right_body) and verdict == "refused":
            self._repeats.refused(at, of)

    def left(self, at: int, rid: str) -> None:
        """The client has given the try up."""
        self._pass(at)
        of = self._known(rid, "left")
        if of is not None:
            self._answers.left(at, of)

    def lost(self, at: int, rid: str, node: str, why: str) -> None:
        """The node ended the try's connection."""
        self._pass(at)
        of = self._known(rid, "lost", node, why)
        if of is not None:
            self._answers.lost(at, of, node, why)

    # --- Witness: endpoints -----------------------------------------------------------------------------
    def dialed(self, at: int, node: str, endpoint: str) -> None:
        """A connection has come up."""
        self._pass(at)
        self._worth.dials += 1

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        """An attempt has arrived."""
        self._pass(at)
        of = self._known(rid, "sent", node, endpoint, first_byte_at)
        if of is None:
            # a node that has stood still reads what was written long ago before it sees who has left
            if not self._excuses.drain(node, at):
                text = f"{rid}, which nobody asks or which was over long ago, was sent"
                self._desk.accuse(at, "unknown", text, node=node, endpoint=endpoint)
            return
        self._tallies.attempts += 1
        if self._node_zone.get(node) != self._zone.get(endpoint):
            self._worth.crossings += 1
        attempt = self._repeats.sent(at, of, node, endpoint, first_byte_at)
        if attempt is not None:
            self._fleet.sent(at, of, attempt, first_byte_at)
            if not of.group.open:
                self._rest(at, of.group)

    def ran(self, at: int, rid: str, endpoint: str, work_us: float) -> None:
        """Work on an attempt has begun."""
        self._pass(at)
        of = self._known(rid, "ran", endpoint, work_us)
        if of is not None:
            self._repeats.ran(at, of, endpoint, work_us)

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        """An endpoint is done with an attempt. ValueError for an outcome that is none."""
        self._pass(at)
        if outcome not in OUTCOMES:
            raise ValueError(f"ended: outcome {outcome!r}, allowed: {', '.join(sorted(OUTCOMES))}")
        of = self._known(rid, "ended", endpoint, outcome)
        if of is not None and self._repeats.ended(at, of, endpoint, outcome) and not of.group.open:
            self._rest(at, of.group)

    def probed(self, at: int, node: str, endpoint: str) -> None:
        """A probe has arrived."""
        self._pass(at)
        self._worth.probes += 1

    def endpoint_up(self, at: int, endpoint: str, inc: int, zone: int, capacity: float, cold_from: float,
                    cold_us: int) -> None:  # fmt: skip
        """An endpoint's process has started."""
        self._pass(at)
        self._zone[endpoint] = zone
        self._fleet.endpoint_up(at, endpoint, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """It is gone."""
        self._pass(at)
        self._fleet.endpoint_down(at, endpoint, why)

    # --- Witness: nodes, discovery, faults --------------------------------------------------------------
    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery has written to a node. ValueError for a state that is none."""
        self._pass(at)
        if state not in STATES:
            raise ValueError(f"told: state {state!r}, allowed: {', '.join(sorted(STATES))}")
        self._fleet.told(at, node, endpoint, state)

    def node_up(self, at: int, node: str, zone: int) -> None:
        """A node's process has started."""
        self._pass(at)
        self._node_zone[node] = zone
        self._answers.node_up(node)
        self._fleet.node_up(node)

    def node_ready(self, at: int, node: str) -> None:
        """Its ready path says 200."""
        self._pass(at)

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM has gone to it."""
        self._pass(at)
        self._answers.node_stopping(at, node)

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """It is gone."""
        self._pass(at)
        self._answers.node_down(at, node, planned, code)

    def fault(self, at: int, index: int, begins: bool) -> None:
        """One of the day's faults begins or ends. ValueError for one that the day does not have."""
        self._pass(at)
        self._excuses.fault(at, index, begins)

    # --- The outcome ------------------------------------------------------------------------------------
    def report(self) -> Report:
        """The day as far as it has been seen. Tries that are not over yet are counted as open, not judged."""
        worth, tallies, fleet, day = self._worth, self._tallies, self._fleet, self._day
        late, ran, wasted = worth.late_failed, worth.work_ran, worth.wasted
        for request in self._requests.values():
            done, lost = worth.work(request, self._now)
            late, ran, wasted = late + worth.late_fail(request, self._now), ran + done, wasted + lost
        g, parts, prices = worth.figure(late, wasted)
        names = [c.name for c in day.classes]
        return Report(
            day=day.name, seed=day.seed, g=g, parts=parts, prices=prices,
            broken=tuple(self._desk.offences), offences=dict(self._desk.counts),
            requests=worth.first_tries, tries=tallies.tries, attempts=tallies.attempts,
            open=sum(r.open for r in self._requests.values()), unmatched=sum(self._unmatched.values()),
            totals=named(tallies.total), by_class=tallies.class_table(), by_tenant=tallies.tenant_table(),
            by_node=tallies.node_table(),
            worth_by_class=_shares(names, worth.by_class),
            worth_by_tenant=_shares([t.name for t in day.tenants], worth.by_tenant),
            latency=dict(zip(names, tallies.latency, strict=True)), series=self._series(),
            waste=wasted / ran if ran else 0.0, dials=worth.dials, crossings=worth.crossings,
            probes=worth.probes, fell=fleet.fell, fell_untold=fleet.fell_untold,
            double_bookings=self._repeats.double_bookings, end_us=self._now,
        )  # fmt: skip

    def _series(self) -> tuple[dict[str, float], ...]:
        worth, tries = self._worth.buckets, self._tallies.by_time
        rows: list[dict[str, float]] = []
        for k in range(max(len(worth), len(tries))):
            asked, earned = worth[k] if k < len(worth) else (0.0, 0.0)
            counts = named(tries[k]) if k < len(tries) else {}
            rows.append({"at_us": k * BUCKET_US, "worth_asked": asked, "worth_earned": earned, **counts})
        return tuple(rows)


def _shares(names: list[str], sums: list[list[float]]) -> dict[str, float]:
    return {n: earned / asked if asked else 1.0 for n, (asked, earned) in zip(names, sums, strict=True)}
