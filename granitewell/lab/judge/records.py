"""The records kept of a request: its client attempts, their upstream attempts, and what was observed.

They hold the open state of the checks and the shape of a violation, without rules or sums. Times are
microseconds since the day began.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Observation = tuple[Any, ...]  # (at, method, *args); a recording has the first two the other way round

MAX_HISTORY = 400  # observations kept per request, so that a node that sends endlessly cannot fill memory


class UpstreamAttempt:
    """An attempt that a node sent and an endpoint received completely."""

    __slots__ = ("ended_at", "endpoint", "node", "outcome", "ran_at", "sent_at", "work_us")

    def __init__(self, node: str, endpoint: str, sent_at: int) -> None:
        self.node, self.endpoint, self.sent_at = node, endpoint, sent_at
        self.ran_at = self.ended_at = -1
        self.work_us = 0.0
        self.outcome = ""  # as in Witness.ended; "" while outstanding


class ClientAttempt:
    """One attempt (first try or retry) as a client sent it.

    `closed` is "" while open, then `served`, `refused`, `failed`, `left`, `lost`, `cut` (its node was killed
    by the day), `unreached` (no node has taken it) or `unanswered`.
    """

    __slots__ = (
        "answers", "asked_at", "attempts", "closed", "closed_at", "request", "node", "ran", "rid", "taken_at",
        "timeout_us", "zone",
    )  # fmt: skip

    def __init__(self, rid: str, request: Request, asked_at: int, timeout_us: int, zone: int) -> None:
        self.rid, self.request, self.asked_at, self.timeout_us = rid, request, asked_at, timeout_us
        self.zone = zone
        self.node = self.closed = ""
        self.taken_at = self.closed_at = -1
        self.answers = self.ran = 0
        self.attempts: list[UpstreamAttempt] = []


class Request:
    """A first attempt with its retries; the unit by which value is scored."""

    __slots__ = (
        "rebooked_by", "is_double_booking", "asked_at", "original_ran", "cls", "earned", "first", "history",
        "open", "outstanding", "ran", "idle_number", "served", "tenant", "tries", "within_share", "value",
    )  # fmt: skip

    def __init__(self, first: str, cls: int, tenant: int, asked_at: int) -> None:
        self.first, self.cls, self.tenant, self.asked_at = first, cls, tenant, asked_at
        self.tries: list[ClientAttempt] = []
        self.history: list[Observation] = []
        self.open = self.outstanding = self.ran = (
            0  # open client attempts, outstanding upstream attempts, client attempts that have run
        )
        self.idle_number = 0  # identifies its latest idle period; 0: an attempt is open
        self.rebooked_by: Request | None = None  # the request that repeats this lost booking
        self.original_ran = False  # whether the lost booking that this one repeats has run
        self.is_double_booking = False  # already counted
        self.served = False
        self.within_share = True  # of its tenant's allowance
        self.value = self.earned = 0.0

    def add_observation(self, observation: Observation) -> None:
        """Add an observation to the history, up to MAX_HISTORY."""
        if len(self.history) < MAX_HISTORY:
            self.history.append(observation)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule. `history` continues to grow while its request is open."""

    at: int
    rule: str  # one of judge.RULES
    text: str
    rid: str = ""
    first: str = ""
    node: str = ""
    endpoint: str = ""
    history: list[Observation] = field(default_factory=list, compare=False)

    def as_dict(self) -> dict[str, Any]:
        """For JSON; each observation as `[at_us, method, ...]`."""
        return {
            "at": self.at, "rule": self.rule, "text": self.text, "rid": self.rid, "first": self.first,
            "node": self.node, "endpoint": self.endpoint, "history": [list(x) for x in self.history],
        }  # fmt: skip

    def lines(self) -> list[str]:
        """Text lines: the violation, then one line per observation."""
        head = f"{self.at / 1e6:.6f} s  {self.rule}: {self.text}"
        return [head, *(f"  {x[0] / 1e6:.6f} s  {x[1]} {' '.join(map(str, x[2:]))}" for x in self.history)]
