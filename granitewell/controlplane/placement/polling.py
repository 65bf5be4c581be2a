"""Schedule of the polls for the servers' reports. No I/O."""

from __future__ import annotations

from random import Random

from granitewell.controlplane.placement.observation import ServerRecord
from granitewell.controlplane.placement.orders import ReportFailure

POLL_INTERVAL_S = 1.0  # without an order; a report costs a server as much as a health probe
REFUSED_POLL_INTERVAL_S = 0.25  # after a refused connection
TIMEOUT_POLL_INTERVAL_S = 0.05  # after a timeout, which was a long wait already
UNREACHABLE_POLL_INTERVAL_S = 0.6  # while a server counts as unreachable
ORDER_POLL_INTERVAL_S = 0.07  # while an order is about to complete
OVERDUE_POLL_INTERVAL_S = 0.2  # while an order takes far longer than expected
FIRST_POLL_SPREAD_S = 0.05  # over which the first polls of all servers are spread
RESULT_POLL_FRACTION = 0.9  # of the expected time of an order, after which its result is polled
MIN_FIRST_POLL_DELAY_S = 0.05  # after the acceptance of an order


def after_report(now: float, record: ServerRecord, rng: Random) -> float:
    """Return when to poll again after a report."""
    pending = record.pending
    if pending is None:
        if record.report is not None and record.report.busy:
            return now + OVERDUE_POLL_INTERVAL_S
        return now + POLL_INTERVAL_S * _jitter(rng)
    if now - pending.sent_at > 3.0 * pending.expected_s + 1.0:
        return now + OVERDUE_POLL_INTERVAL_S
    return now + ORDER_POLL_INTERVAL_S


def after_miss(now: float, record: ServerRecord, failure: ReportFailure, rng: Random) -> float:
    """Return when to poll again after a failed poll."""
    pause = TIMEOUT_POLL_INTERVAL_S if failure is ReportFailure.NO_ANSWER else REFUSED_POLL_INTERVAL_S
    if record.is_unreachable(now):
        pause = UNREACHABLE_POLL_INTERVAL_S
    return now + pause * _jitter(rng)


def after_acceptance(now: float, expected_s: float) -> float:
    """Return when to poll for the result of an accepted order."""
    return now + max(MIN_FIRST_POLL_DELAY_S, RESULT_POLL_FRACTION * expected_s)


def after_confirmation(now: float, rng: Random) -> float:
    """Return when to poll after a confirmation: only once reports must be newer than it."""
    return now + POLL_INTERVAL_S * _jitter(rng)


def first_poll(now: float, rng: Random) -> float:
    """Return when to poll a server for the first time."""
    return now + rng.random() * FIRST_POLL_SPREAD_S


def poll_due(now: float, record: ServerRecord) -> bool:
    """Return whether to poll a server now."""
    return not record.calling and not record.misdirected and now >= record.next_poll_at


def _jitter(rng: Random) -> float:
    return 0.9 + 0.2 * rng.random()
