"""The rows of the core's tables: calls, requests, endpoints.

It owns what is remembered of each. It must never hold a rule: those are the reducer's.
"""

from __future__ import annotations

from granitewell.balancing import interface as t
from granitewell.balancing.interface import Outcome
from granitewell.core.types import DiscoveredEndpoint, RequestReceived


class Call:
    """One outbound call: an attempt of a request."""

    __slots__ = ("address", "at_us", "dialing", "due_us", "endpoint", "id", "number", "outcome", "request",
                 "response_started")  # fmt: skip

    def __init__(
        self, call_id: int, request: PendingRequest, number: int, endpoint: Endpoint, at: int, due: int
    ) -> None:
        self.id, self.request, self.number, self.endpoint = call_id, request, number, endpoint
        self.at_us, self.due_us = at, due
        self.address = endpoint.member.address  # to which it goes, whatever the list says meanwhile
        self.outcome: Outcome | None = None
        self.dialing = False
        self.response_started = False  # its answer has begun and follows in parts


class PendingRequest:
    """A request that has been taken; open until its final answer."""

    __slots__ = ("attempts", "calls", "cls", "due_us", "body_incomplete", "given_up", "id", "downstream_id",
                 "body_released", "message", "client_request_id", "body_streamed", "open", "response_started",
                 "timeout_us")  # fmt: skip

    def __init__(
        self, request_id: int, event: RequestReceived, cls: t.RequestClass, due: int, wait: int, attempts: int
    ) -> None:
        self.attempts = attempts  # at most; as of its arrival, like its class
        self.id, self.downstream_id, self.cls, self.due_us = request_id, event.downstream_id, cls, due
        self.message, self.client_request_id = event.message, event.client_request_id
        self.calls: list[Call] = []
        self.open = True
        # for which its client waits, at most; of a body that flows, from its last byte
        self.timeout_us = wait
        self.body_streamed = event.body_incomplete  # its body is held once, and feeds one call at a time
        self.body_incomplete = event.body_incomplete  # it has not come whole yet
        self.body_released = False  # nor is its beginning held any more
        self.given_up = False  # the module has given it up while its body was on the way
        self.response_started = False  # its answer has begun


class Endpoint:
    """What discovery last said of one endpoint."""

    __slots__ = ("member", "unavailable_since_us")

    def __init__(self, member: DiscoveredEndpoint) -> None:
        self.member = member
        self.unavailable_since_us = -1  # since when it is known to drain or be gone; -1: it is ready
