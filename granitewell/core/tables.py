"""The rows of the core's tables: calls, requests, endpoints.

It owns what is remembered of each. It must never hold a rule: those are the reducer's.
"""

from __future__ import annotations

from granitewell.balancing import interface as t
from granitewell.balancing.interface import Outcome
from granitewell.core.types import Arrived, Member


class Call:
    """One outbound call: an attempt of a request."""

    __slots__ = ("address", "at_us", "dialing", "due_us", "endpoint", "id", "number", "outcome", "request",
                 "streams")  # fmt: skip

    def __init__(self, cid: int, request: Held, number: int, endpoint: Endpoint, at: int, due: int) -> None:
        self.id, self.request, self.number, self.endpoint = cid, request, number, endpoint
        self.at_us, self.due_us = at, due
        self.address = endpoint.member.address  # to which it goes, whatever the list says meanwhile
        self.outcome: Outcome | None = None
        self.dialing = False
        self.streams = False  # its answer has begun and follows in parts


class Held:
    """A request that has been taken; open until its final answer."""

    __slots__ = ("attempts", "calls", "cls", "due_us", "flows", "forgotten", "id", "inbound", "let_go",
                 "message", "name", "one_feed", "open", "streams", "wait_us")  # fmt: skip

    def __init__(
        self, rid: int, event: Arrived, cls: t.RequestClass, due: int, wait: int, attempts: int
    ) -> None:
        self.attempts = attempts  # at most; as of its arrival, like its class
        self.id, self.inbound, self.cls, self.due_us = rid, event.inbound, cls, due
        self.message, self.name = event.message, event.name
        self.calls: list[Call] = []
        self.open = True
        self.wait_us = wait  # for which its client waits, at most; of a body that flows, from its last byte
        self.one_feed = event.flows  # its body is held once, and feeds one call at a time
        self.flows = event.flows  # it has not come whole yet
        self.let_go = False  # nor is its beginning held any more
        self.forgotten = False  # the module has given it up while its body was on the way
        self.streams = False  # its answer has begun


class Endpoint:
    """What discovery last said of one endpoint."""

    __slots__ = ("member", "told_us")

    def __init__(self, member: Member) -> None:
        self.member = member
        self.told_us = -1  # since when it is known to drain or be gone; -1: it is ready
