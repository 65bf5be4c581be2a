"""The load tool: its pure parts on drawn cases and in virtual time, and the program against bad targets."""

from __future__ import annotations

import json
import os
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from heapq import heappop, heappush
from itertools import pairwise
from pathlib import Path
from typing import Any

import httptools
import pytest
from click.testing import CliRunner
from hdrh.histogram import HdrHistogram
from hypothesis import given, settings
from hypothesis import strategies as st

from granitewell.cli.lab_load import load
from granitewell.lab.load import files, knee, preflight, run, verdict
from granitewell.lab.load.counts import MAX_US, End, Hist, Tally, bounds, bucket, packed, unpacked
from granitewell.lab.load.flow import NEVER, Close, Dial, Effect, Flow, Request
from granitewell.lab.load.knee import Point, Sweep
from granitewell.lab.load.plan import LoadClass, LoadTenant, Plan, Step, Target
from granitewell.lab.load.processes import Crew
from granitewell.lab.load.schedule import Arrival, arrivals
from granitewell.lab.load.wire import Answer, Heads

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def plan(**changes: Any) -> Plan:
    usual: dict[str, Any] = {
        "targets": (Target("127.0.0.1", 1),), "classes": (), "tenants": (LoadTenant("load", 1.0),),
        "path": "/", "keys": 100, "timeout_us": 2_000_000, "connections": 64, "workers": 1,
        "arrivals": "poisson", "seed": 1, "run": "0badcafe",
    }  # fmt: skip
    return Plan(**(usual | changes))


# --- Counting ---
@given(st.lists(st.integers(0, MAX_US + 5), min_size=1), st.sampled_from([0.001, 0.5, 0.9, 0.99, 1.0]))
def test_histograms_agree_with_the_library_and_survive_its_format(values: list[int], part: float) -> None:
    mine, theirs = Hist(), HdrHistogram(1, MAX_US, 3)
    for value in values:
        mine.add(value)
        theirs.record_value(min(value, MAX_US))
    assert mine.at(part) == theirs.get_value_at_percentile(100 * part)
    line = files.log_text(mine, 1.0, 2.0, "x").splitlines()[-1]
    back = HdrHistogram.decode(line.split(",")[3])
    assert [back.get_count_at_index(k) for k, _ in mine.sparse()] == [count for _, count in mine.sparse()]
    assert back.get_total_count() == len(values) == Hist(mine.sparse()).total


@given(st.integers(0, MAX_US))
def test_buckets_hold_three_digits(us: int) -> None:
    low, high = bounds(bucket(us))
    assert low <= us <= high and high - low <= us / 1000


# --- Arrivals ---
@given(st.integers(0, 99), st.integers(1, 5), st.floats(10, 3000), st.sampled_from(["poisson", "uniform"]))
def test_arrivals_are_the_plans_alone(seed: int, workers: int, rate: float, kind: str) -> None:
    step, asked = Step(3, rate, 400_000), plan(seed=seed, workers=workers, arrivals=kind)
    all_dues = [[a.due_us for a in arrivals(asked, step, k)] for k in range(workers)]
    assert all(dues == sorted(dues) and all(0 <= due < 400_000 for due in dues) for dues in all_dues)
    other = plan(seed=seed, workers=workers, arrivals=kind, tenants=(LoadTenant("a", 1), LoadTenant("b", 2)))
    assert [a.due_us for a in arrivals(other, step, 0)] == all_dues[0]
    if kind == "uniform":
        merged = sorted(due for dues in all_dues for due in dues)
        assert all(abs(b - a - 1e6 / rate) <= 1 for a, b in pairwise(merged))


def test_poisson_arrivals_and_the_mix_have_their_shares() -> None:
    classes = (LoadClass("a", 3, "GET", 0), LoadClass("b", 1, "POST", 9))
    asked = plan(classes=classes, workers=2)
    drawn = [a for k in range(2) for a in arrivals(asked, Step(1, 10_000, 4_000_000), k)]
    assert abs(len(drawn) - 40_000) < 800  # four standard deviations
    assert abs(sum(a.cls for a in drawn) / len(drawn) - 0.25) < 0.01
    dues = sorted(a.due_us for a in drawn)
    gaps = [b - a for a, b in pairwise(dues)]
    assert abs(sum(gap > 100 for gap in gaps) / len(gaps) - 0.368) < 0.01  # e^-1 of gaps exceed their mean


