"""Queue and slots of a process: who waits and who works, how fast, and who finishes next.

Requests wait in order of arrival for one of cores x slots_per_core slots; tasks such as handshakes run
outside the slots. All running tasks share the cores evenly and advance on one clock of work
(`endpoint_pace`), kept in a heap by where on that clock they finish. Why a task came and what becomes of it
is not known here.
"""

from __future__ import annotations

from collections import OrderedDict
from heapq import heappop, heappush

from granitewell.lab.day import ConnDay, EndpointDay, KindDay
from granitewell.lab.emulator.endpoint_pace import EPS, Pace
from granitewell.lab.emulator.endpoint_table import Stage, Task


class Slots:
    """Slots and queue of one process. `waiting` and `working` (in slots) are keyed by task number."""

    __slots__ = (
        "_conn",
        "_cores",
        "_finishing",
        "_kind",
        "_knee",
        "_push_count",
        "_speed",
        "unslotted",
        "count",
        "pace",
        "queue_capacity",
        "waiting",
        "waiting_work",
        "working",
    )

    def __init__(self, spec: EndpointDay, kind: KindDay, conn: ConnDay, start_us: int, cold: bool) -> None:
        self._kind, self._conn, self._cores, self._speed = kind, conn, kind.cores, spec.speed
        self.count, self.queue_capacity = (
            kind.cores * kind.slots_per_core,
            int(kind.cores * kind.queue_per_core),
        )
        self._knee = max(kind.cores * kind.thrash_at, 1.0)  # requests held beyond which efficiency drops
        self.pace = Pace(kind, kind.cores * spec.speed, start_us, cold)
        self.waiting: OrderedDict[int, Task] = OrderedDict()
        self.waiting_work = 0.0  # as asked for
        self.working: dict[int, Task] = {}
        self.unslotted: dict[int, Task] = {}  # handshakes and shallow probes
        self._finishing: list[tuple[float, int, Task]] = []  # stale where the task's finish differs
        self._push_count = 0

    @property
    def held(self) -> int:
        """Tasks in the queue or in a slot."""
        return len(self.waiting) + len(self.working)

    @property
    def busy_cores(self) -> int:
        """Number of busy cores."""
        return min(self._cores, len(self.working) + len(self.unslotted))

    @property
    def efficiency(self) -> float:
        """The share of capacity left by crowding."""
        over = (len(self.waiting) + len(self.working)) / self._knee - 1.0
        return 1.0 / (1.0 + self._kind.thrash * over) if over > 0.0 else 1.0

    def set_pace(self, condition_pace: float, connections: int) -> None:
        """Set the pace from what is held, running and open now."""
        cores, working = self._cores, len(self.working)
        active = working + len(self.unslotted)
        factor = self._speed * condition_pace
        if working + len(self.waiting) > self._knee:
            factor *= self.efficiency
        if active > cores:
            factor *= cores / active
        if self._conn.full_tax:
            factor *= max(0.0, 1.0 - self._conn.full_tax * connections / max(1, self._conn.cap))
        pace = self.pace
        pace.factor, pace.active = factor, active
        if pace.cold:
            pace.changed()

    def enqueue(self, task: Task) -> bool:
        """Add a task to the queue; False if it is full."""
        if len(self.waiting) >= self.queue_capacity:
            return False
        task.stage = Stage.WAITING
        self.waiting[task.seq] = task
        self.waiting_work += task.asked.work_us
        return True

    def dequeue(self) -> Task | None:
        """Take the task that has waited longest, if a slot is free."""
        if not self.waiting or len(self.working) >= self.count:
            return None
        _, task = self.waiting.popitem(last=False)
        self._less_waiting(task)
        return task

    def _less_waiting(self, task: Task) -> None:
        # Set to 0 now and then, so that rounding does not add up over a day.
        self.waiting_work = self.waiting_work - task.asked.work_us if self.waiting else 0.0

    def work(self, task: Task, work_us: float, unslotted: bool = False) -> None:
        """Start work on a task, in a slot or outside them."""
        task.stage = Stage.WORKING
        (self.unslotted if unslotted else self.working)[task.seq] = task
        self.continue_work(task, work_us)

    def continue_work(self, task: Task, work_us: float) -> None:
        """Set the work left of a running task."""
        task.finish = self.pace.done + work_us
        self._push_count += 1
        heappush(self._finishing, (task.finish, self._push_count, task))

    def remove(self, task: Task) -> None:
        """Remove a task from the queue, slots or side tasks, if it is there."""
        task.finish = -1.0
        if self.working.pop(task.seq, None) is None and self.waiting.pop(task.seq, None) is not None:
            self._less_waiting(task)
        self.unslotted.pop(task.seq, None)

    def finished(self) -> Task | None:
        """Take a task whose work is done by now; None if there is none."""
        finishing = self._finishing
        while finishing and finishing[0][0] <= self.pace.done + EPS:
            finish, _, task = heappop(finishing)
            if task.finish == finish:
                task.finish = -1.0
                if self.working.pop(task.seq, None) is None:
                    del self.unslotted[task.seq]
                return task
        return None

    def due_us(self) -> int:
        """When the next task finishes; -1: never, as things are."""
        finishing = self._finishing
        while finishing and finishing[0][2].finish != finishing[0][0]:
            heappop(finishing)
        return self.pace.when(finishing[0][0]) if finishing else -1

    def expected_us(self, now_us: int, work_us: float) -> float:
        """Estimated time of a task with this work that arrived now, at the present pace.

        Exact in the mean for one slot; with more, the first free one is taken to come after an even share of
        what runs.
        """
        done, warm = self.pace.at(now_us)
        rate = self.pace.factor * warm
        if rate <= 0.0 or (len(self.working) >= self.count and len(self.waiting) >= self.queue_capacity):
            return float("inf")
        if len(self.working) >= self.count:
            running = sum(max(0.0, task.finish - done) for task in self.working.values())
            work_us += self.waiting_work / self.count + running / self.count**2
        return work_us / rate
