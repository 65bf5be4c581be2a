"""The rows of the core's tables: calls, requests and endpoints.

They hold state only. The rules that change it are in the reducer.
"""

from __future__ import annotations

from granitewell.balancing import interface as t
from granitewell.balancing.interface import Outcome
from granitewell.core.types import DiscoveredEndpoint, RequestReceived


class Call:
    """One outbound call: an attempt of a request."""

    __slots__ = ("address", "started_at_us", "dialing", "due_us", "endpoint", "id", "number", "outcome",
                 "request", "response_started")  # fmt: skip

    def __init__(
        self, call_id: int, request: PendingRequest, number: int, endpoint: Endpoint, at: int, due: int
    ) -> None:
        self.id, self.request, self.number, self.endpoint = call_id, request, number, endpoint
        self.started_at_us, self.due_us = at, due
        self.address = endpoint.member.address  # fixed for the call, even if the endpoint moves meanwhile
        self.outcome: Outcome | None = None
        self.dialing = False
        self.response_started = False  # the response is being streamed in parts


class PendingRequest:
    """A request that was accepted; open until its final response."""

    __slots__ = ("attempts", "calls", "request_class", "due_us", "body_incomplete", "given_up", "id",
                 "downstream_id", "body_released", "message", "client_request_id", "body_streamed", "open",
                 "response_started", "timeout_us")  # fmt: skip

    def __init__(
        self,
        request_id: int,
        event: RequestReceived,
        request_class: t.RequestClass,
        due: int,
        wait: int,
        attempts: int,
    ) -> None:
        self.attempts = attempts  # upper bound; fixed when the request arrives, like its class
        self.id, self.downstream_id, self.request_class, self.due_us = (
            request_id,
            event.downstream_id,
            request_class,
            due,
        )
        self.message, self.client_request_id = event.message, event.client_request_id
        self.calls: list[Call] = []
        self.open = True
        # how long the client waits; if the body is streamed, counted from its last byte
        self.timeout_us = wait
        self.body_streamed = event.body_incomplete  # the body is buffered once, for one call at a time
        self.body_incomplete = event.body_incomplete  # the body is still arriving
        self.body_released = False  # the beginning of the body is no longer buffered
        self.given_up = False  # the balancer gave up while the body was still arriving
        self.response_started = False  # the response to the client has begun


class Endpoint:
    """What discovery last said of one endpoint."""

    __slots__ = ("member", "unavailable_since_us")

    def __init__(self, member: DiscoveredEndpoint) -> None:
        self.member = member
        self.unavailable_since_us = -1  # when it became draining or gone; -1 while it is ready
