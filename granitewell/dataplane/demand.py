"""Demand for each model as this edge sees it, for placement. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.domain.servers import ModelDemand, ModelRef

REPORT_GAP_S = 0.03  # least time between two urgent reports: many requests for one model come together
NO_PRIORITY = 9  # of a model that nobody waits for


@dataclass(slots=True)
class _Seen:
    """Requests for one model: since the last report, in flight, and waiting by priority."""

    requests: int
    in_flight: int
    waiting: list[int]

    @property
    def idle(self) -> bool:
        return not (self.requests or self.in_flight or self.waiting)


class Demand:
    """Counters by service and model. Models without demand take no memory."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, ModelRef], _Seen] = {}
        self._reported_at = -REPORT_GAP_S
        self._changed = False  # somebody waits who did not at the last report

    def _of(self, service: str, ref: ModelRef) -> _Seen:
        seen = self._seen.get((service, ref))
        if seen is None:
            seen = self._seen[(service, ref)] = _Seen(0, 0, [])
        return seen

    def arrived(self, service: str, ref: ModelRef) -> None:
        """Record that a request has arrived."""
        self._of(service, ref).requests += 1

    def sent(self, service: str, ref: ModelRef) -> None:
        """Record that a request was sent to a server."""
        self._of(service, ref).in_flight += 1

    def ended(self, service: str, ref: ModelRef) -> None:
        """Record that a request at a server has ended."""
        self._of(service, ref).in_flight -= 1

    def waits(self, service: str, ref: ModelRef, priority: int) -> None:
        """Record that a request waits because no server has the model."""
        self._of(service, ref).waiting.append(priority)
        self._changed = True

    def waits_no_more(self, service: str, ref: ModelRef, priority: int) -> None:
        """Record that a waiting request was sent or given up."""
        self._of(service, ref).waiting.remove(priority)

    def urgent(self, now: float) -> bool:
        """Return whether a report about waiting requests is due now; if so, it counts as sent."""
        if not self._changed or now - self._reported_at < REPORT_GAP_S:
            return False
        self._changed = False
        self._reported_at = now
        return True

    def take(self) -> list[ModelDemand]:
        """Return the demand since the last call."""
        self._changed = False
        taken = []
        for (service, ref), seen in list(self._seen.items()):
            priority = min(seen.waiting, default=NO_PRIORITY)
            taken.append(
                ModelDemand(service, ref, seen.requests, len(seen.waiting), seen.in_flight, priority)
            )
            seen.requests = 0
            if seen.idle:
                del self._seen[(service, ref)]
        return taken