# --- The flow in virtual time ---
class World:
    """Plays a `Flow` against a target in virtual time.

    `late_us`: how long the loop stands still ahead of each look for those whose time is over.
    """

    def __init__(
        self, flow: Flow, target: Callable[[int, Request], tuple[int, str]], late_us: int = 0
    ) -> None:
        self.flow, self.target, self.now, self.seq, self.late_us = flow, target, 0, 0, late_us
        self.agenda: list[tuple[int, int, int, str]] = []
        self.standing: dict[int, Request] = {}
        self.most_open = 0

    def run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Close):
                del self.standing[effect.conn]
                continue
            assert isinstance(effect, Dial) or self.standing[effect.conn].over, "two on one connection"
            self.standing[effect.conn] = effect.request
            self.most_open = max(self.most_open, len(self.standing))
            at, what = self.target(self.now, effect.request)
            if isinstance(effect, Dial) and what != "undialled":
                self.flow.connected(effect.conn)
            self.later(at, effect.conn, what)

    def later(self, at: int, conn: int, what: str) -> None:
        self.seq += 1
        heappush(self.agenda, (at, self.seq, conn, what))

    def happen(self, conn: int, what: str) -> None:
        request = self.standing.get(conn)
        if request is None:
            return  # closed meanwhile
        if what in ("ended", "reset", "undialled"):
            del self.standing[conn]
        if what == "undialled":
            self.run(self.flow.undialled(self.now, conn, "EMFILE"))
        elif what in ("ended", "reset"):
            self.run(self.flow.ended(self.now, conn, what == "ended", False))
        else:
            self.run(self.flow.answered(self.now, conn, End(what.split()[0]), "last" not in what))
            if "shy" in what:  # the target closes it soon after, whatever it is doing by then
                self.later(self.now + 300, conn, "ended")

    def play(self, source: Iterator[Arrival], stop_us: int = NEVER) -> Tally:
        self.flow.begin(source, 0)
        while not self.flow.done:
            nexts = (self.agenda[0][0] if self.agenda else NEVER, self.flow.next_us, self.flow.expiry_us)
            self.now = max(self.now, min(nexts))
            if self.now >= stop_us:
                self.run(self.flow.stop(self.now))
            elif self.now >= nexts[1]:
                self.run(self.flow.depart(self.now))
            elif self.now >= nexts[2]:
                self.now += self.late_us
                self.run(self.flow.expire(self.now))
            else:
                _, _, conn, what = heappop(self.agenda)
                self.happen(conn, what)
        return self.flow.tally


WHATS = ["served", "refused", "failed last", "served last", "ended", "reset", "undialled", "served shy"]


@settings(max_examples=60)
@given(st.integers(0, 1 << 32), st.integers(1, 3), st.integers(3, 40), st.sampled_from([NEVER, 30_000]),
       st.sampled_from([0, 3000]))  # fmt: skip
