"""What a leader does during its term: heartbeats, lease, replication, commits, changes of members, transfer.

- The lease lasts from the send time of the newest heartbeat round that a quorum has acknowledged. It begins
  only after an entry of the leader's own term is committed.
- The leader's own copy of an entry counts once it is on the leader's disk. A majority of other replicas may
  commit an entry before that.
- A leader steps down when it has not heard from a quorum within the minimum election timeout.
- A leader gives up leadership before it transfers it, because the TimeoutNow message may arrive late.
- All majorities are counted by the quorum of the membership in force (quorum.py). While members change, that
  is a majority of the old voters and a majority of the new ones.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.log import ENTRY_OVERHEAD_BYTES
from granitewell.coordination.consensus.membership import is_voter
from granitewell.coordination.consensus.messages import (
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
from granitewell.coordination.consensus.progress import HeartbeatRounds, Progress, SnapshotTransfer
from granitewell.coordination.consensus.reconfiguration import Reconfiguration
from granitewell.coordination.consensus.tracker import ProgressTracker
from granitewell.coordination.consensus.types import Entry, EntryKind, Member

PROBE_BYTES = 64 * 1024
"""Maximum size of the entries sent before it is known where the peer's log agrees."""

CATCHING_UP_ENTRIES = 100
"""A peer that lacks more entries than this is catching up, and not merely waiting for messages in flight."""

TRANSFER_RETRY_S = 2.0
"""Pause after a leadership transfer that timed out, in seconds."""


@dataclass(slots=True)
class _LeadershipTransfer:
    target: str
    deadline: float


