"""What is seen of a day: the one stream of observations that the judge, recordings and reports are fed by.

It owns the names and shapes of the observations and must never hold a rule. In virtual time the world calls
the methods as things pass; on sockets each stand-in writes them as JSON lines (one `[method, at_us, ...]`
list a line) which `replay` merges by time. What is observed is what really passed: bytes at the stand-ins and
clients, never what a node says of itself. Times are microseconds since the day began, on one clock.
"""

from __future__ import annotations

from typing import Protocol


class Witness(Protocol):
    """Observations of one day.

    Ids: `rid` a request as sent (each try has its own), `first` the rid of the first try that it belongs to;
    endpoints and nodes go by name; `inc` counts a name's process starts.
    """

    def asked(
        self,
        at: int,
        rid: str,
        first: str,
        cls: int,
        tenant: int,
        key: int,
        zone: int,
        timeout_us: int,
        rebooks: str = "",
    ) -> None:
        """A client has decided to send this try (it may not reach any node).

        Args:
            rebooks: The first try of a lost booking that this first try makes anew.
        """

    def taken(self, at: int, rid: str, node: str) -> None:
        """The try's last byte was written to a connection that the node's machine had accepted.

        Seen once more, with the node of then, where the client sends it again because the first node had
        closed the connection between requests: from then on it is the other's.
        """

    def answered(
        self, at: int, rid: str, node: str, verdict: str, retry_after_us: int, right_body: bool
    ) -> None:
        """The client has the last byte of a final answer: `served`, `refused` or `failed`.

        `right_body`: a served body is, byte for byte, one that an endpoint made for this rid.
        """

    def left(self, at: int, rid: str) -> None:
        """The client has given this try up and closed its connection; what is not owed by now never will be.

        One whose time was over has listened on for the rules' slack: an answer until then is `answered`.
        """

    def lost(self, at: int, rid: str, node: str, why: str) -> None:
        """The node ended the connection without a whole answer, though it had taken the try."""

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery has written to the node that the endpoint is `ready`, `draining` or `gone`."""

    def dialed(self, at: int, node: str, endpoint: str) -> None:
        """A new connection from a node has come up at an endpoint."""

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        """An attempt's last byte has arrived at an endpoint."""

    def ran(self, at: int, rid: str, endpoint: str, work_us: float) -> None:
        """An endpoint has begun to work on an attempt (whatever becomes of it); work at speed 1."""

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        """An endpoint is done with an attempt.

        `ok`, `error`, `full`, `dropped` (its waiting work was cancelled), `stopped` (running work was),
        `died`, `hung`, `spoilt`.
        """

    def probed(self, at: int, node: str, endpoint: str) -> None:
        """A probe has arrived."""

    def endpoint_up(
        self, at: int, endpoint: str, inc: int, zone: int, capacity: float, cold_from: float, cold_us: int
    ) -> None:
        """A process started, with this warm capacity (work units a microsecond = cores * speed).

        Cold_us 0: it is warm at once.
        """

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """Its process is gone: `stopped`, `killed`, `fell` (pushed over while cold), `cut`."""

    def node_up(self, at: int, node: str, zone: int) -> None:
        """A node's process has been started."""

    def node_ready(self, at: int, node: str) -> None:
        """Its ready path has answered 200 for the first time since its start."""

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM was sent to it."""

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """Its process is gone: planned after SIGTERM or by the day's own kill; else it has crashed."""

    def fault(self, at: int, index: int, begins: bool) -> None:
        """The day's fault of this index begins or ends."""
