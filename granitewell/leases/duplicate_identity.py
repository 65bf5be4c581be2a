"""Detection of two processes with the same name, and the choice of the one that gives way.

This module owns the comparison and how often a process announces itself. It never votes or leads. A process
announces itself at its own address. What returns under another boot id may come from an earlier process of
this name that no longer runs, so it is answered, and only what answers back is alive. The younger of two
running processes refuses to work.

Two disks of one name are safe in any case because of their incarnations. A copied disk can be distinguished
from the original only by this check, so it votes for no one new until a lease has passed since its start, and
announces itself often until then.
"""

from __future__ import annotations

from granitewell.leases.participant import Participant
from granitewell.protocols.peers.leases import Here
from granitewell.state_machine import LogLine

TIE_US = 1_000_000  # of two processes that started closer together, the boot ids decide
ANNOUNCEMENTS_PER_LEASE = 32  # while waiting after the start; later one per lease


class DuplicateIdentityCheck:
    """Announcements of this process to its own address.

    Attributes:
        next_us: When `due` is to be called, in microseconds.
        wait_ends_us: End of the wait after the start, in microseconds.
    """

    __slots__ = ("_answer_us", "_participant", "next_us", "wait_ends_us")

    def __init__(self, participant: Participant) -> None:
        self._participant = participant
        self.wait_ends_us = max(
            participant.promise.until_us, participant.now_us + participant.settings.lease_us
        )
        self.next_us = self._answer_us = participant.now_us

    @property
    def _uptime_us(self) -> int:
        return self._participant.now_us - self._participant.started_us

    @property
    def _announce_interval_us(self) -> int:
        return max(self._participant.settings.lease_us // ANNOUNCEMENTS_PER_LEASE, 1)

    def on_timer(self) -> None:
        """Announce this process, if it is time to."""
        now = self._participant.now_us
        if now >= self.next_us:
            self.next_us = now + (
                self._announce_interval_us if now < self.wait_ends_us else self._participant.settings.lease_us
            )
            self._participant.announce(Here(self._uptime_us))

    def on_announcement(self, sender: str, boot: int, body: Here) -> str:
        """Handle an announcement under the same name; return why this process refuses to work, or ""."""
        participant, now = self._participant, self._participant.now_us
        # an announcement of a process that has ended, or that has not heard from this one
        if body.heard != participant.boot:
            participant.announce(Here(self._uptime_us, boot), sender)
            return ""
        if is_younger(body, boot, participant.boot, self._uptime_us):
            return f"a process that has been up for longer goes by our name, {participant.settings.name}"
        participant.effects.append(
            LogLine("twin", f"a younger process goes by our name, {participant.settings.name}")
        )
        if now >= self._answer_us:
            self._answer_us = now + self._announce_interval_us
            participant.announce(Here(self._uptime_us, boot), sender)
        return ""


def is_younger(here: Here, theirs: int, boot: int, up_us: int) -> bool:
    """Return whether this process is the younger one.

    Args:
        here: Announcement of the other process.
        theirs: Boot id of the other process.
        boot: Boot id of this process.
        up_us: How long this process has been running, in microseconds.
    """
    ahead = here.up_us - up_us
    return ahead > 0 if abs(ahead) > TIE_US else boot > theirs
