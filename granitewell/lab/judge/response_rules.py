"""The response rules: each client attempt that a node took gets exactly one complete response in time.

The rules track client attempts and node processes; upstream attempts are checked in `attempt_rules`. An
attempt is taken once its last byte is written to a connection that the node's machine has accepted. Its
response is due `timeout + slack` later, because PROTOCOL counts a request's time from its last byte. A client
that leaves before its timeout is owed nothing; one that leaves later has waited in vain. When a node's
process ends, its open attempts are treated by the way it ended:

    how it ended                              open attempts
    by itself, with any code (crash)          lost with it: the crash is the violation
    killed by the day                         nothing more is owed (`cut`)
    SIGTERM, then ended by itself             lost, each a violation
    SIGTERM, then SIGKILL (code below 0)      taken up to 700 ms after SIGTERM: cut; later: lost

A client may report a broken connection before the world reports the end of the process, and the world may
report that end before a client reports a response that was sent in time. `lost` is therefore decided half a
second later.
"""

from __future__ import annotations

from collections.abc import Callable

from granitewell.lab.day import Day
from granitewell.lab.judge.fault_exemptions import FaultExemptions
from granitewell.lab.judge.records import ClientAttempt
from granitewell.lab.judge.violations import ViolationLog

LOSS_EXPLANATION_US = 500_000  # between reports of a lost connection and of its process, in either order
STOP_INTAKE_US = 700_000  # after SIGTERM; a stopping node must not accept later attempts


class _NodeProcess:
    """The state of one node name's current process."""

    __slots__ = ("down_at", "end_reason", "open_attempts", "stopping_at", "unexplained_losses")

    def __init__(self) -> None:
        self.stopping_at = self.down_at = -1
        self.end_reason = ""  # crash, day, ended, killed; "" while it is up
        self.open_attempts: dict[str, ClientAttempt] = {}
        self.unexplained_losses: list[tuple[int, ClientAttempt, str]] = []  # lost, cause not known yet


class ResponseRules:
    """Checks each client attempt and calls `on_close(attempt, at)` once for it, with `closed` set."""

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

    # --- Client attempts --------------------------------------------------------------------------------
    def asked(self, client_attempt: ClientAttempt) -> None:
        """A client sends the attempt; it may not reach a node."""
        due = client_attempt.asked_at + client_attempt.timeout_us + self._slack_us
        self._violations.schedule(due, self._check_due, client_attempt, due)

    def taken(self, at: int, client_attempt: ClientAttempt, node: str) -> None:
        """The node has taken the attempt and owes a response."""
        if client_attempt.closed and client_attempt.closed != "unreached":
            return
        if client_attempt.closed:
            # connecting took longer than the timeout: a response is owed all the same
            client_attempt.closed, client_attempt.closed_at = "", -1
            client_attempt.request.open += 1
            due = at + client_attempt.timeout_us + self._slack_us
            self._violations.schedule(due, self._check_due, client_attempt, due)
        if client_attempt.node:
            # sent again on another connection because the first was closed between requests
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
        """A complete final response arrived; returns whether it is the one that counts."""
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
        if client_attempt.closed:  # too late, or the client no longer waits
            return False
        client_attempt.node = client_attempt.node or node
        self._close(at, client_attempt, verdict)
        return True

    def left(self, at: int, client_attempt: ClientAttempt) -> None:
        """The client leaves. Before its timeout nothing more is owed; later the response is still due."""
        if not client_attempt.closed and at < client_attempt.asked_at + client_attempt.timeout_us:
            self._close(at, client_attempt, "left")

    def lost(self, at: int, client_attempt: ClientAttempt, node: str, why: str) -> None:
        """The connection ended without a response."""
        if client_attempt.closed:
            return
        process = self._node(node)
        process.open_attempts.pop(client_attempt.rid, None)
        if process.end_reason:
            self._close_after_exit(at, client_attempt, process)
            return
        process.unexplained_losses.append((at, client_attempt, why))
        client_attempt.closed, client_attempt.closed_at = "lost", at  # reported once the cause is known
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
        """A new process starts with a clean state."""
        process = self._node(node)
        process.stopping_at, process.down_at, process.end_reason = -1, -1, ""

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM was sent to the node."""
        self._node(node).stopping_at = at

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """The node's process ended, and its open attempts with it."""
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
                ]  # the next process of that name is not responsible
                self._violations.schedule(
                    at + LOSS_EXPLANATION_US, self._check_unanswered_at_exit, client_attempt, at
                )
            else:
                self._close_after_exit(at, client_attempt, process)

    def _check_unanswered_at_exit(self, client_attempt: ClientAttempt, ended_at: int) -> None:
        """Record a violation unless a client reported a response that was in flight when the node ended."""
        if not client_attempt.closed:
            self._record_lost_at_exit(ended_at, client_attempt)

    def _record_lost_at_exit(self, at: int, client_attempt: ClientAttempt) -> None:
        self._violations.record(
            at, "lost", "its node had been asked to stop and ended without an answer", client_attempt
        )
        self._close(at, client_attempt, "lost")

    def _close_after_exit(self, at: int, client_attempt: ClientAttempt, process: _NodeProcess) -> None:
        """Close an attempt whose node process has ended."""
        if self._is_node_at_fault(client_attempt, process):
            self._record_lost_at_exit(at, client_attempt)
        else:
            self._close(at, client_attempt, "lost" if process.end_reason == "crash" else "cut")

    def _is_node_at_fault(self, client_attempt: ClientAttempt, process: _NodeProcess) -> bool:
        """Whether the node broke the rule by ending without a response to this attempt."""
        if process.end_reason == "killed":
            return client_attempt.taken_at > process.stopping_at + STOP_INTAKE_US
        return process.end_reason == "ended"

    def _record_unexplained_losses(self, process: _NodeProcess) -> None:
        """Record losses for which no end of the node's process was reported in time."""
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
