"""Quorums: a majority of the voters and, while members change, also a majority of the outgoing voters.

This is the only module that counts majorities. Commits, votes, pre-votes, heartbeat rounds, the lease and the
checks before a change of members all use `Quorum`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

from granitewell.coordination.consensus.types import Membership

NEVER = float("-inf")
"""A time before all others."""


def majority(voters: int) -> int:
    """Return how many of `count` voters are a majority."""
    return voters // 2 + 1


@dataclass(frozen=True, slots=True)
class Quorum:
    """Groups of replica ids; a quorum is a majority of each group.

    Without any group there is never a quorum.
    """

    groups: tuple[frozenset[str], ...]

    def satisfied_by(self, replica_ids: Collection[str]) -> bool:
        """Return whether these replicas are a quorum."""
        if not self.groups:
            return False
        return all(
            sum(replica_id in replica_ids for replica_id in group) >= majority(len(group))
            for group in self.groups
        )

    def reached(self, values: Mapping[str, float]) -> float:
        """Return the greatest value that a quorum has reached.

        NEVER is the value of a replica without one.
        """
        return min([_reached_by_majority(group, values) for group in self.groups], default=NEVER)


def _reached_by_majority(group: frozenset[str], values: Mapping[str, float]) -> float:
    ascending = sorted([values.get(replica_id, NEVER) for replica_id in group])
    return ascending[-majority(len(ascending))]


@lru_cache(maxsize=64)
def quorum_of(membership: Membership) -> Quorum:
    """Return the quorum of a membership."""
    groups = (membership.voters, membership.outgoing_voters)
    return Quorum(tuple(frozenset(member.replica_id for member in group) for group in groups if group))
