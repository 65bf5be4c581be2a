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

TIE_US = 1_000_000  # two that started this close together are distinguished by their boot ids
HERES_A_LEASE = 32  # while it waits after its start; one a lease later


class DuplicateIdentityCheck:
    """Announcements of this process to its own address.

    Attributes:
        next_us: When `due` is to be called, in microseconds.
        waits_us: End of the wait after the start, in microseconds.
    """

    __slots__ = ("_answer_us", "_participant", "next_us", "waits_us")

    def __init__(self, participant: Participant) -> None:
        self._participant = participant
        self.waits_us = max(participant.promise.until_us, participant.now_us + participant.settings.lease_us)
        self.next_us = self._answer_us = participant.now_us

    @property
    def _up_us(self) -> int:
        return self._participant.now_us - self._participant.began_us

    @property
    def _often_us(self) -> int:
        return max(self._participant.settings.lease_us // HERES_A_LEASE, 1)

    def due(self) -> None:
        """Announce this process, if it is time to."""
        now = self._participant.now_us
        if now >= self.next_us:
            self.next_us = now + (
                self._often_us if now < self.waits_us else self._participant.settings.lease_us
            )
            self._participant.say_here(Here(self._up_us))

    def heard(self, sender: str, boot: int, body: Here) -> str:
        """Handle an announcement under the same name; return why this process refuses to work, or ""."""
        participant, now = self._participant, self._participant.now_us
        if (
            body.heard != participant.boot
        ):  # an announcement of a dead process, or of one that has not heard from us
            participant.say_here(Here(self._up_us, boot), sender)
            return ""
        if younger(body, boot, participant.boot, self._up_us):
            return f"a process that has been up for longer goes by our name, {participant.settings.name}"
        participant.out.append(
            LogLine("twin", f"a younger process goes by our name, {participant.settings.name}")
        )
        if now >= self._answer_us:
            self._answer_us = now + self._often_us
            participant.say_here(Here(self._up_us, boot), sender)
        return ""


def younger(here: Here, theirs: int, boot: int, up_us: int) -> bool:
    """Return whether this process is the younger one.

    Args:
        theirs: Boot id of the other process.
        boot: Boot id of this process.
        up_us: How long this process has been running, in microseconds.
        here: Announcement of the other process.
    """
    ahead = here.up_us - up_us
    return ahead > 0 if abs(ahead) > TIE_US else boot > theirs
