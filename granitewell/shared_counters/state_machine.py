"""State machine of the shared counters: polls the other nodes, answers their polls, and computes bounds.

This module decides which node is polled when, what a report contains, and how many bytes are spent on it. It
uses no socket and no clock of its own, and no message from outside makes it raise an error.

A request has a number that its reports repeat, which tells when it was sent. Reports that arrive twice, late
or out of order are accepted like any other, because merging them again changes nothing. A report without a
pending request is dropped, because the time at which it was written could not be bounded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from granitewell.protocols.peers.counts import CODEC, MAX_SLICES, Ask, Slice, Slot, Word
from granitewell.protocols.peers.frames import (
    MAX_DATAGRAM_BYTES,
    MAX_OVERHEAD_BYTES,
    Frame,
    Keys,
    Kind,
    open_,
    seal,
)
from granitewell.protocols.peers.limits import TokenBucket
from granitewell.shared_counters.local_counts import LocalCounts
from granitewell.shared_counters.remote_counts import RemoteNode
from granitewell.shared_counters.types import (
    CounterSettings,
    NodeUsage,
    Peer,
    Peers,
    Rekey,
    UsageBounds,
    UsageRecorded,
)
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired

MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES
MAX_FIXED_FIELDS_BYTES = 96  # of a report without slots and slices
APPROX_ASK_BYTES = 160  # of a whole request
MAX_MESSAGES_PER_ANSWER = 4  # a longer answer continues with the next request
MAX_PENDING_REQUESTS = 32  # requests to one node that may still be answered
MAX_MESSAGES_PER_SENDER_PER_S = 40  # messages of one node beyond this rate are dropped
MAX_MESSAGES_PER_S = 4_000  # messages of all nodes beyond this rate are dropped
MAX_NODES = 10_000
MIN_POLL_GAP_US = 20_000  # minimum time between two polling rounds
SILENT_POLL_INTERVALS = 3  # poll intervals of silence after which other nodes are asked for a copy


class _PeerPolling:
    """Polling state of a node.

    Attributes:
        due_us: When it is polled next, in microseconds.
        bucket: Rate limit of its messages.
        sent: Pending requests by number: when each was sent, and for which node's usage.
    """

    __slots__ = ("bucket", "due_us", "sent")

    def __init__(self, due_us: int, now_us: int) -> None:
        self.due_us, self.bucket = due_us, TokenBucket(MAX_MESSAGES_PER_SENDER_PER_S, now_us)
        self.sent: dict[int, tuple[int, str]] = {}


class ProcessUsage(NamedTuple):
    """Usage of a process to report: this process, or the copy held of another; see `Word`.

    Attributes:
        version: Version up to which its slots are known.
    """

    incarnation: int
    birth: int
    width_us: int
    up_us: int
    ago_least_us: int
    ago_most_us: int
    first: int
    upto: int
    open: bool
    version: int
    counts_by_slice: Mapping[int, Mapping[int, int]]
    slots_after: Callable[[int], list[Slot]]


class SharedCounters:
    """Shared counters of one process.

    Args:
        name: Name of the node.
        incarnation: Incarnation of the node.
        birth: Random id of the process.
        keys: Keys that seal messages.
        settings: Settings of the counters.
        rng: Source of random numbers, used by nothing else; it spreads requests over time.
        now_us: Current time, in microseconds.

    Attributes:
        message_counts: Number of messages by kind, and of dropped messages by reason.
        local: Usage of this process.
        nodes: Replicated usage of the other nodes, by name.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        birth: int,
        keys: Keys,
        settings: CounterSettings,
        rng: Random,
        now_us: int,
    ) -> None:
        self.name, self.incarnation, self.birth, self.settings = name, incarnation, birth, settings
        self.message_counts: Counter[str] = Counter()
        self.local = LocalCounts(settings, now_us)
        self.nodes: dict[str, RemoteNode] = {}
        self._keys, self._rng, self._now_us = keys, rng, now_us
        self._peers: dict[str, Peer] = {}
        self._polling: dict[str, _PeerPolling] = {}
        self._unnamed_nodes = 0
        self._previous_processes = RemoteNode(settings)  # earlier processes of this node
        self._previous_processes.gone_us = now_us
        self._indirect_due_us = now_us  # when another node is next asked about a silent one
        self._last_request = int(rng.random() * (1 << 30)) << 20
        self._total = TokenBucket(MAX_MESSAGES_PER_S, now_us)
        self._byte_budget, self._budget_updated_us = float(settings.bytes_per_s), now_us
        self._discarded_us = now_us  # when expired usage was last discarded
        self._polled_us = now_us  # time of the last polling round; usage does not delay the next one
        self._out: list[object] = []

    # --- Views ------------------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When a TimerFired event is wanted, in microseconds; -1 for never."""
        due = min((self._polling[n].due_us for n, p in self._peers.items() if p.up), default=-1)
        return max(due, self._polled_us + MIN_POLL_GAP_US) if due >= 0 else -1

    def bounds(self, now_us: int, key: str | None = None) -> UsageBounds:
        """Return the bounds of the usage by all nodes in the window ending now; key None for all keys."""
        now_us = max(now_us, self._now_us)
        self.local.advance(now_us)
        local_usage = self._local_usage(now_us, key)
        parts = [
            local_usage,
            *(node.usage_bounds(name, key, now_us) for name, node in sorted(self.nodes.items())),
        ]
        window_s = self.settings.window_us / 1e6
        unnamed = int(self._unnamed_nodes * self.settings.ceiling_per_s * window_s)
        low, high = sum(p.low for p in parts), sum(p.high for p in parts) + unnamed
        return UsageBounds(key if key is not None else "", low, high, tuple(parts), unnamed)

    def keys(self) -> list[str]:
        """Return all keys that have a slot on some node."""
        slots = [*self.local.slots.values()]
        slots += [
            s for n in self.nodes.values() for process in n.processes.values() for s in process.slots.values()
        ]
        return sorted({s.key for s in slots})

    def _local_usage(self, now_us: int, key: str | None) -> NodeUsage:
        """Return the bounds of this node's usage.

        They differ only by the slice that is partly within the window, by keys that had no slot, and by
        earlier processes of this node.
        """
        local, start = self.local, self.local.uptime_us(now_us) - self.settings.window_us
        slots = [s for s in local.slots.values() if s.key == key]
        low = high = window_edge = untracked = 0
        for index, counts in local.counts_by_slice.items():
            if (index + 1) * self.settings.width_us <= start:
                continue
            certain = possible = sum(counts.values())
            if key is not None:
                certain = possible = sum(counts.get(s.number, 0) for s in slots)
                if not any(s.born < index and (s.ended < 0 or index < s.ended) for s in slots):
                    possible += counts.get(0, 0)
            high += possible
            if index * self.settings.width_us > start:
                low += certain
                untracked += possible - certain
            else:
                window_edge += possible
        before = self._previous_processes.usage_bounds(self.name, key, now_us)
        return NodeUsage(
            self.name,
            low + before.low,
            high + before.high,
            0,
            before.unreported,
            window_edge + before.window_edge,
            untracked + before.untracked,
        )

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; return the messages to send."""
        out = self._out = []
        now_us = self._now_us = max(now_us, self._now_us)
        if isinstance(event, UsageRecorded):
            self.local.add(now_us, event.key, event.count)
        elif isinstance(event, MessageReceived):
            self._receive(event)
        elif isinstance(event, TimerFired):
            self._poll()
        elif isinstance(event, Peers):
            self._update_peers(event)
        elif isinstance(event, Rekey):
            self._keys = event.keys
        else:
            raise TypeError(f"event: found {type(event).__name__}, allowed are the events of shared counters")
        return out

    def _update_peers(self, event: Peers) -> None:
        """Replace the other nodes."""
        self._unnamed_nodes = event.unnamed
        self._peers = {n: p for n, p in event.peers.items() if n != self.name}
        for name, peer in self._peers.items():
            node = self.nodes.get(name)
            if node is None and len(self.nodes) < MAX_NODES:
                node = self.nodes[name] = RemoteNode(self.settings)
            if name not in self._polling:
                wait_us = int(self._rng.random() * self.settings.poll_interval_us)
                self._polling[name] = _PeerPolling(self._now_us + wait_us, self._now_us)
            if node is not None:
                if not peer.gone:
                    node.gone_us = -1
                elif node.gone_us < 0:
                    node.gone_us = self._now_us
        start = self._now_us - self.settings.window_us
        for name, node in list(self.nodes.items()):
            # a node that has left is removed once its usage has left the window
            if name not in self._peers or node.gone_us >= 0:
                if node.gone_us < 0:
                    node.gone_us = self._now_us
                if node.gone_us < start:
                    del self.nodes[name]
        self._polling = {n: a for n, a in self._polling.items() if n in self._peers}

    # --- Polling ----------------------------------------------------------------------------------------
    def _poll(self) -> None:
        """Poll the nodes that are due, while the byte budget lasts."""
        self._polled_us = self._now_us
        self._refill_budget()
        self.local.advance(self._now_us)
        if self._now_us - self._discarded_us >= self.settings.width_us:
            self._discarded_us = self._now_us
            for node in (self._previous_processes, *self.nodes.values()):
                node.discard_expired(self._now_us)
        due = [n for n, p in self._peers.items() if p.up and self._polling[n].due_us <= self._now_us]
        for name in sorted(due, key=lambda n: self._polling[n].due_us):
            if self._byte_budget < APPROX_ASK_BYTES:
                self.message_counts["slowed"] += 1
                return
            polling = self._polling[name]
            polling.due_us = self._now_us + self.settings.poll_interval_us
            self._ask(name, polling, name)
        if self._indirect_due_us <= self._now_us and self._byte_budget >= APPROX_ASK_BYTES:
            self._indirect_due_us = self._now_us + self.settings.poll_interval_us
            self._ask_indirectly()

    def _ask_indirectly(self) -> None:
        """Ask a random node for its copy of the usage of the node that has been silent for longest.

        While the window may contain earlier processes of this node, half of these requests ask about them.
        """
        up = sorted(n for n, p in self._peers.items() if p.up)
        silent_before_us = self._now_us - SILENT_POLL_INTERVALS * self.settings.poll_interval_us
        silent = [
            (self._known_until_us(n), n) for n in self.nodes if self._known_until_us(n) < silent_before_us
        ]
        if self.local.uptime_us(self._now_us) < self.settings.window_us and self._rng.random() < 0.5:
            silent = [(0, self.name)]
        if silent and up:
            target = min(silent)[1]
            name = up[int(self._rng.random() * len(up))]
            if name != target:
                self._ask(name, self._polling[name], target)

    def _known_until_us(self, name: str) -> int:
        """Return the time up to which a node's usage is known, in microseconds; 0 if never heard."""
        process = self.nodes[name].latest
        return process.time_bounds(process.known_until_us, self._now_us)[0] if process is not None else 0

    def _usage_of(self, name: str) -> RemoteNode | None:
        """Return the replicated usage of a node; for this node, that of its earlier processes."""
        return self._previous_processes if name == self.name else self.nodes.get(name)

    def _ask(self, name: str, polling: _PeerPolling, target: str) -> None:
        self._last_request += 1
        node = self._usage_of(target)
        process = node.latest if node is not None else None
        while len(polling.sent) >= MAX_PENDING_REQUESTS:
            del polling.sent[next(iter(polling.sent))]
        polling.sent[self._last_request] = self._now_us, target
        subject = target if target != name else ""
        except_birth = self.birth if target == self.name else 0
        if process is None:
            ask = Ask(self._last_request, subject, except_birth)
        else:
            ask = Ask(
                self._last_request, subject, except_birth, process.birth, process.upto, process.slots_version
            )
        self._send(self._peers[name].address, ask)

    def _send(self, address: str, message: Ask | Word) -> None:
        data = seal(Kind.COUNT, CODEC.encode(message), self._keys, self.name)
        self._byte_budget -= len(data)
        self.message_counts[f"{type(message).__name__.lower()} said"] += 1
        self.message_counts["said_bytes"] += len(data)
        self._out.append(SendMessage(address, data))

    def _refill_budget(self) -> None:
        per_s, elapsed_us = self.settings.bytes_per_s, self._now_us - self._budget_updated_us
        self._byte_budget = min(self._byte_budget + elapsed_us * per_s / 1e6, float(per_s))
        self._budget_updated_us = self._now_us

    # --- Messages ---------------------------------------------------------------------------------------
    def _receive(self, heard: MessageReceived) -> None:
        drop_reason = self._accept(heard)
        if drop_reason:
            self.message_counts[f"dropped {drop_reason}"] += 1

    def _accept(self, heard: MessageReceived) -> str:
        """Handle a message; return why it is dropped, or ""."""
        if not self._total.take(self._now_us):
            return "in_all"
        frame = open_(heard.data, self._keys)
        if not isinstance(frame, Frame):
            return frame.why.value
        if frame.kind != Kind.COUNT:
            return "kind"
        polling = self._polling.get(frame.sender)
        if polling is None:
            return "stranger"
        if not polling.bucket.take(self._now_us):
            return "sender"
        message = CODEC.decode(frame.body)
        if message is None:
            return "malformed"
        self.message_counts[f"{type(message).__name__.lower()} heard"] += 1
        if isinstance(message, Word):
            return self._accept_report(frame.sender, polling, message)
        self._answer(heard.sender, message)
        return ""

    def _accept_report(self, name: str, polling: _PeerPolling, report: Word) -> str:
        """Merge a report; return why it is dropped (no pending request, or impossible values), or ""."""
        asked_us, target = polling.sent.get(report.number, (-1, ""))
        node = self._usage_of(target)
        if asked_us < 0 or node is None or (report.of or name) != target:
            return "unasked"
        whole = report.width_us > 0 and report.first <= report.upto <= report.up_us // report.width_us
        in_range = all(report.first <= s.index <= report.upto for s in report.slices)
        known = node.processes.get(report.birth)
        if not whole or not in_range or report.ago_least_us > report.ago_most_us:
            return "figures"
        if (known is not None and known.width_us != report.width_us) or report.birth == self.birth:
            return "birth"
        node.receive(asked_us, self._now_us, report)
        if not report.open and not report.of and report.upto < report.up_us // report.width_us - 1:
            polling.due_us = min(
                polling.due_us, self._now_us + MIN_POLL_GAP_US
            )  # more slices are available: poll again soon
        return ""

    def _answer(self, address: str, ask: Ask) -> None:
        """Send what is new to the requester, in at most `MAX_MESSAGES_PER_ANSWER` messages."""
        self._refill_budget()
        index = self.local.advance(self._now_us)
        usage = self._local_process(index) if ask.of in ("", self.name) else self._copy_of(ask.of, ask.but)
        if usage is None:
            return  # nothing is known about that node
        same_process = ask.birth == usage.birth
        at = min(max(ask.slices, usage.first), usage.upto) if same_process else usage.first
        known = min(ask.slots, usage.version) if same_process else 0
        for _ in range(MAX_MESSAGES_PER_ANSWER):
            if self._byte_budget < 0:
                self.message_counts["slowed"] += 1
                return
            report = self._build_report(ask, usage, at, known)
            self._send(address, report)
            at, known = report.upto, report.slots
            if report.open or at >= usage.upto:
                return

    def _local_process(self, index: int) -> ProcessUsage:
        local = self.local
        return ProcessUsage(
            self.incarnation,
            self.birth,
            self.settings.width_us,
            local.uptime_us(self._now_us),
            0,
            0,
            local.oldest_slice,
            index,
            True,
            local.version,
            local.counts_by_slice,
            local.slots_after,
        )

    def _copy_of(self, name: str, except_birth: int) -> ProcessUsage | None:
        node = self.nodes.get(name)
        process = node.latest_except(except_birth) if node is not None else None
        if process is None or process.first < 0:
            return None
        known_us = process.known_until_us
        earliest, latest = process.time_bounds(known_us, self._now_us)
        now_us, whole = self._now_us, process.open_slice_us >= process.upto * process.width_us
        return ProcessUsage(
            process.incarnation,
            process.birth,
            process.width_us,
            known_us,
            max(now_us - latest, 0),
            now_us - earliest,
            process.first,
            process.upto,
            whole,
            process.slots_version,
            process.counts_by_slice,
            process.slots_after,
        )

    def _build_report(self, ask: Ask, usage: ProcessUsage, first: int, known: int) -> Word:
        """Return one report: changed slots first, because slices are of little use without them, then slices.

        Slices are included completely or not at all.

        Args:
            ask: The request.
            usage: Usage of the process to report.
            first: First slice to include.
            known: Version of the slots that the requester knows.
        """
        bytes_left, since = MAX_BODY_BYTES - MAX_FIXED_FIELDS_BYTES, known
        new: list[Slot] = []
        changed_slots = [s for s in usage.slots_after(known) if s.version <= usage.version]
        for slot in changed_slots:
            bytes_left -= len(slot.key.encode()) + 24
            if bytes_left < 0:
                break
            new.append(slot)
            known = slot.version
        slices: list[Slice] = []
        upto, whole = first, False
        while len(new) == len(changed_slots) and bytes_left > 0:
            counts = usage.counts_by_slice.get(upto)
            if counts:
                reported_slice = Slice(upto, [x for pair in sorted(counts.items()) for x in pair])
                bytes_left -= 12 + sum(_encoded_size(x) for x in reported_slice.used)
                if bytes_left < 0:
                    break
                slices.append(reported_slice)
            if upto >= usage.upto or len(slices) >= MAX_SLICES:
                whole = upto >= usage.upto and usage.open
                break
            upto += 1
        if len(new) == len(changed_slots):
            known = max(known, usage.version)
        return Word(
            ask.number, usage.incarnation, usage.birth, usage.up_us, usage.width_us, first, upto, ask.of,
            usage.ago_least_us, usage.ago_most_us, since, known, whole, new, slices,
        )  # fmt: skip


def _encoded_size(number: int) -> int:
    """Return the size of a number in msgpack, in bytes."""
    bounds = ((128, 1), (256, 2), (65_536, 3), (1 << 32, 5))
    return next((size for most, size in bounds if number < most), 9)
