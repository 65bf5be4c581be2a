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

FIRST_CONFIRMATION_DELAY_S = 0.02  # after the acceptance; doubles with each confirmation
MAX_CONFIRMATIONS = 3  # per order; then reports are polled instead
MIN_CONFIRMATION_SAMPLES = 6  # orders of an operation before its confirmations may be given up
MIN_CONFIRMED_FRACTION = 0.2  # of an operation's orders; below it, confirmations are not worth sending


def is_quick(order: Order) -> bool:
    """Return whether an order takes some ms only, far less than the age of a report."""
    return bool(order.ref.adapter) or order.operation is Operation.UNLOAD


class ConfirmationRecord:
    """Statistics of which operations the servers confirm.

    Some servers give no clear answer to an order that is done already.
    """

    def __init__(self) -> None:
        self._orders: Counter[Operation] = Counter()
        self._confirmed: Counter[Operation] = Counter()

    def ended(self, order: Order, *, confirmed: bool) -> None:
        """Record whether an order's end was learned by a confirmation or only from a report."""
        self._orders[order.operation] += 1
        self._confirmed[order.operation] += confirmed

    def is_useful(self, order: Order) -> bool:
        """Return whether sending orders of this operation again has been useful so far."""
        tried = self._orders[order.operation]
        return (
            tried < MIN_CONFIRMATION_SAMPLES
            or self._confirmed[order.operation] >= MIN_CONFIRMED_FRACTION * tried
        )


def confirmation_delay_s(confirmations: int) -> float:
    """Return the delay before the next confirmation, in seconds.

    Args:
        confirmations: Number of confirmations sent so far.
    """
    return FIRST_CONFIRMATION_DELAY_S * 2.0**confirmations


def predicted_report(report: Report, order: Order, sequence: int) -> Report:
    """Return the report that a server would give once an order is done.

    Args:
        report: Its last report before the order.
        order: The order.
        sequence: Number of orders accepted, including this one.
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