class Leadership:
    """State of a leader for one term.

    Attributes:
        stepped_down: Whether this replica must become a follower.
        heartbeat_at: Time of the next heartbeat round, in seconds.
        first_index: Index of the first entry of this term.
    """

    def __init__(
        self, core: Core, now: float, target_voters: int, old_leader: str | None, old_leader_heard_at: float
    ) -> None:
        self._core = core
        self._elected_at = now
        self._rounds = HeartbeatRounds()
        self._tracker = ProgressTracker(core, now)
        self._transfer: _LeadershipTransfer | None = None
        self._no_transfer_before = now
        self._announce_commit = False
        self._uncommitted: deque[Entry] = deque()
        self._uncommitted_bytes = 0
        self._reconfiguration = Reconfiguration(
            core, self._tracker, target_voters, now, self._append, self.transfer_leadership
        )
        self.stepped_down = False
        self.heartbeat_at = now
        if old_leader in self._tracker.peers:
            self._tracker.peers[old_leader].heard_at = old_leader_heard_at
        self.first_index = core.log.last_index + 1
        self._append(EntryKind.NO_OPERATION, b"")

    # Views

    @property
    def is_transferring_leadership(self) -> bool:
        """Whether proposals are refused because another replica is about to lead."""
        return self._transfer is not None

    @property
    def established(self) -> bool:
        """Whether an entry of this term is committed.

        Everything committed by earlier leaders is known from then on.
        """
        return self._core.commit_index >= self.first_index

    def has_peer_behind(self, now: float) -> bool:
        """Return whether a responsive peer is receiving a snapshot or lacks many entries."""
        least = self._core.commit_index - CATCHING_UP_ENTRIES
        return any(
            (peer.transfer is not None or peer.match_index < least)
            and not peer.is_unresponsive(now, self._core.settings)
            for peer in self._tracker.peers.values()
        )

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can be the leader now."""
        if self.stepped_down or not self.established:
            return False
        return now < self.acknowledged_at(now) + self._core.settings.lease_s

    def acknowledged_at(self, now: float) -> float:
        """Return the send time of the newest heartbeat round that a quorum has acknowledged."""
        return self._tracker.reached(now, lambda peer: peer.acknowledged_at)

    def seconds_since_contact(self, address: str, now: float) -> float:
        """Return the seconds since the member at an address was heard from; infinite if there is none."""
        return self._tracker.seconds_since_contact(address, now)

    # Log

    def propose(self, data: bytes) -> Entry:
        """Append an entry of the state machine."""
        return self._append(EntryKind.DATA, data)

    def _append(self, kind: EntryKind, data: bytes) -> Entry:
        core = self._core
        entry = Entry(core.log.last_index + 1, core.term, kind, data)
        core.append(entry)
        self._uncommitted.append(entry)
        self._uncommitted_bytes += len(data)
        return entry

    def uncommitted_bytes(self) -> int:
        """Return the size of this term's uncommitted entries, in bytes."""
        while self._uncommitted and self._uncommitted[0].index <= self._core.commit_index:
            self._uncommitted_bytes -= len(self._uncommitted.popleft().data)
        return self._uncommitted_bytes

    def advance_commit(self) -> None:
        """Commit the entries that a quorum has on disk, once they include an entry of this term."""
        core = self._core
        stable_index = core.persistence.stable_index
        index = int(max(0.0, self._tracker.reached(stable_index, lambda peer: peer.match_index)))
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit(index)
            self._announce_commit = True
            self._reconfiguration.notify_removed()
            if not is_voter(core.log.membership_at(core.commit_index), core.id):
                self.stepped_down = True

    # Timers

    def tick(self, now: float) -> None:
        """Send a heartbeat round and do the checks that are done once per round."""
        if now < self.heartbeat_at:
            return
        if self._lost_quorum(now):
            self.stepped_down = True
            return
        self.heartbeat_at = (
            now + self._core.settings.heartbeat_s
        )  # not delayed by rounds that announce commits
        self._tracker.forget_learners(now)
        self._send_heartbeats(now)
        self._resend(now)
        self._check_disk(now)
        self._check_transfer(now)
        self.change_members(now)

    def _lost_quorum(self, now: float) -> bool:
        heard = self._tracker.reached(now, lambda peer: peer.heard_at)
        return now - max(heard, self._elected_at) > self._core.settings.election_timeout_min_s

    def _send_heartbeats(self, now: float) -> None:
        core = self._core
        leased = self.holds_lease(now)
        number = self._rounds.begin(now)
        self._announce_commit = False
        for peer_id, peer in self._tracker.peers.items():
            commit = min(peer.match_index, core.commit_index)
            heartbeat = Heartbeat(
                core.id, peer_id, core.term, number, commit, leased, peer.stamp, core.commit_index
            )
            core.send(peer.member.address, heartbeat)

    def _resend(self, now: float) -> None:
        settings = self._core.settings
        for peer in self._tracker.peers.values():
            if peer.is_unresponsive(now, settings) or not peer.overdue(now, settings):
                continue
            peer.restart(peer.match_index + 1)
            peer.moved_at = now
            if peer.transfer is not None:
                self._send_chunk(peer, now)

    # Replication

    def flush(self, now: float) -> None:
        """Send the entries that peers lack; called once for all entries appended since the last call."""
        if self.stepped_down:
            return
        for peer in self._tracker.peers.values():
            self._replicate(peer, now)
        if self._announce_commit:
            self._send_heartbeats(now)

    def _replicate(self, peer: Progress, now: float) -> None:
        settings = self._core.settings
        if peer.transfer is not None or peer.is_unresponsive(now, settings):
            return
        if peer.probing:
            if not peer.waiting and peer.next_index <= self._core.log.last_index + 1:
                self._send_entries(peer, PROBE_BYTES, now)
            return
        last = self._core.log.last_index
        while peer.next_index <= last and peer.in_flight_bytes < settings.in_flight_bytes:
            if not self._send_entries(peer, settings.append_bytes, now):
                return

    def _send_entries(self, peer: Progress, max_bytes: int, now: float) -> bool:
        core = self._core
        previous = peer.next_index - 1
        previous_term = core.log.term_at(previous)
        if previous_term is None:
            peer.transfer = SnapshotTransfer(core.log.snapshot)
            self._send_chunk(peer, now)
            return False
        entries = core.log.batch(peer.next_index, max_bytes)
        size = sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in entries)
        if peer.probing and size > max_bytes:
            entries, size = (), 0
        append = Append(
            core.id, peer.member.replica_id, core.term, previous, previous_term, core.commit_index, entries
        )
        core.send(peer.member.address, append)
        peer.sent(previous + len(entries), size, now)
        return True

    def _send_chunk(self, peer: Progress, now: float) -> None:
        core = self._core
        assert peer.transfer is not None
        snapshot = peer.transfer.snapshot
        offset = peer.transfer.offset
        data = snapshot.data[offset : offset + core.settings.snapshot_chunk_bytes]
        chunk = SnapshotChunk(
            core.id,
            peer.member.replica_id,
            core.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            offset,
            len(snapshot.data),
            data,
        )
        core.send(peer.member.address, chunk)
        peer.in_flight_bytes = len(data)
        peer.moved_at = now

    # Replies

    def on_heartbeat_reply(self, reply: HeartbeatReply, now: float) -> None:
        """Record that a peer has received a heartbeat round."""
        peer = self._tracker.heard(reply.sender, now)
        if peer is not None:
            peer.stamp = reply.stamp
            peer.acknowledged_at = max(peer.acknowledged_at, self._rounds.sent_at(reply.round))

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Record the entries that a peer has on disk, or the index at which its log may agree."""
        peer = self._tracker.heard(reply.sender, now)
        if peer is None or reply.index > self._core.log.last_index:
            return
        if not reply.accepted:
            if peer.transfer is None:
                peer.rejected(reply.index)
            return
        peer.accepted(reply.index, now)
        if peer.transfer is not None and reply.index >= peer.transfer.snapshot.index:
            peer.transfer = None
            peer.restart(peer.match_index + 1)
        self.advance_commit()
        self._finish_transfer()
        self.change_members(now)

    def on_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Send the next chunk of a snapshot after a peer has received one.

        A duplicate reply sends nothing, because each duplicate would otherwise keep circulating. A peer that
        has lost its chunks gets the newest snapshot from the start.
        """
        peer = self._tracker.heard(reply.sender, now)
        if peer is None or peer.transfer is None or reply.index != peer.transfer.snapshot.index:
            return
        if reply.received == 0 < peer.transfer.offset:
            peer.transfer = SnapshotTransfer(self._core.log.snapshot)
        elif not peer.transfer.offset < reply.received <= len(peer.transfer.snapshot.data):
            return
        else:
            peer.transfer.offset = reply.received
        self._send_chunk(peer, now)

    # Members

    def on_join(self, member: Member, now: float) -> None:
        """Accept a learner; a voter that sends this message has a new address."""
        membership = self._core.log.membership
        if is_voter(membership, member.replica_id):
            if member not in membership.all_voters() and self._may_change():
                self._reconfiguration.move(member, now)
        elif member.replica_id not in membership.removed:
            self._tracker.add_learner(member, now)

    def on_leave(self, replica_id: str, now: float) -> bool:
        """Record that a voter is about to stop; return whether it should wait."""
        self._reconfiguration.record_leaving(replica_id, now)
        self.change_members(now)
        return self._reconfiguration.should_wait(replica_id, now)

    def _may_change(self) -> bool:
        """Return whether a change of members may begin.

        There is one change at a time, and none before an entry of this term is committed.
        """
        core = self._core
        is_change_committed = core.commit_index >= max(core.log.last_change_index, self.first_index)
        return is_change_committed and not self.is_transferring_leadership and not self.stepped_down

    def change_members(self, now: float) -> None:
        """Begin the next change of members, or end the current one, if that is due."""
        if self._may_change():
            self._reconfiguration.step(now)

    # Leadership transfer

    def transfer_leadership(self, now: float) -> bool:
        """Begin to transfer leadership to the best follower; return False if none responds.

        Proposals are refused during the transfer.
        """
        if self._transfer is not None:
            return True
        if self.stepped_down:
            return False
        best = self._tracker.best_successor(now)
        if best is None or now < self._no_transfer_before:
            return False
        self._transfer = _LeadershipTransfer(best.member.replica_id, now + self._core.settings.transfer_s)
        self._finish_transfer()
        return True

    def _finish_transfer(self) -> None:
        core = self._core
        if self._transfer is None or self.stepped_down:
            return
        peer = self._tracker.peers.get(self._transfer.target)
        if peer is not None and peer.match_index == core.log.last_index:
            self.stepped_down = True
            core.send(peer.member.address, TimeoutNow(core.id, peer.member.replica_id, core.term))

    def _check_transfer(self, now: float) -> None:
        if self._transfer is not None and now > self._transfer.deadline:
            self._transfer = None
            self._no_transfer_before = now + TRANSFER_RETRY_S

    def _check_disk(self, now: float) -> None:
        if self._core.persistence.stalled_for(now) > self._core.settings.disk_stall_s:
            self.transfer_leadership(now)
