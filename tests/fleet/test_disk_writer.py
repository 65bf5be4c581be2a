"""The member's file is written away from the loop: the newest wins, and who waits hears when it is there."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable

import pytest

from granitewell.cluster import persisted_record
from granitewell.cluster.size_estimate import KnownNode
from granitewell.durable_folder import DurableFolder
from granitewell.net.disk_writer import SLOW_WRITE_US, DiskWriter

LIMIT_S = 20.0


class Slow(DurableFolder):
    """A disk that takes a write only once it is let go on."""

    def __init__(self, answer: str | Exception = "") -> None:
        super().__init__("")
        self.written: list[bytes] = []
        self.answer = answer
        self.gate = threading.Semaphore(0)

    def write(self, data: bytes) -> str:
        assert threading.current_thread() is not threading.main_thread()
        assert self.gate.acquire(timeout=LIMIT_S)
        self.written.append(data)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


async def until(what: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not what():
            await asyncio.sleep(0.001)


def played(scenario: Callable[[Slow, DiskWriter, list[str], list[int]], Awaitable[None]],
           answer: str | Exception = "") -> None:  # fmt: skip
    async def whole() -> None:
        disk, said, now = Slow(answer), list[str](), [5]
        await scenario(disk, DiskWriter(disk, lambda: now[0], said.append), said, now)

    asyncio.run(whole())


def test_the_newest_wins_and_whoever_waits_hears_after_the_last() -> None:
    async def scenario(disk: Slow, book: DiskWriter, said: list[str], now: list[int]) -> None:
        heard: list[list[bytes]] = []
        book.call_when_written(lambda: heard.append(list(disk.written)))
        assert heard == [[]]  # nothing is to be written
        for data in (b"1", b"2", b"3"):
            book.write(data)
        book.call_when_written(lambda: heard.append(list(disk.written)))
        await asyncio.sleep(0.01)  # the loop goes on while the disk does not
        assert book.is_writing and not disk.written and len(heard) == 1
        disk.gate.release()
        await until(lambda: disk.written == [b"1"])
        await asyncio.sleep(0.01)
        assert len(heard) == 1
        now[0] += SLOW_WRITE_US
        disk.gate.release()
        await until(lambda: len(heard) == 2)
        assert heard[1] == [b"1", b"3"] and not book.is_writing
        assert said == ["the disk took 1.0 s for the folder's file; nothing waited for it"]

    played(scenario)


@pytest.mark.parametrize(
    ("answer", "says"),
    [("f: No space left", "f: No space left"), (RuntimeError("odd"), "RuntimeError: odd")],
)
def test_what_goes_wrong_is_told_and_the_next_write_is_tried(answer: str | Exception, says: str) -> None:
    async def scenario(disk: Slow, book: DiskWriter, said: list[str], now: list[int]) -> None:
        for k in (1, 2):
            book.write(b"%d" % k)
            disk.gate.release()
            await until(lambda k=k: len(said) == k)  # type: ignore[misc]
        assert said == [f"not written down: {says}"] * 2 and disk.written == [b"1", b"2"]

    played(scenario, answer)


def test_only_what_the_next_process_has_to_know_is_worth_a_write() -> None:
    note = persisted_record.PersistedRecord(
        "n1",
        persisted_record.ProcessIdentity(1, 7, 0, 100),
        (KnownNode("n2", -1), KnownNode("n3", 5_000_000)),
        ("h:1",),
    )
    same = persisted_record.PersistedRecord(
        "n1",
        persisted_record.ProcessIdentity(1, 7, 0, 900),
        (KnownNode("n2", -1), KnownNode("n3", 6_000_000)),
        ("h:1",),
    )
    assert persisted_record.significant_content(note) == persisted_record.significant_content(same)
    for other in (
        persisted_record.PersistedRecord(
            "n1", persisted_record.ProcessIdentity(1, 7, 1, 100), note.known, note.addresses
        ),
        persisted_record.PersistedRecord(
            "n1", note.identity, (KnownNode("n2", 0), note.known[1]), note.addresses
        ),
        persisted_record.PersistedRecord(
            "n1", note.identity, (note.known[0], KnownNode("n3", 65_000_000)), note.addresses
        ),
        persisted_record.PersistedRecord("n1", note.identity, note.known[:1], note.addresses),
        persisted_record.PersistedRecord("n1", note.identity, note.known, ()),
    ):
        assert persisted_record.significant_content(other) != persisted_record.significant_content(note)
