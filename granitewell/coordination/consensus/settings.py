"""Timings and limits of a replica. All times in seconds on the steady clock."""

from __future__ import annotations

from dataclasses import dataclass

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """What a replica is tuned by.

    The lease is shorter than the least election timeout by a margin that covers clocks that drift apart; see
    `ClockMarginError`.
    """

    heartbeat_s: float = 0.12
    """Least time between heartbeats.

    Wake-ups are on a grid of 50 ms (`WAKE_GRID_S`), so one goes out every 0.15 s: three are missed before a
    lease of 0.5 s ends.
    """

    election_timeout_min_s: float = 0.65
    """A follower that heard its leader within this time grants no vote."""

    election_timeout_max_s: float = 1.2
    """Election timeouts are drawn between the least and this."""

    lease_s: float = 0.5
    """How long a heartbeat round that a quorum acknowledged carries the lease, from the round's send time."""

    pre_vote_retry_s: float = 0.25
    """A pre-vote changes nothing, so it may be asked for often: least time between two rounds of it."""

    candidate_s: float = 0.6
    """How long a candidate waits for votes before it asks for pre-votes again; votes wait for disks."""

    join_s: float = 0.3
    """Between two requests of a replica that is no voter to be taken in."""

    reachable_s: float = 1.0
    """A member that answered within this time counts as reachable."""

    answering_s: float = 0.4
    """A voter counts towards the quorums that a change of members needs only if it answered within this time.

    A change that is appended while its quorum is gone for good can never be taken back.
    """

    unreachable_s: float = 2.0
    """A voter that was silent for this long may be replaced by a learner of another machine.

    A change of members that has not come through for this long may be taken back.
    """

    change_max_s: float = 5.0
    """A change of members that has not come through for this long is taken back, also where the voter that it
    replaces is lost: another learner may be ready."""

    leave_s: float = 1.0
    """How long a replica that is about to stop waits until its place is filled."""

    leave_again_s: float = 0.15
    """Between two requests of a replica that is about to stop to have its place filled."""

    learner_expiry_s: float = 3.0
    """A learner that was silent for this long is forgotten."""

    retransmit_s: float = 0.5
    """Entries that were not acknowledged for this long are sent again."""

    slowest_link_bytes_s: float = 4.0 * MEBIBYTE
    """Added to `retransmit_s`: the time that what is under way takes on a slow link."""

    disk_stall_s: float = 1.0
    """A leader whose own disk takes longer than this hands leadership over."""

    disk_slow_s: float = 0.4
    """A replica whose disk takes longer than this does not stand for election."""

    transfer_s: float = 1.0
    """How long a leader that hands over waits for its successor to hold all entries."""

    late_timer_s: float = 0.3
    """A timer that fires later than this shows that the process was frozen."""

    append_bytes: int = MEBIBYTE
    """Entries in one message, but one entry always fits."""

    in_flight_bytes: int = 4 * MEBIBYTE
    """Entries under way to one peer."""

    snapshot_chunk_bytes: int = 128 * KIBIBYTE
    """Of a snapshot in one message. Heartbeats wait behind it: 0.2 s on a link of 5 Mbit/s."""

    snapshot_max_bytes: int = 64 * MEBIBYTE
    """A snapshot larger than this is refused by who receives it."""

    entry_max_bytes: int = 24 * MEBIBYTE
    """The largest entry that can be proposed."""

    uncommitted_max_bytes: int = 48 * MEBIBYTE
    """Proposals beyond this wait for nobody: they are refused."""

    compact_bytes: int = 4 * MEBIBYTE
    """The log is compacted when its entries exceed this and twice the size of the snapshot before."""

    compact_entries: int = 2_000
    """The log is compacted when it has more entries than this."""

    max_learners: int = 16
    """Learners that a leader serves."""

    def __post_init__(self) -> None:
        if self.lease_s > self.election_timeout_min_s * 0.9:
            raise ClockMarginError(self.lease_s, self.election_timeout_min_s)


class ClockMarginError(ValueError):
    """The lease is not shorter than the least election timeout by a tenth."""

    def __init__(self, lease_s: float, election_timeout_min_s: float) -> None:
        super().__init__(f"a lease of {lease_s} s under an election timeout of {election_timeout_min_s} s")
