"""Discovery: reports changes of endpoints to every node, late and in batches.

It holds the endpoint list as discovery knows it and how late each node learns of changes. It knows only what
it is told, not whether a node is alive: the caller drops what is sent to a dead node. The caller runs
`handle(now, Tick())` at `wake_us`, and reads `wake_us` again after each call. A change passes three stages:

    changed ──notice, silent or add──▶ seen ──end of the period──▶ in the log ──the node's offset──▶ told

A change that is seen later than a newer change of the same endpoint is dropped, so a vanished endpoint that
takes 14 s to notice does not hide a restart in between. A node is sent everything due in the log at once, and
only the differences from what it was sent before. The log is bounded by the spread and by what the slowest
node has not been sent; nothing else grows with the day.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from operator import attrgetter

from granitewell.lab.day import Day
from granitewell.lab.emulator.types import Changed, DiscoveryEvent, Line, NodeBegins, Tell
from granitewell.lab.engine import stream

GONE = "gone"
_STATES = {"ready": "ready", "draining": "draining", GONE: GONE, "vanished": GONE}


@dataclass(frozen=True, slots=True)
class _Change:
    """One endpoint in one batch: its line before and after; None: not in the list."""

    id: str
    old: Line | None
    new: Line | None


@dataclass(frozen=True, slots=True)
class _Batch:
    """What the log holds under one revision.

    Attributes:
        due_us: When a node without an offset is sent it.
    """

    revision: int
    due_us: int
    whole: bool
    changes: tuple[_Change, ...]


@dataclass(slots=True)
class _Node:
    offset_us: int
    told_revision: int = 0  # the last revision sent to its process; 0: it needs the whole list


class Discovery:
    """The service and its agents. handle, silent, late and moved take times that never fall.

    Initially the list holds the day's endpoints that started long ago. A `Changed` that matches the list is
    not sent to any node.
    """

    def __init__(self, day: Day) -> None:
        self._day = day
        self._figures = day.discovery
        begun = [e for e in day.endpoints if e.started_us <= 0]
        self._list = {e.id: Line(e.id, e.zone, e.kind, e.cell, "ready", 0) for e in begun}
        self._revision = 1
        self._log: deque[_Batch] = deque()
        self._nodes: dict[str, _Node] = {}
        self._unpublished: list[tuple[int, int, Line]] = []  # heap of (publication time, change number, line)
        self._unpublished_count: dict[str, int] = {}  # changes per endpoint in that heap
        self._newest_published: dict[
            str, int
        ] = {}  # last published change number, while others are unpublished
        self._tells: list[tuple[int, str]] = []  # heap of (due, node)
        self._change_count = 0
        self._extra_us = 0
        self._silent = False
        self._last_lines: tuple[int, int, tuple[Line, ...]] = (-1, -1, ())

    @property
    def wake_us(self) -> int:
        """When it needs a Tick; -1: never, as things are."""
        if self._silent:
            return -1
        heads = [heap[0][0] for heap in (self._unpublished, self._tells) if heap]
        return min(heads) if heads else -1

    def handle(self, now_us: int, event: DiscoveryEvent) -> list[Tell]:
        """Handle an event and return the updates to send. Raises ValueError for an unknown kind of change."""
        tells = self._advance(now_us)
        if isinstance(event, Changed):
            self._change(now_us, event)
        elif isinstance(event, NodeBegins):
            tells += self._on_node_started(now_us, event.node)
        return tells

    def silent(self, now_us: int, on: bool) -> None:
        """Stop sending updates, or resume: what was held back goes out with the next Tick."""
        self._publish(now_us)
        ends, self._silent = self._silent and not on, on
        if ends:
            for name, node in self._nodes.items():
                heappush(self._tells, (now_us, name))
                for batch in self._log:
                    self._schedule_tell(batch, name, node)

    def late(self, now_us: int, extra_us: int) -> None:
        """Delay later publications by this much; 0 ends it. Updates stay in order."""
        self._publish(now_us)
        self._extra_us = extra_us

    def moved(self, now_us: int) -> None:
        """The service restarts elsewhere: all nodes are sent the whole list under a new revision."""
        self._publish(now_us)
        self._append(now_us, True, ())

    # --- From a change to the log -------------------------------------------------------------------------
    def _change(self, now_us: int, event: Changed) -> None:
        line, figures = event.line, self._figures
        if event.how not in _STATES:
            raise ValueError(f"Changed.how: found {event.how!r}, allowed: {', '.join(_STATES)}")
        # a drain is announced, so discovery need not notice it, unlike an end
        delays = {"ready": figures.add_us, "draining": 0, "vanished": figures.silent_us}
        delay = delays.get(event.how, figures.notice_us)
        period = max(1, figures.period_us)
        at = -(-(now_us + delay) // period) * period
        line = replace(line, state=_STATES[event.how], started_us=max(0, line.started_us))
        self._change_count += 1
        self._unpublished_count[line.id] = self._unpublished_count.get(line.id, 0) + 1
        heappush(self._unpublished, (at, self._change_count, line))

    def _publish(self, now_us: int) -> None:
        """Append every batch that is due to the log."""
        unpublished = self._unpublished
        while unpublished and unpublished[0][0] <= now_us:
            at, before = unpublished[0][0], dict[str, Line | None]()
            while unpublished and unpublished[0][0] == at:
                _, change_number, line = heappop(unpublished)
                if self._is_news(line.id, change_number):
                    before.setdefault(line.id, self._list.get(line.id))
                    self._apply(line)
            made = (_Change(i, old, self._list.get(i)) for i, old in before.items())
            changes = tuple(c for c in made if c.old != c.new)
            if changes:
                self._append(at, False, changes)

    def _is_news(self, endpoint: str, change_number: int) -> bool:
        """Whether no later change of this endpoint was published; drops state that is no longer needed."""
        newest = max(change_number, self._newest_published.get(endpoint, 0))
        self._unpublished_count[endpoint] -= 1
        if self._unpublished_count[endpoint]:
            self._newest_published[endpoint] = newest
        else:
            del self._unpublished_count[endpoint]
            self._newest_published.pop(endpoint, None)
        return newest == change_number

    def _apply(self, line: Line) -> None:
        if line.state == GONE:
            self._list.pop(line.id, None)
        else:
            self._list[line.id] = line

    def _append(self, at_us: int, whole: bool, changes: tuple[_Change, ...]) -> None:
        self._trim(at_us)
        self._revision += 1
        self._log.append(_Batch(self._revision, at_us + self._extra_us, whole, changes))
        if not self._silent:  # when silence ends, every node is scheduled
            for name, node in self._nodes.items():
                self._schedule_tell(self._log[-1], name, node)

    def _trim(self, now_us: int) -> None:
        """Drop batches that every node was sent and that are due to every node that may start."""
        told = min((n.told_revision for n in self._nodes.values()), default=self._revision)
        log, spread = self._log, self._figures.spread_us
        while log and log[0].revision <= told and log[0].due_us + spread <= now_us:
            log.popleft()

    # --- From the log to the nodes ------------------------------------------------------------------------
    def _schedule_tell(self, batch: _Batch, name: str, node: _Node) -> None:
        """Schedule an update of the node for when this batch is due to it."""
        heappush(self._tells, (batch.due_us + node.offset_us, name))

    def _advance(self, now_us: int) -> list[Tell]:
        self._publish(now_us)
        tells: list[Tell] = []
        while not self._silent and self._tells and self._tells[0][0] <= now_us:
            _, name = heappop(self._tells)
            tells += self._tell(now_us, name)
        return tells

    def _on_node_started(self, now_us: int, name: str) -> list[Tell]:
        """Send the whole list, as delayed as changes are for this node."""
        node = self._nodes.get(name)
        if node is None:
            node = self._nodes[name] = _Node(self._offset(name))
        node.told_revision = 0
        if self._silent:
            return []
        for batch in self._log:
            if batch.due_us + node.offset_us > now_us:
                self._schedule_tell(batch, name, node)
        return self._tell(now_us, name)

    def _offset(self, name: str) -> int:
        return int(stream(self._day.seed, "discovery", name).random() * self._figures.spread_us)

    def _tell(self, now_us: int, name: str) -> list[Tell]:
        """The update due to this node by now: one Tell, or none."""
        node = self._nodes[name]
        told_revision, due = node.told_revision, self._due_revision(now_us, node)
        if due <= told_revision:
            return []
        node.told_revision = due
        whole = not told_revision or any(b.whole for b in self._log if told_revision < b.revision <= due)
        lines = self._lines(-1 if whole else told_revision, due)
        return [Tell(now_us, name, whole, due, lines)] if lines or whole else []

    def _due_revision(self, now_us: int, node: _Node) -> int:
        """The last revision before the first that is not due yet, so that updates stay in order."""
        for batch in self._log:
            if batch.due_us + node.offset_us > now_us:
                return batch.revision - 1
        return self._revision

    def _lines(self, told_revision: int, due: int) -> tuple[Line, ...]:
        """The whole list as of a revision (known -1), or what has changed since the known one.

        The last result is cached, since most nodes need the same.
        """
        if self._last_lines[:2] != (told_revision, due):
            lines = self._whole(due) if told_revision < 0 else self._delta(told_revision, due)
            self._last_lines = (told_revision, due, lines)
        return self._last_lines[2]

    def _whole(self, revision: int) -> tuple[Line, ...]:
        """The list as of a revision, by undoing later changes; sorted by id."""
        lines = dict(self._list)
        for batch in reversed(self._log):
            if batch.revision <= revision:
                break
            for change in batch.changes:
                if change.old is None:
                    lines.pop(change.id, None)
                else:
                    lines[change.id] = change.old
        return tuple(sorted(lines.values(), key=attrgetter("id")))

    def _delta(self, told_revision: int, due: int) -> tuple[Line, ...]:
        """What differs between two revisions, in the order in which the endpoints first changed."""
        first: dict[str, _Change] = {}
        last: dict[str, _Change] = {}
        for batch in self._log:
            if told_revision < batch.revision <= due:
                for change in batch.changes:
                    first.setdefault(change.id, change)
                    last[change.id] = change
        return tuple(_told(first[i].old, c.new) for i, c in last.items() if first[i].old != c.new)


def _told(old: Line | None, new: Line | None) -> Line:
    """The line that describes this change; at least one of the two is given."""
    if new is not None:
        return new
    assert old is not None
    return replace(old, state=GONE)
