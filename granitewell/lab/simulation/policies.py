"""Plain policies to compare the module with: random, round robin, least in flight.

It owns what all simple deciders share: the list of hosts, what is in flight, and when a request is repeated,
refused or failed. A policy adds only its choice of a host. None keeps the rule on cold hosts: they know of no
such thing, as the usual balancers do not. They stand in the module's place behind `core.Decider` and are told
exactly what the module is told.

Repeats: after a failed attempt a request goes out again while attempts and time are left, to another host
than the last one where there is one, unless it must not run twice and may have run. Nothing ready: refused,
or failed where a refusal is not allowed. Second copies are never sent.
"""

from __future__ import annotations

from random import Random

from granitewell.balancing.interface import (
    Abandoned,
    Action,
    Cancel,
    Effect,
    Ended,
    Event,
    Fail,
    Host,
    Hosts,
    Outcome,
    ProbeEnded,
    Refuse,
    Request,
    Send,
    Settings,
    State,
    View,
)

NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT})


class Held:
    """A request that is owed its final answer."""

    __slots__ = ("attempts", "last", "ran", "request")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.attempts = 0
        self.last = b""  # where it went last
        self.ran = False  # whether it may have run


class Plain:
    """What the simple policies share. choose() is the policy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.now = 0.0
        self.do: list[Action] = []
        self.ready: list[Host] = []  # by id
        self.inflight: dict[bytes, int] = {}
        self._hosts: dict[bytes, Host] = {}
        self._held: dict[int, Held] = {}
        self._handlers = {
            Request: self._request, Ended: self._ended, Hosts: self._news, Abandoned: self._abandoned,
            ProbeEnded: self.probed,
        }  # fmt: skip

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; the actions to carry out."""
        self.now, self.do = now, []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)  # type: ignore[operator]
        return self.do

    # --- For the policy ---------------------------------------------------------------------------------
    def choose(self, held: Held) -> bytes | None:
        """The host for this request now; `ready` is not empty. None: no host will do."""
        raise NotImplementedError

    def sending(self, held: Held, host: bytes) -> None:
        """The next attempt goes to this host."""

    def saw(self, event: Ended) -> None:
        """An attempt has ended, one that was sent."""

    def probed(self, event: ProbeEnded) -> None:
        """A probe has ended."""

    def gone(self, host: bytes) -> None:
        """A host is no longer listed, or is another process now."""

    def others(self, held: Held) -> list[Host]:
        """The ready hosts without the one that has just failed this request, if more than that are ready."""
        if not held.last or len(self.ready) < 2:
            return self.ready
        return [h for h in self.ready if h.id != held.last]

    # --- Requests ---------------------------------------------------------------------------------------
    def _request(self, event: Request) -> None:
        held = self._held[event.id] = Held(event)
        self._place(held)

    def _place(self, held: Held) -> None:
        request, left = held.request, held.request.due_ms - self.now
        host = None
        if held.attempts < self.settings.max_attempts and left > 0.0 and self.ready:
            host = self.choose(held)
        if host is None:
            self._finish(held)
            return
        self.sending(held, host)
        held.attempts += 1
        held.last = host
        self.inflight[host] = self.inflight.get(host, 0) + 1
        self.do.append(Send(request.id, host, left))

    def _unsafe(self, held: Held) -> bool:
        return self.settings.classes[held.request.class_index].effect is not Effect.SAFE

    def _finish(self, held: Held) -> None:
        rid = held.request.id
        del self._held[rid]
        self.do.append(Fail(rid) if held.ran and self._unsafe(held) else Refuse(rid))

    def _ended(self, event: Ended) -> None:
        self.inflight[event.host] -= 1
        if event.outcome is not Outcome.MOOT:
            self.saw(event)
        held = self._held.get(event.id)
        if held is None:
            return
        if event.final:
            del self._held[event.id]
            return
        held.ran = held.ran or event.outcome not in NEVER_RAN
        if held.ran and self._unsafe(held):
            self._finish(held)
        else:
            self._place(held)

    def _abandoned(self, event: Abandoned) -> None:
        held = self._held.pop(event.id, None)
        if held is not None and held.attempts and self.settings.may_cancel:
            self.do.append(Cancel(event.id, held.attempts - 1))

    # --- Hosts ------------------------------------------------------------------------------------------
    def _news(self, event: Hosts) -> None:
        if event.view is View.FAILED:
            return
        if event.view is not View.DELTA:
            named = {h.id for h in event.hosts}
            for hid in [k for k in self._hosts if k not in named]:
                del self._hosts[hid]
                self.gone(hid)
        for host in event.hosts:
            was = self._hosts.get(host.id)
            if was is not None and was.started_ms != host.started_ms:
                self.gone(host.id)
            if host.state is State.GONE:
                self._hosts.pop(host.id, None)
                self.gone(host.id)
            else:
                self._hosts[host.id] = host
        self.ready = sorted((h for h in self._hosts.values() if h.state is State.READY), key=lambda h: h.id)


class RandomChoice(Plain):
    """Any ready host, all alike."""

    def choose(self, held: Held) -> bytes:
        """Uniform."""
        hosts = self.others(held)
        return hosts[int(self.rng.random() * len(hosts))].id


class RoundRobin(Plain):
    """One after the other, from a random one on."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._turn = int(self.rng.random() * 1_000_000)

    def choose(self, held: Held) -> bytes:
        """The next in order of ids."""
        self._turn += 1
        hosts = self.others(held)
        return hosts[self._turn % len(hosts)].id


class LeastInflight(Plain):
    """The host with the fewest of this node's own attempts, a random one among equals."""

    def choose(self, held: Held) -> bytes:
        """Looks at all of them."""
        inflight = self.inflight
        hosts = self.others(held)
        least = min(inflight.get(h.id, 0) for h in hosts)
        best = [h.id for h in hosts if inflight.get(h.id, 0) == least]
        return best[int(self.rng.random() * len(best))]
