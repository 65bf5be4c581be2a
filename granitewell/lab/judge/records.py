"""What the judge remembers of a request: first try, tries, attempts, and everything seen of them.

It owns the shape of the judge's open state and of an offence, and must never judge or count. Times are
microseconds since the day began.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Observation = tuple[Any, ...]  # (at, method, *args), as in a recording but for the order of the first two

MAX_HISTORY = 400  # observations kept of one request: a node that sends without end must not fill memory


class UpstreamAttempt:
    """One attempt that has reached an endpoint whole."""

    __slots__ = ("ended_at", "endpoint", "node", "outcome", "ran_at", "sent_at", "work_us")

    def __init__(self, node: str, endpoint: str, sent_at: int) -> None:
        self.node, self.endpoint, self.sent_at = node, endpoint, sent_at
        self.ran_at = self.ended_at = -1
        self.work_us = 0.0
        self.outcome = ""  # of Witness.ended; "" while it is out


class ClientAttempt:
    """One try as a client sent it.

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
    """A first try with its further tries: what worth is counted by."""

    __slots__ = (
        "rebooked_by", "is_double_booking", "asked_at", "original_ran", "cls", "earned", "first", "history",
        "open", "outstanding", "ran", "idle_number", "served", "tenant", "tries", "within_share", "value",
    )  # fmt: skip

    def __init__(self, first: str, cls: int, tenant: int, asked_at: int) -> None:
        self.first, self.cls, self.tenant, self.asked_at = first, cls, tenant, asked_at
        self.tries: list[ClientAttempt] = []
        self.history: list[Observation] = []
        self.open = self.outstanding = self.ran = 0  # tries open, attempts out, tries that have run
        self.idle_number = 0  # number of the time since which nothing has happened to it; 0: a try is open
        self.rebooked_by: Request | None = None  # what makes this lost booking anew, and
        self.original_ran = False  # whether the one that this makes anew has run
        self.is_double_booking = False  # counted as a double booking
        self.served = False
        self.within_share = True  # its tenant's share
        self.value = self.earned = 0.0

    def add_observation(self, observation: Observation) -> None:
        """Keep one more observation, as far as there is room."""
        if len(self.history) < MAX_HISTORY:
            self.history.append(observation)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule. `history` goes on filling while its request is open."""

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
        """For a person: what was broken, then the history, a line each."""
        head = f"{self.at / 1e6:.6f} s  {self.rule}: {self.text}"
        return [head, *(f"  {x[0] / 1e6:.6f} s  {x[1]} {' '.join(map(str, x[2:]))}" for x in self.history)]