def test_every_request_ends_once_within_the_cap(
    seed: int, targets: int, cap: int, stop_us: int, late_us: int
) -> None:
    rng = random.Random(seed)

    def target(now: int, request: Request) -> tuple[int, str]:
        return now + rng.choice([1, 500, 4_000, 30_000]), rng.choice(WHATS)

    world = World(Flow(targets, cap, 20_000), target, late_us)
    step = Step(1, 2000.0, 60_000)
    tally = world.play(arrivals(plan(seed=seed), step, 0), stop_us)
    drawn = [a.due_us for a in arrivals(plan(seed=seed), step, 0)]
    assert sum(tally.ends.values()) == tally.due <= len(drawn)
    assert late_us or tally.due == sum(due < stop_us for due in drawn)
    assert world.most_open <= max(cap // targets, 1) * targets
    assert (tally.ends["cut"] > 0) <= (stop_us < NEVER)
    again = unpacked(json.loads(json.dumps(packed(tally))))
    assert again.ends == tally.ends and again.latency.sparse() == tally.latency.sparse()


@pytest.mark.parametrize("cap", [1, 500])
def test_a_stall_shows_in_all_that_should_have_left_meanwhile(cap: int) -> None:
    # 1 ms each, but nothing is answered from 100 to 300 ms; a closed loop sees that once a connection
    def target(now: int, request: Request) -> tuple[int, str]:
        return (300_000 if 100_000 <= now < 300_000 else now) + 1000, "served"

    flow = Flow(1, cap, 5_000_000)
    tally = World(flow, target).play(arrivals(plan(arrivals="uniform"), Step(1, 500, 600_000), 0))
    assert tally.ends["served"] == tally.due == 300
    for over_us in (20_000, 100_000, 150_000):
        due_long_before_its_end = (200_000 - over_us) // 2000
        assert tally.latency.over(over_us) >= due_long_before_its_end
    assert (tally.service.over(20_000) > 80) is (cap > 1)  # at the cap they leave late, so service hides it
    assert bool(verdict.reasons([tally])) is (cap == 1)  # and then the figure is the tool's own


def test_a_request_that_crosses_an_idle_close_goes_once_more() -> None:
    script = iter(["served", "ended", "served", "ended", "ended"])
    world = World(Flow(1, 8, 1_000_000), lambda now, _: (now + 10, next(script)))
    tally = world.play(iter([Arrival(0, 0, 0, 1), Arrival(100, 0, 0, 1), Arrival(200, 0, 0, 1)]))
    assert tally.resent == 2 and tally.ends["served"] == 2 and tally.ends["reset"] == 1


def test_one_that_is_given_up_makes_room_for_the_next() -> None:
    script = iter(["served"])
    flow = Flow(1, 1, 20_000)
    world = World(flow, lambda now, _: (now + 10, next(script)) if now else (NEVER, "undialled"))
    tally = world.play(iter([Arrival(0, 0, 0, 1), Arrival(15_000, 0, 0, 1)]))
    assert tally.ends["served"] == tally.ends["not_connected"] == 1 and tally.latency.over(19_000) == 1


# --- Verdict and knee ---
def stands(**changes: Any) -> Tally:
    tally = Tally(due=1000, span_us=1_000_000, reads=1000)
    for _ in range(1000):
        tally.away.add(5)
    for name, value in changes.items():
        setattr(tally, name, value)
    return tally


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"waited": 3}, "connection cap"), ({"own": {"EMFILE": 3}}, "EMFILE"),
        ({"busy_us": 901_000}, "worker 2"), ({"late_reads": 25}, "late reading"), ({"due": 0}, "no request"),
    ],
)  # fmt: skip
def test_each_limit_of_the_tool_voids(change: dict[str, Any], word: str) -> None:
    other = stands(due=0) if "due" in change else stands()
    assert not verdict.reasons([stands(), stands()])
    (reason,) = verdict.reasons([other, stands(**change)])
    assert word in reason


def test_late_departures_void_from_one_in_a_hundred() -> None:
    tally = stands()
    for _ in range(10):
        tally.away.add(1500)
    tally.due = 1010
    assert not verdict.reasons([tally])
    tally.away.add(1500)
    assert "late departures" in verdict.reasons([tally])[0]


@given(st.floats(100, 20_000), st.floats(0.2, 3.0), st.integers(0, 1 << 32))
def test_a_sweep_closes_in_on_the_knee(true: float, void_from: float, seed: int) -> None:
    rng, sweep = random.Random(seed), Sweep(100, 20_000)
    blips = 0
    while sweep.rate is not None:
        rate = sweep.rate
        played = sum(p.rate == rate for p in sweep.points)
        blip = not played and rate > 100 and rng.random() < 0.2  # a moment's noise: the second play is sound
        blips += blip
        bad = rate > true or blip
        sweep.add(Point(rate, 0.5 if bad else 1.0, 90_000 if bad else 900, void=rate > true * void_from))
        assert len(sweep.points) <= Sweep(100, 20_000).most_plays
    found = knee.find(sweep.points)
    if found.good_to is None:
        assert true * void_from < 100  # not even the lowest rate stands
    elif found.breaks_from is not None:
        assert found.good_to <= true < found.breaks_from <= found.good_to * 1.5 + 1
        if void_from > 2:
            assert found.breaks_from <= found.good_to * knee.NEAR + 0.2
    else:
        assert found.good_to <= true and (found.good_to == 20_000 or void_from < 1.6)


