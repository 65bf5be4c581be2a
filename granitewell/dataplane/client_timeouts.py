"""How long a client waits for a stream, and when a client that was refused comes again. No I/O; in seconds.

A client gives a stream up after a silence, also before its first event. It does not come again then, unless
the stream may be resumed; after a refusal that promises that nothing ran it does.
"""

from __future__ import annotations

import math

from granitewell.domain.configuration import Route, RouteKind

MIN_IDLE_TIMEOUT_S = 2.0  # a client gives a stream up after the longest of this,
IDLE_TIMEOUT_TARGET_RATIO = 4.0  # so many times the route's target,
IDLE_TIMEOUT_GAP_RATIO = 8.0  # and so many times the longest pause between events
RESPONSE_MARGIN_S = 0.2  # for a refusal's way to the client

MIN_RETRY_AFTER_S = 0.3  # least time after which a client that waited for a model may come again
EARLY_RETRY_S = 1.0  # before the model is expected: it can wait so long again
MAX_RETRY_AFTER_RATIO = 1 / 3  # of a client's time: a later time is not kept
MAX_RETRY_AFTER_S = 2.0


def stream_idle_timeout_s(route: Route) -> float:
    """Return after how long a silence a client gives a request up."""
    if route.kind is not RouteKind.STREAMING:
        return math.inf
    target_s = (route.target_ms or route.timeout_ms) / 1000.0
    return max(
        MIN_IDLE_TIMEOUT_S,
        IDLE_TIMEOUT_TARGET_RATIO * target_s,
        IDLE_TIMEOUT_GAP_RATIO * route.gap_target_ms / 1000.0,
    )


def max_wait_for_model_s(route: Route, waited_s: float, longest_s: float) -> float:
    """Return how long a request may wait for a model, so that a refusal reaches a client that still waits.

    Args:
        route: Its route.
        waited_s: Time since it arrived.
        longest_s: How long it might wait otherwise.
    """
    return min(longest_s, stream_idle_timeout_s(route) - RESPONSE_MARGIN_S - waited_s)


def retry_after_missing_model_s(load_s: float, waited_s: float, left_s: float) -> float:
    """Return when a client should come again whose request waited for a model in vain.

    Args:
        load_s: Time that the model's load takes; 0 if only an adapter is missing.
        waited_s: How long the request has waited.
        left_s: The rest of the client's time.
    """
    wait_s = max(MIN_RETRY_AFTER_S, load_s - waited_s - EARLY_RETRY_S)
    return min(wait_s, MAX_RETRY_AFTER_S, max(MAX_RETRY_AFTER_RATIO * left_s, MIN_RETRY_AFTER_S))
