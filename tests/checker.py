"""An independent checker of the four rules, from events and actions alone; shares no code with the module."""

from __future__ import annotations

from collections.abc import Iterable

from granitewell.balancing.interface import (
    Abandoned,
    Action,
    Effect,
    Ended,
    Event,
    Fail,
    FirstByte,
    Hosts,
    Outcome,
    Refuse,
    Request,
    Scope,
    Send,
    Settings,
    State,
    View,
)

NEVER = {Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT}


class BrokenRuleError(AssertionError):
    """A rule is broken."""


class Checker:
    """Feed it each event with its actions, then end()."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.open: dict[int, Request] = {}
        self.closed: set[int] = set()
        self.tries: dict[int, list[list[object]]] = {}  # [host, at, outcome or None, zone, cell]
        self.told: dict[bytes, float] = {}
        self.where: dict[bytes, tuple[int, int]] = {}
        self.cold: dict[bytes, float] = {}
        self.cold_sends: dict[bytes, list[float]] = {}
        self.good: dict[bytes, list[float]] = {}
        self.peak = 0

    def step(self, now: float, event: Event, actions: Iterable[Action]) -> None:
        if isinstance(event, Request):
            self.open[event.id] = event
            self.tries[event.id] = []
        elif isinstance(event, Abandoned | FirstByte):
            self._close(event.id)
        elif isinstance(event, Ended):
            self.tries[event.id][event.attempt][2] = event.outcome
            if event.final:
                self._close(event.id)
            if event.outcome is Outcome.OK:
                recent = [x for x in self.good.get(event.host, []) if now - x < self.settings.fall_ms]
                self.good[event.host] = [*recent, now]
                self.peak = max(self.peak, len(recent) + 1)
        elif isinstance(event, Hosts):
            self._hosts(now, event)
        for action in actions:
            if isinstance(action, Send):
                self._send(now, action)
            elif isinstance(action, Refuse | Fail):
                self._answer(action)
        for rid, req in self.open.items():
            if now > req.due_ms + 20.0:
                raise BrokenRuleError(f"rule 1: {rid} has no answer")

    def _close(self, rid: int) -> None:
        self.open.pop(rid, None)
        self.closed.add(rid)

    def _hosts(self, now: float, event: Hosts) -> None:
        if event.view is View.FAILED:
            return
        named = {h.id for h in event.hosts}
        if event.view is not View.DELTA:
            for host in set(self.where) - named:
                self.told.setdefault(host, now)
        for h in event.hosts:
            self.where[h.id] = (h.zone, h.cell)
            if h.state is State.READY:
                self.told.pop(h.id, None)
            else:
                self.told.setdefault(h.id, now)
            if h.started_ms > 0:
                self.cold[h.id] = h.started_ms

    def _answer(self, action: Refuse | Fail) -> None:
        if action.id not in self.open:
            raise BrokenRuleError(f"rule 1: {action.id} was answered twice or never asked")
        cls = self.settings.classes[self.open[action.id].class_index]
        ran = [x for x in self.tries[action.id] if x[2] not in NEVER]
        if isinstance(action, Refuse) and ran:
            keyed_all = cls.effect is Effect.KEYED and cls.scope is Scope.ALL
            if cls.effect is not Effect.SAFE and not keyed_all:
                raise BrokenRuleError(f"rule 2: {action.id} may have run and was refused")
        self._close(action.id)

    def _send(self, now: float, action: Send) -> None:
        if action.id not in self.open:
            raise BrokenRuleError(f"rule 1: {action.id} was sent after its end")
        if now - self.told.get(action.host, now) > self.settings.drain_grace_ms:
            raise BrokenRuleError(f"rule 3: {action.host!r} drains or is gone")
        cls = self.settings.classes[self.open[action.id].class_index]
        tries = self.tries[action.id]
        if any(x[2] is None for x in tries) and not self.settings.parallel_tries:
            raise BrokenRuleError(f"rule 2: {action.id} has two attempts out")
        for host_, at, outcome, zone, cell in tries:
            if outcome in NEVER or cls.effect is Effect.SAFE:
                continue
            if cls.effect is Effect.UNSAFE:
                raise BrokenRuleError(f"rule 2: {action.id} may have run at {host_!r} and was sent again")
            assert isinstance(at, float)
            here = self.where[action.host]
            group = (
                cls.scope is Scope.ALL
                or here[cls.scope is Scope.CELL] == (zone, cell)[cls.scope is Scope.CELL]
            )
            if not group or now - at > cls.window_ms:
                raise BrokenRuleError(f"rule 2: {action.id} left its group or its window")
        if len(tries) >= self.settings.max_attempts:
            raise BrokenRuleError(f"rule 2: {action.id} has too many attempts")
        tries.append([action.host, now, None, *self.where[action.host]])
        self._cold_send(now, action.host)

    def _cold_send(self, now: float, host: bytes) -> None:
        """Sends in a span stay under multiple x share x what the busiest warm host served, with slack 2."""
        s = self.settings
        age = now - self.cold.get(host, -1e12)
        if age >= s.ramp_ms:
            return
        share = s.cold_from + (1 - s.cold_from) * max(age, 0.0) / s.ramp_ms
        sends = [x for x in self.cold_sends.get(host, []) if now - x < s.fall_ms] + [now]
        self.cold_sends[host] = sends
        if len(sends) > s.fall_multiple * share * self.peak + 2:
            raise BrokenRuleError(f"rule 4: {host!r} is cold and got {len(sends)} in a span")