def test_the_knee_needs_all_higher_rates_to_break() -> None:
    p99s = {100.0: 900, 200.0: 9_000, 300.0: 1_000, 400.0: 8_000, 500.0: 90_000}
    found = knee.find([Point(rate, 1.0, p99) for rate, p99 in p99s.items()])
    assert (found.good_to, found.breaks_from) == (300.0, 400.0) and "8.000 ms" in found.why
    near = [Point(1, 1.0, 10_000), Point(2, 0.991, 29_000)]
    assert knee.find(near) == knee.Knee(2, None, "no rate broke away")
    assert knee.find([Point(1, 0.5, 9), Point(2, 0.4, 9)]).good_to is None
    assert knee.find([Point(1, 1.0, 9, void=True)]).why == "every figure is void"


# --- Bytes ---
@given(st.data())
def test_requests_are_the_protocols(data: st.DataObject) -> None:
    cls = data.draw(st.sampled_from([LoadClass("taxi", 1, "GET", 0), LoadClass("ride", 1, "POST", 65_536)]))
    heads = Heads(plan(classes=(cls,), keys=data.draw(st.integers(0, 1))), 3)
    seen: dict[str, bytes] = {}

    class Reader:
        def on_url(self, url: bytes) -> None:
            seen["url"] = url

        def on_header(self, name: bytes, value: bytes) -> None:
            seen[name.decode()] = value

        def on_body(self, body: bytes) -> None:
            seen["body"] = seen.get("body", b"") + body

    parser = httptools.HttpRequestParser(Reader())
    parser.feed_data(heads.bytes_of(Request(7, 0, Arrival(0, 0, 0, 5), 0), 1_999_001))
    assert parser.get_method().decode() == cls.method and seen["url"].decode() == "/" + cls.name
    assert seen["Request-Id"] == b"0badcafe0300000007" and seen["Request-Timeout-Ms"] == b"2000"
    assert seen["Request-Class"].decode() == cls.name and seen["Tenant"] == b"load"
    assert len(seen.get("body", b"")) == cls.body_bytes and len(seen.get("Affinity-Key", b"")) in (0, 16)


