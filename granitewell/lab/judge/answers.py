"""The rule on answers: exactly one for each try that a node has taken, in time, whole, and unchanged.

It owns that rule and the life of tries and node processes. It must never look at attempts, which are
repeats', or count. A try is taken once its last byte is written to a connection that the node's machine has
accepted, and is owed its answer until `timeout + slack` after that (PROTOCOL counts a request's time from its
last byte). Nothing is owed to a client that leaves before its time is over; one that leaves later has waited
in vain. Where a node's process is gone:

    how it went                               tries that it held
    by itself, with any code (crash)          lost with it: the crash is the offence
    killed by the day                         nothing more is owed (`cut`)
    SIGTERM, then ended by itself             lost, each an offence
    SIGTERM, then SIGKILL (code below 0)      taken up to 700 ms after SIGTERM: cut; later: lost

A client may write that its connection broke before the world writes that the process is gone, and the world
that it is gone before a client writes of an answer that went out in time: `lost` is judged half a second
later.
"""

from __future__ import annotations

from collections.abc import Callable

from granitewell.lab.day import Day
from granitewell.lab.judge.excuses import Excuses
from granitewell.lab.judge.offence_agenda import Desk
from granitewell.lab.judge.records import Try

LOST_WAIT_US = 500_000  # between a lost connection and the news that the process has gone, and the other way
STOP_TAKES_US = 700_000  # after SIGTERM; what comes later a stopping node has to keep out


class _Node:
    """One name's process, as far as it matters here."""

    __slots__ = ("down_at", "how", "open", "stopping_at", "waiting")

    def __init__(self) -> None:
        self.stopping_at = self.down_at = -1
        self.how = ""  # crash, day, ended, killed; "" while it is up
        self.open: dict[str, Try] = {}
        self.waiting: list[tuple[int, Try, str]] = []  # lost, and not yet known why


class Answers:
    """Judges each try. `on_close(try, at)` is called once for each, with `closed` set."""

    def __init__(self, day: Day, desk: Desk, excuses: Excuses, on_close: Callable[[Try, int], None]) -> None:
        self._desk, self._on_close, self._slack_us = desk, on_close, day.rules.slack_us
        self._excuses = excuses
        self._nodes: dict[str, _Node] = {n.name: _Node() for n in day.nodes}

    # --- Tries ------------------------------------------------------------------------------------------
    def asked(self, of: Try) -> None:
        """A client sends it; it may not reach a node."""
        due = of.asked_at + of.timeout_us + self._slack_us
        self._desk.at(due, self._due, of, due)

    def taken(self, at: int, of: Try, node: str) -> None:
        """It is the node's now."""
        if of.closed and of.closed != "unreached":
            return
        if of.closed:  # the connection took longer than its time: it is owed an answer all the same
            of.closed, of.closed_at = "", -1
            of.group.open += 1
            due = at + of.timeout_us + self._slack_us
            self._desk.at(due, self._due, of, due)
        if of.node:  # sent once more on another connection, since the first was closed between requests
            self._node(of.node).open.pop(of.rid, None)
        of.node, of.taken_at = node, at
        held = self._node(node)
        if held.how:
            self._gone(at, of, held)
        else:
            held.open[of.rid] = of

    def answered(self, at: int, of: Try, node: str, verdict: str, right_body: bool) -> bool:
        """A final answer is whole; whether it is the one that counts."""
        of.answers += 1
        if of.answers > 1:
            self._desk.accuse(at, "answer", f"answer {of.answers}: `{verdict}` after `{of.closed}`", of)
            return False
        if verdict == "served" and not right_body:
            self._desk.accuse(at, "body", "served with a body that no endpoint made for it", of, node=node)
        if of.closed:  # too late, or nobody waits for it any more
            return False
        of.node = of.node or node
        self._close(at, of, verdict)
        return True

    def left(self, at: int, of: Try) -> None:
        """The client leaves. Early, nothing more is owed; else its answer was due and is waited for."""
        if not of.closed and at < of.asked_at + of.timeout_us:
            self._close(at, of, "left")

    def lost(self, at: int, of: Try, node: str, why: str) -> None:
        """The connection ended without an answer."""
        if of.closed:
            return
        held = self._node(node)
        held.open.pop(of.rid, None)
        if held.how:
            self._gone(at, of, held)
            return
        held.waiting.append((at, of, why))
        of.closed, of.closed_at = "lost", at  # closed for good once it is known why
        self._desk.at(at + LOST_WAIT_US, self._not_excused, held)

    def _due(self, of: Try, when: int) -> None:
        if of.closed:
            return
        due = of.taken_at + of.timeout_us + self._slack_us
        if of.taken_at < 0:
            self._close(when, of, "unreached")
        elif due > when:
            self._desk.at(due, self._due, of, due)
        else:
            if not self._excuses.answer(of, due):
                self._desk.accuse(due, "answer", "no answer in its time and the slack", of)
            self._close(due, of, "unanswered")

    def _close(self, at: int, of: Try, how: str) -> None:
        of.closed, of.closed_at = how, at
        held = self._nodes.get(of.node)
        if held is not None:
            held.open.pop(of.rid, None)
        self._on_close(of, at)

    # --- Processes --------------------------------------------------------------------------------------
    def node_up(self, node: str) -> None:
        """A new process: nothing is held against it yet."""
        held = self._node(node)
        held.stopping_at, held.down_at, held.how = -1, -1, ""

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM was sent to it."""
        self._node(node).stopping_at = at

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """Its process is gone, and with it what it held."""
        held = self._node(node)
        held.down_at = at
        if not planned:
            held.how = "crash"
            self._desk.accuse(at, "crash", f"the node ended by itself with code {code}", node=node)
        elif held.stopping_at < 0:
            held.how = "day"
        else:
            held.how = "killed" if code < 0 else "ended"
        waiting, held.waiting = held.waiting, []
        for lost_at, of, _ in waiting:
            self._gone(lost_at, of, held)
        for of in list(held.open.values()):
            if self._blamed(of, held):
                del held.open[of.rid]  # a next process of that name has nothing to do with it
                self._desk.at(at + LOST_WAIT_US, self._no_word, of, at)
            else:
                self._gone(at, of, held)

    def _no_word(self, of: Try, ended_at: int) -> None:
        """No client has told of an answer that was on its way when the node ended."""
        if not of.closed:
            self._accuse_ended(ended_at, of)

    def _accuse_ended(self, at: int, of: Try) -> None:
        self._desk.accuse(at, "lost", "its node had been asked to stop and ended without an answer", of)
        self._close(at, of, "lost")

    def _gone(self, at: int, of: Try, held: _Node) -> None:
        """A try whose node's process is gone."""
        if self._blamed(of, held):
            self._accuse_ended(at, of)
        else:
            self._close(at, of, "lost" if held.how == "crash" else "cut")

    def _blamed(self, of: Try, held: _Node) -> bool:
        """Whether the node broke the rule by ending without an answer to this try."""
        if held.how == "killed":
            return of.taken_at > held.stopping_at + STOP_TAKES_US
        return held.how == "ended"

    def _not_excused(self, held: _Node) -> None:
        """No news of the node's end has come in time for the first of the lost ones."""
        while held.waiting and held.waiting[0][0] + LOST_WAIT_US <= self._desk.now_us:
            at, of, why = held.waiting.pop(0)
            self._desk.accuse(at, "lost", f"the node ended the connection without an answer: {why}", of)
            self._close(at, of, "lost")

    def _node(self, name: str) -> _Node:
        held = self._nodes.get(name)
        if held is None:
            held = self._nodes[name] = _Node()
        return held
