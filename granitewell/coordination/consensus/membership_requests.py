"""Requests that a replica makes for itself: to join its group, and to be replaced before it stops."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from granitewell.coordination.consensus.core import Core
from granitewell.coordination.consensus.messages import Join, Leave, LeaveReply


class MembershipRequests:
    """The part of a replica that joins and leaves a group.

    Attributes:
        seeds: Addresses to ask while no member is known.
        due_at: Time of the next request, in seconds.
        neighbour: Address of a replica that has looked for an earlier replica at this address.
    """

    def __init__(self, core: Core, seeds: Iterable[str], now: float) -> None:
        self._core = core
        self._started_at = now
        self._leave_at = now
        self._may_go = False
        self.seeds = tuple(seeds)
        self.due_at = now
        self.neighbour: str | None = None

    def heard_leader(self, now: float) -> None:
        """Record that the leader knows this replica."""
        self.due_at = now + self._core.settings.join_s

    def tick(self, now: float, leader_heard_at: float) -> None:
        """Ask to join the group if no leader has been heard from."""
        core = self._core
        if now < self.due_at:
            return
        self.due_at = now + core.settings.join_s
        leaderless_s = now - max(leader_heard_at, self._started_at)
        if core.is_voter and leaderless_s < core.settings.unreachable_s:
            return
        for address in self._known_addresses():
            core.send(address, Join(core.id, "", core.term, core.me, False))

    def _known_addresses(self) -> Sequence[str]:
        core = self._core
        addresses = dict.fromkeys(member.address for member in core.log.membership.all_voters())
        addresses.update(dict.fromkeys(self.seeds))
        if self.neighbour is not None:
            addresses[self.neighbour] = None
        addresses.pop(core.me.address, None)
        return list(addresses)

    def leave(self, now: float) -> bool:
        """Ask the leader whether this replica may stop; return whether to wait and ask again."""
        core = self._core
        if self._may_go or not core.is_voter:
            return False
        if core.leader_id is not None and core.leader_address is not None and now >= self._leave_at:
            self._leave_at = now + core.settings.leave_again_s
            core.send(core.leader_address, Leave(core.id, core.leader_id, core.term))
        return True

    def on_leave_reply(self, reply: LeaveReply) -> None:
        """Record whether there is anything to wait for."""
        if not reply.wait:
            self._may_go = True
