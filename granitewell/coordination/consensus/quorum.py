"""Whose agreement counts: a majority of the voters, and while members change a majority of the outgoing
voters too.

The one place that counts majorities: commits, votes, pre-votes, heartbeat rounds, the lease and the guards of
changes all ask a `Quorum`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

from granitewell.coordination.consensus.types import Membership

NEVER = float("-inf")
"""A time before all times."""


def majority(voters: int) -> int:
    """How many of so many voters are a majority."""
    return voters // 2 + 1


@dataclass(frozen=True, slots=True)
class Quorum:
    """Groups of replica ids; a quorum has a majority of each. Without any group nothing is ever agreed."""

    groups: tuple[frozenset[str], ...]

    def satisfied_by(self, replica_ids: Collection[str]) -> bool:
        """Whether these replicas are a quorum."""
        if not self.groups:
            return False
        return all(
            sum(replica_id in replica_ids for replica_id in group) >= majority(len(group))
            for group in self.groups
        )

    def reached(self, values: Mapping[str, float]) -> float:
        """The greatest value that a quorum has reached; NEVER stands for a replica without one."""
        return min([_reached_by_majority(group, values) for group in self.groups], default=NEVER)


def _reached_by_majority(group: frozenset[str], values: Mapping[str, float]) -> float:
    ascending = sorted([values.get(replica_id, NEVER) for replica_id in group])
    return ascending[-majority(len(ascending))]


@lru_cache(maxsize=64)
def quorum_of(membership: Membership) -> Quorum:
    """The quorum under a membership."""
    groups = (membership.voters, membership.outgoing_voters)
    return Quorum(tuple(frozenset(member.replica_id for member in group) for group in groups if group))
