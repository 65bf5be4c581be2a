"""Simple policies to compare the module with: random, round robin, least in flight.

`SimplePolicy` holds what they share: the host list, the attempts in flight, and when a request is retried,
refused or failed. A policy adds only its choice of a host. None keeps the rule on cold hosts, as common load
balancers do not know it. They implement `core.Decider` in the module's place and receive exactly its events.

Retries: after a failed attempt a request is sent again while attempts and time are left, to another host than
the last if there is one, unless it must not run twice and may have run. With no host ready it is refused, or
failed if a refusal is not allowed. No hedged requests are sent.
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


class PendingRequest:
    """A request that awaits its final response."""

    __slots__ = ("attempts", "last_host", "may_have_run", "request")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.attempts = 0
        self.last_host = b""  # the host of the last attempt
        self.may_have_run = False  # whether it may have run


class SimplePolicy:
    """Base of the simple policies; choose() is the policy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.ready: list[Host] = []  # by id
        self.inflight: dict[bytes, int] = {}
        self._hosts: dict[bytes, Host] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._handlers = {
            Request: self._request, Ended: self._ended, Hosts: self._hosts_updated,
            Abandoned: self._abandoned, ProbeEnded: self.on_probe_ended,
        }  # fmt: skip

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out."""
        self.now, self.actions = now, []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)  # type: ignore[operator]
        return self.actions

    # --- Policy hooks -----------------------------------------------------------------------------------
    def choose(self, pending: PendingRequest) -> bytes | None:
        """The host for this request; `ready` is not empty. None: no host is suitable."""
        raise NotImplementedError

    def on_sending(self, pending: PendingRequest, host: bytes) -> None:
        """Called before the next attempt is sent to this host."""

    def on_attempt_ended(self, event: Ended) -> None:
        """Called when an attempt that was sent has ended."""

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Called when a probe has ended."""

    def on_host_removed(self, host: bytes) -> None:
        """Called when a host is no longer listed or has a new process."""

    def alternatives(self, pending: PendingRequest) -> list[Host]:
        """The ready hosts, without the one that just failed this request if there are others."""
        if not pending.last_host or len(self.ready) < 2:
            return self.ready
        return [h for h in self.ready if h.id != pending.last_host]

    # --- Requests ---------------------------------------------------------------------------------------
    def _request(self, event: Request) -> None:
        pending = self._pending[event.id] = PendingRequest(event)
        self._place(pending)

    def _place(self, pending: PendingRequest) -> None:
        request, left = pending.request, pending.request.due_ms - self.now
        host = None
        if pending.attempts < self.settings.max_attempts and left > 0.0 and self.ready:
            host = self.choose(pending)
        if host is None:
            self._finish(pending)
            return
        self.on_sending(pending, host)
        pending.attempts += 1
        pending.last_host = host
        self.inflight[host] = self.inflight.get(host, 0) + 1
        self.actions.append(Send(request.id, host, left))

    def _unsafe(self, pending: PendingRequest) -> bool:
        return self.settings.classes[pending.request.class_index].effect is not Effect.SAFE

    def _finish(self, pending: PendingRequest) -> None:
        rid = pending.request.id
        del self._pending[rid]
        self.actions.append(Fail(rid) if pending.may_have_run and self._unsafe(pending) else Refuse(rid))

    def _ended(self, event: Ended) -> None:
        self.inflight[event.host] -= 1
        if event.outcome is not Outcome.MOOT:
            self.on_attempt_ended(event)
        pending = self._pending.get(event.id)
        if pending is None:
            return
        if event.final:
            del self._pending[event.id]
            return
        pending.may_have_run = pending.may_have_run or event.outcome not in NEVER_RAN
        if pending.may_have_run and self._unsafe(pending):
            self._finish(pending)
        else:
            self._place(pending)

    def _abandoned(self, event: Abandoned) -> None:
        pending = self._pending.pop(event.id, None)
        if pending is not None and pending.attempts and self.settings.may_cancel:
            self.actions.append(Cancel(event.id, pending.attempts - 1))

    # --- Hosts ------------------------------------------------------------------------------------------
    def _hosts_updated(self, event: Hosts) -> None:
        if event.view is View.FAILED:
            return
        if event.view is not View.DELTA:
            named = {h.id for h in event.hosts}
            for hid in [k for k in self._hosts if k not in named]:
                del self._hosts[hid]
                self.on_host_removed(hid)
        for host in event.hosts:
            was = self._hosts.get(host.id)
            if was is not None and was.started_ms != host.started_ms:
                self.on_host_removed(host.id)
            if host.state is State.GONE:
                self._hosts.pop(host.id, None)
                self.on_host_removed(host.id)
            else:
                self._hosts[host.id] = host
        self.ready = sorted((h for h in self._hosts.values() if h.state is State.READY), key=lambda h: h.id)


class RandomChoice(SimplePolicy):
    """A uniformly random ready host."""

    def choose(self, pending: PendingRequest) -> bytes:
        """Draw a host uniformly."""
        hosts = self.alternatives(pending)
        return hosts[int(self.rng.random() * len(hosts))].id


class RoundRobin(SimplePolicy):
    """Hosts in rotation, from a random start."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._turn = int(self.rng.random() * 1_000_000)

    def choose(self, pending: PendingRequest) -> bytes:
        """The next in order of ids."""
        self._turn += 1
        hosts = self.alternatives(pending)
        return hosts[self._turn % len(hosts)].id


class LeastInflight(SimplePolicy):
    """The host with the fewest of this node's own attempts, a random one among equals."""

    def choose(self, pending: PendingRequest) -> bytes:
        """Compare all ready hosts."""
        inflight = self.inflight
        hosts = self.alternatives(pending)
        least = min(inflight.get(h.id, 0) for h in hosts)
        best = [h.id for h in hosts if inflight.get(h.id, 0) == least]
        return best[int(self.rng.random() * len(best))]
