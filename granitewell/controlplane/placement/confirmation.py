"""Confirmation of an order by sending it again. No I/O.

A report is some hundred ms old, and a load or unload of an adapter takes some ms. The same order sent again,
conditional on the sequence that the accepted one left behind, is answered at once: 200 if its result holds,
409 while it is in progress. It can't be accepted a second time before something else has changed the server,
and then the sequence differs.
"""

from __future__ import annotations

from collections import Counter

from granitewell.controlplane.placement.orders import Operation, Order, Report
from granitewell.domain.servers import LoadedModel

FIRST_CONFIRMATION_DELAY_S = (
    0.02  # from the acceptance to the first confirmation; each further one waits twice as long
)
MAX_CONFIRMATIONS = 3  # after which reports are polled instead
MIN_CONFIRMATION_SAMPLES = 6  # orders of an operation that are tried before it may be given up
MIN_CONFIRMED_FRACTION = 0.2  # of an operation's orders; below it sending them again tells nothing


def is_quick(order: Order) -> bool:
    """Return whether an order takes so short a time that reports would show it late."""
    return bool(order.ref.adapter) or order.operation is Operation.UNLOAD


class ConfirmationRecord:
    """Which operations the servers confirm; some servers have no clear answer to one that is done."""

    def __init__(self) -> None:
        self._orders: Counter[Operation] = Counter()
        self._confirmed: Counter[Operation] = Counter()

    def ended(self, order: Order, *, confirmed: bool) -> None:
        """Record that an order was confirmed, or that a report had to show its end."""
        self._orders[order.operation] += 1
        self._confirmed[order.operation] += confirmed

    def is_useful(self, order: Order) -> bool:
        """Return whether to send such an order again."""
        tried = self._orders[order.operation]
        return (
            tried < MIN_CONFIRMATION_SAMPLES
            or self._confirmed[order.operation] >= MIN_CONFIRMED_FRACTION * tried
        )


def confirmation_delay_s(confirmations: int) -> float:
    """Return how long to wait before the next confirmation, in seconds, after some were sent."""
    return FIRST_CONFIRMATION_DELAY_S * 2.0**confirmations


def predicted_report(report: Report, order: Order, sequence: int) -> Report:
    """Return the report that a server would give once an order is done.

    Args:
        report: Its last report, of before the order.
        order: The order.
        sequence: Number of orders accepted, with this one.
    """
    models = dict(report.models)
    name, adapter = order.ref.model, order.ref.adapter
    loaded = models.get(name)
    if order.operation is Operation.LOAD:
        present = loaded if loaded is not None else LoadedModel(name)
        models[name] = present.with_adapter(adapter) if adapter else present
    elif loaded is not None and adapter:
        models[name] = loaded.without_adapter(adapter)
    else:
        models.pop(name, None)
    return Report(sequence, False, models, report.running, report.queued)