ANSWERS = [
    (OK, 200, True), (b"HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 503, False),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200, True), (OK + b"HTTP/1.1 2", 200, False),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, True),
    (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", 200, False), (OK + b"junk", 200, False),
]  # fmt: skip


@given(st.sampled_from(ANSWERS), st.lists(st.integers(0, 90)))
def test_answers_are_read_whatever_the_pieces(case: tuple[bytes, int, bool], cuts: list[int]) -> None:
    data, status, keep = case
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    answer = Answer()
    for a, b in pairwise(edges):
        if answer.whole:
            keep = keep if a == len(data) else answer.keep  # what comes later is the shell's to see
            break
        if a < b:
            answer.feed(data[a:b])
    assert (answer.whole or answer.end()) and (answer.status, answer.keep) == (status, keep)


def test_what_is_no_answer_is_told() -> None:
    head = b"HTTP/1.1 200 OK\r\n"
    for data in (b"SSH-2.0-x\r\n", head + b"Content-Length: z\r\n\r\n", head + b"A: " + 70_000 * b"a"):
        with pytest.raises(ValueError, match="no HTTP answer|too large"):
            Answer().feed(data)
    cut_short = Answer()
    cut_short.feed(OK[:-1])
    assert not cut_short.end()


# --- The program ---
@contextmanager
def stand(act: Callable[[socket.socket, int], object], only: int = 1 << 30) -> Iterator[int]:
    """A target on loopback: `act(connection, number of the request)` for each GET.

    It takes `only` so many connections, then its listener is gone.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    port, count, lock, conns = listener.getsockname()[1], [0], threading.Lock(), []

    def serve(conn: socket.socket) -> None:
        try:
            while data := conn.recv(65536):
                assert data.endswith(b"\r\n\r\n")
                with lock:
                    count[0] += 1
                    act(conn, count[0])
        except OSError:
            pass

    def accept() -> None:
        try:
            for _ in range(only):
                conns.append(listener.accept()[0])
                threading.Thread(target=serve, args=(conns[-1],), daemon=True).start()
        except OSError:
            pass
        listener.close()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield port
    finally:
        if listener.fileno() >= 0:
            listener.shutdown(socket.SHUT_RDWR)
        for conn in conns:
            conn.close()


def invoke(port: int, *more: str) -> tuple[int, dict[str, Any], str]:
    args = ["--target", f"127.0.0.1:{port}", "--rate", "500", "--duration", "0.6", "--json"]
    result = CliRunner().invoke(load, [*args, "--arrivals", "uniform", *more])
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exc_info
    return result.exit_code, json.loads(result.stdout or "{}"), result.stderr


def reset(conn: socket.socket, _: int = 0) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.shutdown(socket.SHUT_RD)
    conn.close()


def half(conn: socket.socket, _: int) -> None:
    conn.sendall(OK[:-1])
    conn.shutdown(socket.SHUT_RDWR)


def test_a_stall_of_a_real_target_shows_in_full(tmp_path: Path) -> None:
    def act(conn: socket.socket, number: int) -> None:
        time.sleep(0.2 if number == 100 else 0)  # under the lock: everybody waits
        conn.sendall(OK)

    with stand(act) as port:
        _, told, _ = invoke(port, "--hdr", str(tmp_path))
    (step,) = told["steps"]
    assert step["served"] == step["due"] == 300
    hist = HdrHistogram.decode(next(tmp_path.glob("step-*.latency.hlog")).read_text().split(",")[-1].strip())
    slow = sum(hist.get_count_at_index(k) for k in range(bucket(100_000), bucket(MAX_US)))
    assert slow >= 49  # due in the stall's first 100 ms, one each 2 ms; the machine's delays only add some
    assert hist.get_value_at_percentile(99) / 1000 == step["latency_ms"]["p99"]


def test_resets_and_garbage_are_counted_as_such() -> None:
    acts: list[tuple[Callable[[socket.socket, int], object], str]] = [
        (reset, "reset"), (lambda conn, _: conn.sendall(b"what?\r\n\r\n"), "failed"),
        (lambda conn, _: conn.sendall(b"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n"), "refused"),
        (half, "reset"),
    ]  # fmt: skip
    for act, end in acts:
        with stand(act) as port:
            _, told, _ = invoke(port, "--rate", "100", "--duration", "0.3")
        assert told["steps"][0][end] == told["steps"][0]["due"] == 30, end


def test_idle_connections_that_the_target_closes_cost_nothing() -> None:
    def act(conn: socket.socket, _: int) -> None:
        conn.sendall(OK)
        conn.shutdown(socket.SHUT_WR)  # without a word: a request that crosses it goes once more

    with stand(act) as port:
        _, told, _ = invoke(port)
    assert told["steps"][0]["served"] == told["steps"][0]["due"] == 300 <= told["steps"][0]["dials"]


def test_silence_times_out_and_is_in_the_latency() -> None:
    with stand(lambda conn, _: None) as port:
        _, told, _ = invoke(port, "--timeout-ms", "150", "--rate", "100")
    (step,) = told["steps"]
    # a worker that was kept from its CPU for so long gives them up before it sees them connected
    assert step["timed_out"] + step["not_connected"] == step["due"] == 60
    assert step["timed_out"] and step["latency_ms"]["p50"] >= 150


def test_a_target_that_goes_is_not_connected() -> None:
    with stand(lambda conn, _: conn.sendall(OK), only=1) as port:  # that one is the check's
        _, told, _ = invoke(port)
    assert told["steps"][0]["not_connected"] == told["steps"][0]["due"] == 300


def test_a_target_that_is_not_there_ends_it_before_anything_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("granitewell.cli.lab_load.Crew", lambda *_: pytest.fail("a worker was started"))
    with socket.socket() as gone:
        gone.bind(("127.0.0.1", 0))  # held, and nobody listens
        port = gone.getsockname()[1]
        code, told, err = invoke(port)
    assert code == 3 and not told and f"--target: nobody at 127.0.0.1:{port}" in err


def test_the_tools_own_cap_voids_with_exit_code_1() -> None:
    def act(conn: socket.socket, _: int) -> None:
        time.sleep(0.01)
        conn.sendall(OK)

    with stand(act) as port:
        code, told, err = invoke(port, "--connections", "1", "--hdr", os.devnull + "/x")
        assert code == 3 and "--hdr" in err
        code, told, err = invoke(port, "--connections", "1", "--rate", "400..600", "--steps", "2",
                                 "--timeout-ms", "300")  # fmt: skip
    assert code == 1 and "connection cap" in err and told["knee"]["why"] == "every figure is void"
    assert told["total"]["due"] == 0 and all(step["void"] for step in told["steps"])


def test_a_void_play_counts_until_the_same_rate_stands() -> None:
    tried = [run.Result(Step(k, 5.0, 1), Tally(), void, (), 0.0, 1.0) for k, void in ((1, ("x",)), (2, ()))]
    assert run.Outcome(tried[:1]).void == ["step 1 at 5/s: x"]
    assert not run.Outcome(tried).void and run.Outcome(tried, died=True).void


def test_a_dying_worker_voids_the_figure() -> None:
    with stand(lambda conn, _: conn.sendall(OK)) as port:
        crew = Crew(plan(targets=(Target("127.0.0.1", port),), workers=2), [None, None])
        try:
            killed = iter([lambda: os.kill(crew.pids[1], signal.SIGKILL)])
            todo = run.steps([200.0, 400.0], 30_000_000)
            outcome = run.play(crew, todo, 1_000_000, lambda: next(killed, lambda: None)(), lambda _: None)
        finally:
            crew.close()
    assert outcome.died and len(outcome.results) == 1
    assert "worker 2" in outcome.void[0] and "died: signal 9" in outcome.void[0]
    assert outcome.total.due == 0


def test_an_interruption_reports_what_there_is() -> None:
    seen = threading.Event()

    def act(conn: socket.socket, number: int) -> None:
        conn.sendall(OK)
        if number == 50:
            seen.set()

    with stand(act) as port:
        args = ["--target", f"127.0.0.1:{port}", "--rate", "300", "--duration", "600", "--json"]
        program = "from granitewell.cli.lab_load import load; load()"
        child = subprocess.Popen([sys.executable, "-c", program, *args], stdout=subprocess.PIPE)
        try:
            assert seen.wait(20)
            child.send_signal(signal.SIGINT)
            out, _ = child.communicate(timeout=20)
        finally:
            child.kill()
    told = json.loads(out)
    (step,) = told["steps"]
    assert child.returncode in (130, 1) and told["interrupted"] and step["stopped"]
    assert step["served"] >= 49 and step["seconds"] < 600
    assert sum(step[end.value] for end in End) == step["due"]


@pytest.mark.parametrize(
    ("args", "option"),
    [
        (["--target", "127.0.0.1"], "--target"), (["--target", "a:0"], "--target"),
        (["--target", "::1:80"], "--target"), (["--connections", "1", "--processes", "2"], "--connections"),
        (["--target", ""], "--target"), (["--against-bare", "2"], "--target"), (["--rate", "9..3"], "--rate"),
        (["--rate", "0"], "--rate"), (["--rate", "nan"], "--rate"), (["--rate", "1..2"], "--steps"),
        (["--steps", "3"], "--steps"), (["--sweep"], "--sweep"),
        (["--rate", "1..9", "--steps", "1"], "--steps"),
        (["--rate", "1..9", "--steps", "3", "--sweep"], "--steps"), (["--duration", "0"], "--duration"),
        (["--processes", "0"], "--processes"), (["--timeout-ms", "0"], "--timeout-ms"),
        (["--keys", "-1"], "--keys"),
        (["--connections", "0"], "--connections"), (["--class", "a:1:PUT"], "--class"),
        (["--class", "a:1:GET:7"], "--class"), (["--class", "a:1:POST:65537"], "--class"),
        (["--class", "a b:1:GET"], "--class"), (["--class", "a:0:GET"], "--class"),
        (["--tenant", "x:y"], "--tenant"),
        (["--path", "x"], "--path"), (["--path", "/a\r\nb"], "--path"), (["--arrivals", "no"], "--arrivals"),
        (["--nice", "40"], "--nice"), (["--rate", "x"], "--rate"), (["--seed", "x"], "--seed"),
    ],
)  # fmt: skip
def test_a_wrong_argument_is_named(args: list[str], option: str) -> None:
    code, told, err = invoke(1, *args)
    assert code == 2 and not told and option in err.splitlines()[-1]


def test_descriptors_are_asked_for_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (256, 1024))
    assert preflight.connections(None, 2) == 1024 - preflight.SPARE and preflight.connections(100, 2) == 50
    with pytest.raises(preflight.PreflightError, match=r"--connections: 4000 .* the limit is 1024"):
        preflight.connections(4000, 2)
