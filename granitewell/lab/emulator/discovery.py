"""Discovery: what happens to endpoints, told to every node seconds late and in batches.

It owns the list as discovery holds it and how late each node hears which part of it. It must never know what
is true beyond what it was told, nor whether a node is alive: what a dead node is told, the shell drops. Like
the other parts it is woken: the shell calls `handle(now, Tick())` at `wake_us`, and reads `wake_us` again
after each call. A change passes three stages:

    changed ──notice, silent or add──▶ seen ──end of the period──▶ in the log ──the node's offset──▶ told

What is seen later than a newer change of the same endpoint is dropped, so a vanish that takes 14 s to see
never hides the restart that came in between. A node is told everything in its part of the log at once, and
only what differs from what it was told before. What the log holds is bounded by the spread and by what the
node furthest behind has not been told; nothing else grows with the day.
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
        due_us: When a node without an offset hears it.
    """

    revision: int
    due_us: int
    whole: bool
    changes: tuple[_Change, ...]


@dataclass(slots=True)
class _Node:
    offset_us: int
    told_revision: int = 0  # the revision that its process was told last; 0: it waits for the whole list


class Discovery:
    """The service and its agents. handle, silent, late and moved take times that never fall.

    Before anything is said, the list holds the day's endpoints that started long ago. A `Changed` that says
    what the list holds already tells nobody anything.
    """

    def __init__(self, day: Day) -> None:
        self._day = day
        self._figures = day.discovery
        begun = [e for e in day.endpoints if e.started_us <= 0]
        self._list = {e.id: Line(e.id, e.zone, e.kind, e.cell, "ready", 0) for e in begun}
        self._revision = 1
        self._log: deque[_Batch] = deque()
        self._nodes: dict[str, _Node] = {}
        self._unpublished: list[tuple[int, int, Line]] = []  # (published at, order of cause, line): a heap
        self._unpublished_count: dict[str, int] = {}  # changes of an endpoint in that heap
        self._newest_published: dict[
            str, int
        ] = {}  # order of the last cause that is in the log, while others wait
        self._tells: list[tuple[int, str]] = []  # (due, node): a heap
        self._change_count = 0
        self._extra_us = 0
        self._silent = False
        self._last_lines: tuple[int, int, tuple[Line, ...]] = (-1, -1, ())

    @property
    def wake_us(self) -> int:
        """When it wants a Tick; -1: never, as things are."""
        if self._silent:
            return -1
        heads = [heap[0][0] for heap in (self._unpublished, self._tells) if heap]
        return min(heads) if heads else -1

    def handle(self, now_us: int, event: DiscoveryEvent) -> list[Tell]:
        """Take an event; what is to be written now. Raises ValueError for a change of an unknown kind."""
        tells = self._advance(now_us)
        if isinstance(event, Changed):
            self._change(now_us, event)
        elif isinstance(event, NodeBegins):
            tells += self._on_node_started(now_us, event.node)
        return tells

    def silent(self, now_us: int, on: bool) -> None:
        """From now on nobody is told anything; or what was held back goes out with the next Tick."""
        self._publish(now_us)
        ends, self._silent = self._silent and not on, on
        if ends:
            for name, node in self._nodes.items():
                heappush(self._tells, (now_us, name))
                for batch in self._log:
                    self._schedule_tell(batch, name, node)

    def late(self, now_us: int, extra_us: int) -> None:
        """Whatever is published from now on is told so much later; 0 ends it. Nothing overtakes."""
        self._publish(now_us)
        self._extra_us = extra_us

    def moved(self, now_us: int) -> None:
        """The service starts anew elsewhere: all nodes are told the whole list, under a new revision."""
        self._publish(now_us)
        self._append(now_us, True, ())

    # --- From a change to the log -------------------------------------------------------------------------
    def _change(self, now_us: int, event: Changed) -> None:
        line, figures = event.line, self._figures
        if event.how not in _STATES:
            raise ValueError(f"Changed.how: found {event.how!r}, allowed: {', '.join(_STATES)}")
        # a drain is announced: discovery need not find out by itself, as with an end
        delays = {"ready": figures.add_us, "draining": 0, "vanished": figures.silent_us}
        delay = delays.get(event.how, figures.notice_us)
        period = max(1, figures.period_us)
        at = -(-(now_us + delay) // period) * period
        line = replace(line, state=_STATES[event.how], started_us=max(0, line.started_us))
        self._change_count += 1
        self._unpublished_count[line.id] = self._unpublished_count.get(line.id, 0) + 1
        heappush(self._unpublished, (at, self._change_count, line))

    def _publish(self, now_us: int) -> None:
        """Put every batch whose time has come into the log."""
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
        """Whether no later cause of this endpoint was seen before; forgets what nothing waits for."""
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
        if not self._silent:  # its end has each node looked at
            for name, node in self._nodes.items():
                self._schedule_tell(self._log[-1], name, node)

    def _trim(self, now_us: int) -> None:
        """Drop what every node was told and what no beginning node would be too late for."""
        told = min((n.told_revision for n in self._nodes.values()), default=self._revision)
        log, spread = self._log, self._figures.spread_us
        while log and log[0].revision <= told and log[0].due_us + spread <= now_us:
            log.popleft()

    # --- From the log to the nodes ------------------------------------------------------------------------
    def _schedule_tell(self, batch: _Batch, name: str, node: _Node) -> None:
        """Have the node looked at when this batch is due to it."""
        heappush(self._tells, (batch.due_us + node.offset_us, name))

    def _advance(self, now_us: int) -> list[Tell]:
        self._publish(now_us)
        tells: list[Tell] = []
        while not self._silent and self._tells and self._tells[0][0] <= now_us:
            _, name = heappop(self._tells)
            tells += self._tell(now_us, name)
        return tells

    def _on_node_started(self, now_us: int, name: str) -> list[Tell]:
        """The whole list, as late as changes come to this node."""
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
        """What this node has not been told and is due to it by now: one Tell, or none."""
        node = self._nodes[name]
        told_revision, due = node.told_revision, self._due_revision(now_us, node)
        if due <= told_revision:
            return []
        node.told_revision = due
        whole = not told_revision or any(b.whole for b in self._log if told_revision < b.revision <= due)
        lines = self._lines(-1 if whole else told_revision, due)
        return [Tell(now_us, name, whole, due, lines)] if lines or whole else []

    def _due_revision(self, now_us: int, node: _Node) -> int:
        """The revision before the first that is not due yet: a later one never overtakes it."""
        for batch in self._log:
            if batch.due_us + node.offset_us > now_us:
                return batch.revision - 1
        return self._revision

    def _lines(self, told_revision: int, due: int) -> tuple[Line, ...]:
        """The whole list as of a revision (known -1), or what has changed since the known one.

        The last outcome is kept: most nodes ask for the same.
        """
        if self._last_lines[:2] != (told_revision, due):
            lines = self._whole(due) if told_revision < 0 else self._delta(told_revision, due)
            self._last_lines = (told_revision, due, lines)
        return self._last_lines[2]

    def _whole(self, revision: int) -> tuple[Line, ...]:
        """The list as it was, by undoing what came later; by id."""
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
    """The line that tells this change; one of the two is there."""
    if new is not None:
        return new
    assert old is not None
    return replace(old, state=GONE)
