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
from granitewell.lab.judge.fault_exemptions import FaultExemptions
from granitewell.lab.judge.records import ClientAttempt
from granitewell.lab.judge.violations import ViolationLog

LOSS_EXPLANATION_US = (
    500_000  # between a lost connection and the news that the process has gone, and the other way
)
STOP_INTAKE_US = 700_000  # after SIGTERM; what comes later a stopping node has to keep out


class _NodeProcess:
    """One name's process, as far as it matters here."""

    __slots__ = ("down_at", "end_reason", "open_attempts", "stopping_at", "unexplained_losses")

    def __init__(self) -> None:
        self.stopping_at = self.down_at = -1
        self.end_reason = ""  # crash, day, ended, killed; "" while it is up
        self.open_attempts: dict[str, ClientAttempt] = {}
        self.unexplained_losses: list[tuple[int, ClientAttempt, str]] = []  # lost, and not yet known why


class ResponseRules:
    """Judges each try. `on_close(try, at)` is called once for each, with `closed` set."""

    def __init__(
        self,
        day: Day,
        violations: ViolationLog,
        exemptions: FaultExemptions,
        on_close: Callable[[ClientAttempt, int], None],
    ) -> None:
        self._violations, self._on_close, self._slack_us = violations, on_close, day.rules.slack_us
        self._exemptions = exemptions
        self._nodes: dict[str, _NodeProcess] = {n.name: _NodeProcess() for n in day.nodes}

    # --- Tries ------------------------------------------------------------------------------------------
    def asked(self, client_attempt: ClientAttempt) -> None:
        """A client sends it; it may not reach a node."""
        due = client_attempt.asked_at + client_attempt.timeout_us + self._slack_us
        self._violations.schedule(due, self._check_due, client_attempt, due)

    def taken(self, at: int, client_attempt: ClientAttempt, node: str) -> None:
        """It is the node's now."""
        if client_attempt.closed and client_attempt.closed != "unreached":
            return
        if (
            client_attempt.closed
        ):  # the connection took longer than its time: it is owed an answer all the same
            client_attempt.closed, client_attempt.closed_at = "", -1
            client_attempt.request.open += 1
            due = at + client_attempt.timeout_us + self._slack_us
            self._violations.schedule(due, self._check_due, client_attempt, due)
        if (
            client_attempt.node
        ):  # sent once more on another connection, since the first was closed between requests
            self._node(client_attempt.node).open_attempts.pop(client_attempt.rid, None)
        client_attempt.node, client_attempt.taken_at = node, at
        process = self._node(node)
        if process.end_reason:
            self._close_after_exit(at, client_attempt, process)
        else:
            process.open_attempts[client_attempt.rid] = client_attempt

    def answered(
        self, at: int, client_attempt: ClientAttempt, node: str, verdict: str, right_body: bool
    ) -> bool:
        """A final answer is whole; whether it is the one that counts."""
        client_attempt.answers += 1
        if client_attempt.answers > 1:
            self._violations.record(
                at,
                "answer",
                f"answer {client_attempt.answers}: `{verdict}` after `{client_attempt.closed}`",
                client_attempt,
            )
            return False
        if verdict == "served" and not right_body:
            self._violations.record(
                at, "body", "served with a body that no endpoint made for it", client_attempt, node=node
            )
        if client_attempt.closed:  # too late, or nobody waits for it any more
            return False
        client_attempt.node = client_attempt.node or node
        self._close(at, client_attempt, verdict)
        return True

    def left(self, at: int, client_attempt: ClientAttempt) -> None:
        """The client leaves. Early, nothing more is owed; else its answer was due and is waited for."""
        if not client_attempt.closed and at < client_attempt.asked_at + client_attempt.timeout_us:
            self._close(at, client_attempt, "left")

    def lost(self, at: int, client_attempt: ClientAttempt, node: str, why: str) -> None:
        """The connection ended without an answer."""
        if client_attempt.closed:
            return
        process = self._node(node)
        process.open_attempts.pop(client_attempt.rid, None)
        if process.end_reason:
            self._close_after_exit(at, client_attempt, process)
            return
        process.unexplained_losses.append((at, client_attempt, why))
        client_attempt.closed, client_attempt.closed_at = "lost", at  # closed for good once it is known why
        self._violations.schedule(at + LOSS_EXPLANATION_US, self._record_unexplained_losses, process)

    def _check_due(self, client_attempt: ClientAttempt, when: int) -> None:
        if client_attempt.closed:
            return
        due = client_attempt.taken_at + client_attempt.timeout_us + self._slack_us
        if client_attempt.taken_at < 0:
            self._close(when, client_attempt, "unreached")
        elif due > when:
            self._violations.schedule(due, self._check_due, client_attempt, due)
        else:
            if not self._exemptions.exempts_response(client_attempt, due):
                self._violations.record(due, "answer", "no answer in its time and the slack", client_attempt)
            self._close(due, client_attempt, "unanswered")

    def _close(self, at: int, client_attempt: ClientAttempt, end_reason: str) -> None:
        client_attempt.closed, client_attempt.closed_at = end_reason, at
        process = self._nodes.get(client_attempt.node)
        if process is not None:
            process.open_attempts.pop(client_attempt.rid, None)
        self._on_close(client_attempt, at)

    # --- Processes --------------------------------------------------------------------------------------
    def node_up(self, node: str) -> None:
        """A new process: nothing is held against it yet."""
        process = self._node(node)
        process.stopping_at, process.down_at, process.end_reason = -1, -1, ""

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM was sent to it."""
        self._node(node).stopping_at = at

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """Its process is gone, and with it what it held."""
        process = self._node(node)
        process.down_at = at
        if not planned:
            process.end_reason = "crash"
            self._violations.record(at, "crash", f"the node ended by itself with code {code}", node=node)
        elif process.stopping_at < 0:
            process.end_reason = "day"
        else:
            process.end_reason = "killed" if code < 0 else "ended"
        unexplained_losses, process.unexplained_losses = process.unexplained_losses, []
        for lost_at, client_attempt, _ in unexplained_losses:
            self._close_after_exit(lost_at, client_attempt, process)
        for client_attempt in list(process.open_attempts.values()):
            if self._is_node_at_fault(client_attempt, process):
                del process.open_attempts[
                    client_attempt.rid
                ]  # a next process of that name has nothing to do with it
                self._violations.schedule(
                    at + LOSS_EXPLANATION_US, self._check_unanswered_at_exit, client_attempt, at
                )
            else:
                self._close_after_exit(at, client_attempt, process)

    def _check_unanswered_at_exit(self, client_attempt: ClientAttempt, ended_at: int) -> None:
        """No client has told of an answer that was on its way when the node ended."""
        if not client_attempt.closed:
            self._record_lost_at_exit(ended_at, client_attempt)

    def _record_lost_at_exit(self, at: int, client_attempt: ClientAttempt) -> None:
        self._violations.record(
            at, "lost", "its node had been asked to stop and ended without an answer", client_attempt
        )
        self._close(at, client_attempt, "lost")

    def _close_after_exit(self, at: int, client_attempt: ClientAttempt, process: _NodeProcess) -> None:
        """A try whose node's process is gone."""
        if self._is_node_at_fault(client_attempt, process):
            self._record_lost_at_exit(at, client_attempt)
        else:
            self._close(at, client_attempt, "lost" if process.end_reason == "crash" else "cut")

    def _is_node_at_fault(self, client_attempt: ClientAttempt, process: _NodeProcess) -> bool:
        """Whether the node broke the rule by ending without an answer to this try."""
        if process.end_reason == "killed":
            return client_attempt.taken_at > process.stopping_at + STOP_INTAKE_US
        return process.end_reason == "ended"

    def _record_unexplained_losses(self, process: _NodeProcess) -> None:
        """No news of the node's end has come in time for the first of the lost ones."""
        while (
            process.unexplained_losses
            and process.unexplained_losses[0][0] + LOSS_EXPLANATION_US <= self._violations.now_us
        ):
            at, client_attempt, why = process.unexplained_losses.pop(0)
            self._violations.record(
                at, "lost", f"the node ended the connection without an answer: {why}", client_attempt
            )
            self._close(at, client_attempt, "lost")

    def _node(self, name: str) -> _NodeProcess:
        process = self._nodes.get(name)
        if process is None:
            process = self._nodes[name] = _NodeProcess()
        return process
