"""How long clients wait for a stream, and when a rejected client should retry. No I/O; times in seconds.

A client abandons a stream that has been idle for too long, also before the first event, and doesn't retry
unless the stream can be resumed. It does retry after a rejection that promises that nothing was executed.
"""

from __future__ import annotations

import math

from granitewell.domain.configuration import Route, RouteKind

# A client abandons a stream after the longest of these idle times:
MIN_IDLE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_TARGET_RATIO = 4.0  # multiple of the route's latency target
IDLE_TIMEOUT_GAP_RATIO = 8.0  # multiple of the route's target for the gap between two events
RESPONSE_MARGIN_S = 0.2  # time for a rejection to reach the client

MIN_RETRY_AFTER_S = 0.3  # after waiting for a model
EARLY_RETRY_S = 1.0  # before the model is expected to be loaded: a retry can wait that long again
MAX_RETRY_AFTER_RATIO = 1 / 3  # of the time that the client has left; it would not follow a later one
MAX_RETRY_AFTER_S = 2.0


def stream_idle_timeout_s(route: Route) -> float:
    """Return the idle time after which a client abandons a request; infinite for routes without streams."""
    if route.kind is not RouteKind.STREAMING:
        return math.inf
    target_s = (route.target_ms or route.timeout_ms) / 1000.0
    return max(
        MIN_IDLE_TIMEOUT_S,
        IDLE_TIMEOUT_TARGET_RATIO * target_s,
        IDLE_TIMEOUT_GAP_RATIO * route.gap_target_ms / 1000.0,
    )


def max_wait_for_model_s(route: Route, waited_s: float, longest_s: float) -> float:
    """Return how long a request may wait for a model, so that a rejection still reaches the client.

    Args:
        route: Its route.
        waited_s: Time since it arrived.
        longest_s: Upper limit of the wait.
    """
    return min(longest_s, stream_idle_timeout_s(route) - RESPONSE_MARGIN_S - waited_s)


def retry_after_missing_model_s(load_s: float, waited_s: float, remaining_s: float) -> float:
    """Return the Retry-After of a request that waited for a model in vain.

    Args:
        load_s: Time to load the model; 0 if only an adapter is missing.
        waited_s: How long the request has waited.
        remaining_s: Time until the client's deadline.
    """
    wait_s = max(MIN_RETRY_AFTER_S, load_s - waited_s - EARLY_RETRY_S)
    return min(wait_s, MAX_RETRY_AFTER_S, max(MAX_RETRY_AFTER_RATIO * remaining_s, MIN_RETRY_AFTER_S))
