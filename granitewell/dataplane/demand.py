"""Demand for each model at this edge, which is reported to placement. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.domain.servers import ModelDemand, ModelRef

MIN_REPORT_INTERVAL_S = 0.03  # between urgent reports, as many requests for one model arrive together
PRIORITY_WITHOUT_WAITERS = 9  # reported for a model that no request waits for


@dataclass(slots=True)
class _ModelCounters:
    """Requests for one model: since the last report, in flight, and the priorities of waiting ones."""

    requests: int
    in_flight: int
    waiting: list[int]

    @property
    def idle(self) -> bool:
        return not (self.requests or self.in_flight or self.waiting)


class Demand:
    """Counters by service and model. Models without demand are dropped."""

    def __init__(self) -> None:
        self._by_model: dict[tuple[str, ModelRef], _ModelCounters] = {}
        self._reported_at = -MIN_REPORT_INTERVAL_S
        self._changed = False  # a request has begun to wait since the last report

    def _counters(self, service: str, ref: ModelRef) -> _ModelCounters:
        counters = self._by_model.get((service, ref))
        if counters is None:
            counters = self._by_model[(service, ref)] = _ModelCounters(0, 0, [])
        return counters

    def arrived(self, service: str, ref: ModelRef) -> None:
        """Record that a request has arrived."""
        self._counters(service, ref).requests += 1

    def sent(self, service: str, ref: ModelRef) -> None:
        """Record that a request was sent to a server."""
        self._counters(service, ref).in_flight += 1

    def ended(self, service: str, ref: ModelRef) -> None:
        """Record that a request at a server has ended."""
        self._counters(service, ref).in_flight -= 1

    def wait_started(self, service: str, ref: ModelRef, priority: int) -> None:
        """Record that a request waits because no server has the model."""
        self._counters(service, ref).waiting.append(priority)
        self._changed = True

    def wait_ended(self, service: str, ref: ModelRef, priority: int) -> None:
        """Record that a waiting request was assigned or abandoned."""
        self._counters(service, ref).waiting.remove(priority)

    def urgent_report_due(self, now: float) -> bool:
        """Return whether to report waiting requests now; if so, it counts as reported."""
        if not self._changed or now - self._reported_at < MIN_REPORT_INTERVAL_S:
            return False
        self._changed = False
        self._reported_at = now
        return True

    def take(self) -> list[ModelDemand]:
        """Return the demand since the last call."""
        self._changed = False
        demands = []
        for (service, ref), counters in list(self._by_model.items()):
            priority = min(counters.waiting, default=PRIORITY_WITHOUT_WAITERS)
            demands.append(
                ModelDemand(
                    service, ref, counters.requests, len(counters.waiting), counters.in_flight, priority
                )
            )
            counters.requests = 0
            if counters.idle:
                del self._by_model[(service, ref)]
        return demands
