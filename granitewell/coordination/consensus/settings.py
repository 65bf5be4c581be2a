"""Timings and limits of a replica. All times in seconds on the steady clock."""

from __future__ import annotations

from dataclasses import dataclass

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Timeouts and limits of a replica. Times are in seconds, sizes in bytes.

    The lease is shorter than the minimum election timeout by a margin for clocks that run at different rates;
    see `ClockMarginError`.
    """

    heartbeat_s: float = 0.12
    """Minimum time between heartbeats.

    Wake-ups are on a grid of 50 ms (`WAKE_GRID_S`), so a heartbeat is sent every 0.15 s: a lease of 0.5 s
    ends only after three are lost.
    """

    election_timeout_min_s: float = 0.65
    """Minimum election timeout. A follower that heard from its leader within this time grants no vote."""

    election_timeout_max_s: float = 1.2
    """Maximum election timeout."""

    lease_s: float = 0.5
    """Duration of the lease, from the send time of a heartbeat round that a quorum has acknowledged."""

    pre_vote_retry_s: float = 0.25
    """Minimum time between two rounds of pre-votes, which may be frequent because they change no state."""

    candidate_s: float = 0.6
    """How long a candidate waits for votes, which wait for disks, before it falls back to pre-votes."""

    join_s: float = 0.3
    """Time between two requests of a non-voter to join the group."""

    reachable_s: float = 1.0
    """A member that responded within this time counts as reachable."""

    answering_s: float = 0.4
    """A voter counts towards the quorums required for a change of members only if it responded within this
    time.

    A change that is appended while its quorum is permanently lost can never be rolled back.
    """

    unreachable_s: float = 2.0
    """A voter that was unresponsive for this long may be replaced by a learner on another machine.

    A change of members that has not completed within this time may be rolled back.
    """

    change_max_s: float = 5.0
    """A change of members that has not completed within this time is rolled back.

    That holds even if the voter being replaced is lost, because another learner may be ready.
    """

    leave_s: float = 1.0
    """How long a replica that is about to stop waits until it is replaced."""

    leave_again_s: float = 0.15
    """Time between two requests of a replica that is about to stop."""

    learner_expiry_s: float = 3.0
    """A learner that was unresponsive for this long is dropped."""

    retransmit_s: float = 0.5
    """Entries that were not acknowledged within this time are sent again."""

    slowest_link_bytes_s: float = 4.0 * MEBIBYTE
    """Bandwidth of the slowest link; the transfer time of what is in flight is added to `retransmit_s`."""

    disk_stall_s: float = 1.0
    """A leader whose own disk takes longer than this transfers its leadership."""

    disk_slow_s: float = 0.4
    """A replica whose disk takes longer than this does not campaign."""

    transfer_s: float = 1.0
    """How long a leader waits during a transfer until its successor has all entries."""

    late_timer_s: float = 0.3
    """A timer that fires later than this shows that the process was frozen."""

    append_bytes: int = MEBIBYTE
    """Maximum size of the entries in one message; a single entry always fits."""

    in_flight_bytes: int = 4 * MEBIBYTE
    """Maximum size of the entries in flight to one peer."""

    snapshot_chunk_bytes: int = 128 * KIBIBYTE
    """Size of a snapshot chunk. Heartbeats wait behind it: 0.2 s on a link of 5 Mbit/s."""

    snapshot_max_bytes: int = 64 * MEBIBYTE
    """The receiver refuses a larger snapshot."""

    entry_max_bytes: int = 24 * MEBIBYTE
    """Maximum size of a proposed entry."""

    uncommitted_max_bytes: int = 48 * MEBIBYTE
    """Maximum size of the uncommitted proposals; further ones are refused."""

    compact_bytes: int = 4 * MEBIBYTE
    """The log is compacted when its entries exceed this and twice the size of the previous snapshot."""

    compact_entries: int = 2_000
    """The log is compacted when it has more entries than this."""

    max_learners: int = 16
    """Maximum number of learners that a leader replicates to."""

    def __post_init__(self) -> None:
        if self.lease_s > self.election_timeout_min_s * 0.9:
            raise ClockMarginError(self.lease_s, self.election_timeout_min_s)


class ClockMarginError(ValueError):
    """The lease is not shorter than the minimum election timeout by at least a tenth."""

    def __init__(self, lease_s: float, election_timeout_min_s: float) -> None:
        super().__init__(f"a lease of {lease_s} s under an election timeout of {election_timeout_min_s} s")
