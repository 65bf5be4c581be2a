"""A member that is behind catches up by a snapshot of 4 MiB over a slow link while proposals continue."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

import pytest

from granitewell.coordination.consensus import codec
from granitewell.coordination.consensus.follower import Follower
from granitewell.coordination.consensus.leadership import Leadership
from granitewell.coordination.consensus.messages import Append, Message, SnapshotChunk, SnapshotReply
from granitewell.coordination.consensus.progress import SnapshotTransfer
from granitewell.coordination.consensus.settings import MEBIBYTE, ReplicaSettings
from granitewell.coordination.consensus.types import Membership
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from tests.coordination.cluster import Cluster, Node, SlowLink, WordList, group_of, until
from tests.coordination.virtual_loop import run

MEGABITS_5 = 5e6 / 8
SETTINGS = ReplicaSettings(compact_entries=200)
MAX_CATCH_UP_S = 12.0
"""A snapshot of 4 MiB takes 6.7 s on a link of 5 Mbit/s; then come the entries since, and the vote."""


class Large(WordList):
    """Counts its words; its snapshots have 4 MiB."""

    PADDING = bytes(4 * MEBIBYTE)

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def apply(self, index: int, data: bytes) -> object:
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return struct.pack("!Q", self.count) + self.PADDING

    def restore(self, data: bytes) -> None:
        (self.count,) = struct.unpack_from("!Q", data)


class Scenario:
    """A group whose third member lost its disk and has a slow link, while proposals continue."""

    def __init__(self, seed: int, bytes_s: float) -> None:
        self.cluster = Cluster(seed, SETTINGS, machine=Large)
        self.bytes_s = bytes_s
        self.chunk_bytes = 0
        self.disk_s = 0.001

    async def begin(self) -> None:
        """Lose the disk once a snapshot contains the first entries."""
        self.leader = await self.cluster.start()
        for _ in range(5):
            await self.change(50)
        self.behind = self.cluster.others(self.leader)[0]
        await self.behind.die(power=True)
        self.behind.wipe()
        self.cluster.slow[self.behind.address] = SlowLink(self.bytes_s)
        await self.change(1)
        self._count_chunks()

    async def change(self, count: int) -> None:
        """Make several proposals at once."""
        await asyncio.gather(*(group_of(self.leader).propose(b"x" * 100) for _ in range(count)))

    def _count_chunks(self) -> None:
        send = self.cluster.send

        def counted(sender: str, to: str, payload: bytes) -> None:
            if to == self.behind.address and len(payload) > 10_000:
                self.chunk_bytes += len(payload)
            send(sender, to, payload)

        self.cluster.send = counted  # type: ignore[method-assign]

    async def catch_up_s(self, changes_s: float, max_s: float = MAX_CATCH_UP_S) -> float:
        """Return how long it takes until the member votes and has what the leader had a moment before."""
        loop = self.cluster.loop
        began_at = loop.time()
        await self.start_behind()
        changes = asyncio.ensure_future(self._change_on(changes_s))
        try:
            await until(lambda: is_converged(self.leader, self.behind), 1.1 * max_s)
        finally:
            changes.cancel()
        return loop.time() - began_at

    async def start_behind(self) -> None:
        """Start the member that is behind, on its disk."""
        if self.behind.group is None:
            await self.behind.start()
        assert self.behind.executor is not None
        self.behind.executor.delay_s = self.disk_s

    async def _change_on(self, changes_s: float) -> None:
        while True:
            await asyncio.sleep(1 / changes_s)
            with suppress(NotLeaderError, ProposalLostError):
                await self.change(1)


def is_converged(leader: Node, other: Node) -> bool:
    """Return whether the member votes and lacks only entries in flight."""
    lacks = group_of(leader).applied_index - group_of(other).applied_index
    return group_of(other).is_voter and lacks < 20


def catch_up(changes_s: float, bytes_s: float = MEGABITS_5, seed: int = 1) -> tuple[float, int]:
    """Return the seconds to catch up, and the bytes of snapshots that were sent."""
    seconds = 0.0
    sent = 0

    async def play() -> None:
        nonlocal seconds, sent
        scenario = Scenario(seed, bytes_s)
        await scenario.begin()
        seconds = await scenario.catch_up_s(changes_s)
        sent = scenario.chunk_bytes
        assert group_of(scenario.behind).applied_index <= group_of(scenario.leader).applied_index
        assert group_of(scenario.leader).is_leader

    run(play())
    return seconds, sent


@pytest.mark.parametrize("changes_s", [1.0, 12.0, 60.0])
def test_a_replica_with_a_lost_disk_catches_up_over_a_slow_link_under_load(changes_s: float) -> None:
    seconds, sent = catch_up(changes_s)
    print(f"{changes_s} changes/s: {seconds:.2f} s, {sent} bytes of snapshots")
    assert seconds < MAX_CATCH_UP_S
    assert sent < 1.1 * len(Large.PADDING)


def test_a_disk_at_a_thirtieth_of_its_speed_catches_up() -> None:
    """Each write takes as long as 4 MiB at 3.3 MB/s: a thirtieth of 100 MB/s."""
    seconds = 0.0

    async def play() -> None:
        nonlocal seconds
        scenario = Scenario(3, MEGABITS_5)
        await scenario.begin()
        scenario.disk_s = len(Large.PADDING) / 3.3e6
        seconds = await scenario.catch_up_s(4.0, 2 * MAX_CATCH_UP_S)

    run(play())
    print(f"{seconds:.2f} s")
    assert seconds < 2 * MAX_CATCH_UP_S


def test_an_interrupted_snapshot_transfer_starts_over_and_completes() -> None:
    """The receiver of the snapshot is killed halfway and loses power later; then the leader is killed."""
    seconds = 0.0

    async def play() -> None:
        nonlocal seconds
        scenario = Scenario(4, MEGABITS_5)
        await scenario.begin()
        for power in (False, True):
            await scenario.start_behind()
            await asyncio.sleep(3)
            assert 0 < scenario.chunk_bytes < len(Large.PADDING) * 1.2
            await scenario.behind.die(power=power)
        await scenario.start_behind()
        await asyncio.sleep(3)
        await scenario.leader.die(power=False)
        old = scenario.leader
        await old.start()
        scenario.leader = await scenario.cluster.leader()
        assert scenario.leader is not scenario.behind
        seconds = await scenario.catch_up_s(10.0)

    run(play())
    print(f"{seconds:.2f} s after the last death")
    assert seconds < MAX_CATCH_UP_S


# Planted defects


def compact_at_once(patch: pytest.MonkeyPatch) -> None:
    """The log is compacted although a peer needs its entries after its snapshot."""
    patch.setattr(Leadership, "has_peer_behind", lambda self, now: False)
    patch.setitem(globals(), "SETTINGS", replace(SETTINGS, compact_entries=50))


def newest_snapshot_each_time(patch: pytest.MonkeyPatch) -> None:
    """A transfer switches to each new snapshot and starts over."""
    real = Leadership._send_chunk

    def send(self: Leadership, peer: object, now: float) -> None:
        newest = self._core.log.snapshot
        if peer.transfer.snapshot is not newest:  # type: ignore[attr-defined]
            peer.transfer = SnapshotTransfer(newest)  # type: ignore[attr-defined]
        real(self, peer, now)  # type: ignore[arg-type]

    compact_at_once(patch)
    patch.setattr(Leadership, "_send_chunk", send)


def each_reply_sends(patch: pytest.MonkeyPatch) -> None:
    """Each reply to a chunk triggers the next one, even a duplicate reply; chunks have 1 MiB."""

    def on_reply(self: Leadership, reply: SnapshotReply, now: float) -> None:
        peer = self._tracker.heard(reply.sender, now)
        if peer is not None and peer.transfer is not None:
            peer.transfer.offset = reply.received
            self._send_chunk(peer, now)

    patch.setattr(Leadership, "on_snapshot_reply", on_reply)
    patch.setitem(globals(), "SETTINGS", replace(SETTINGS, snapshot_chunk_bytes=MEBIBYTE))


@pytest.mark.parametrize(
    ("plant", "changes_s"),
    [(compact_at_once, 12.0), (newest_snapshot_each_time, 12.0), (each_reply_sends, 1.0)],
)
def test_planted_defects_are_detected(
    plant: Callable[[pytest.MonkeyPatch], None], changes_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError)):
        test_a_replica_with_a_lost_disk_catches_up_over_a_slow_link_under_load(changes_s)


def test_the_scenarios_of_planted_defects_pass_without_them(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "SETTINGS", replace(SETTINGS, compact_entries=50))
    test_a_replica_with_a_lost_disk_catches_up_over_a_slow_link_under_load(12.0)


# Lost messages


def lose_a_message_under_load() -> None:
    """Restart a follower while proposals continue, and lose the first entries that are sent to it."""

    async def scenario() -> None:
        cluster = Cluster(2)
        leader = await cluster.start()
        behind = cluster.others(leader)[0]
        await behind.die(power=False)
        send = cluster.send
        lost: list[Message] = []

        def lossy(sender: str, to: str, payload: bytes) -> None:
            message = codec.decode(payload)
            if to == behind.address and isinstance(message, Append) and not lost:
                lost.append(message)
            else:
                send(sender, to, payload)

        async def change() -> None:
            while True:
                await group_of(leader).propose(b"x")
                await asyncio.sleep(0.05)

        changes = asyncio.ensure_future(change())
        await asyncio.sleep(2)
        cluster.send = lossy  # type: ignore[method-assign]
        await behind.start()
        await asyncio.sleep(2)
        lacks = group_of(leader).applied_index - group_of(behind).applied_index
        changes.cancel()
        assert lost and lacks < 5

    run(scenario())


def test_lost_messages_are_sent_again_under_load() -> None:
    lose_a_message_under_load()


def test_delayed_retransmission_checks_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = Leadership._send_heartbeats

    def send(self: Leadership, now: float) -> None:
        real(self, now)
        self.heartbeat_at = now + self._core.settings.heartbeat_s

    monkeypatch.setattr(Leadership, "_send_heartbeats", send)
    with pytest.raises(AssertionError):
        lose_a_message_under_load()


def test_chunks_of_two_leaders_snapshots_are_not_mixed(monkeypatch: pytest.MonkeyPatch) -> None:
    taken: list[bytes] = []

    class Core:
        """The parts of a replica that receive a snapshot."""

        id = "me"
        term = 5
        commit_index = 1
        settings = ReplicaSettings()

        def send_in_term(self, address: str, message: object) -> None:
            """Discard the message."""

    monkeypatch.setattr(Follower, "_install", lambda self, address, chunk, data: taken.append(data))
    following = Follower(Core())  # type: ignore[arg-type]

    def chunk(term: int, offset: int, data: bytes) -> SnapshotChunk:
        return SnapshotChunk("leader", "me", term, 9, 2, Membership(), offset, 4, data)

    following.on_snapshot_chunk("", chunk(3, 0, b"aa"))
    following.on_snapshot_chunk("", chunk(4, 2, b"bb"))
    assert taken == []
    following.on_snapshot_chunk("", chunk(4, 0, b"BB"))
    following.on_snapshot_chunk("", chunk(4, 2, b"bb"))
    assert taken == [b"BBbb"]
