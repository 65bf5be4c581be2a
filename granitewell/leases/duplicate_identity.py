"""Two processes that go by one name: how each finds out, and which of them gives way.

It owns the comparison and how often a process says that it is here. It must never vote or lead. A process
says so to its own address. What comes back under another boot may be from a former process of this name that
is dead by now, so it is answered, and only what answers us is alive. The younger of two that are alive
refuses itself.

Two disks of one name are safe all the same, by their lives. A disk that was copied is not told from the
original but by this, so it votes for nobody new until a lease has passed since it started, and asks often
meanwhile.
"""

from __future__ import annotations

from granitewell.leases.participant import Seat
from granitewell.protocols.peers.leases import Here
from granitewell.state_machine import Line

TIE_US = 1_000_000  # two that started so close together are told apart by their boots
HERES_A_LEASE = 32  # while it waits after its start; one a lease later


class Twins:
    """next_us: when `due` is to be called.

    Attributes:
        waits_us: Until when we wait after our start.
    """

    __slots__ = ("_answer_us", "_seat", "next_us", "waits_us")

    def __init__(self, seat: Seat) -> None:
        self._seat = seat
        self.waits_us = max(seat.promise.until_us, seat.now_us + seat.settings.lease_us)
        self.next_us = self._answer_us = seat.now_us

    @property
    def _up_us(self) -> int:
        return self._seat.now_us - self._seat.began_us

    @property
    def _often_us(self) -> int:
        return max(self._seat.settings.lease_us // HERES_A_LEASE, 1)

    def due(self) -> None:
        """Say that we are here, if it is time to."""
        now = self._seat.now_us
        if now >= self.next_us:
            self.next_us = now + (self._often_us if now < self.waits_us else self._seat.settings.lease_us)
            self._seat.say_here(Here(self._up_us))

    def heard(self, sender: str, boot: int, body: Here) -> str:
        """Somebody else goes by our name. Why we refuse ourselves; empty where we do not."""
        seat, now = self._seat, self._seat.now_us
        if body.heard != seat.boot:  # a dead one's word, or one that has not heard of us
            seat.say_here(Here(self._up_us, boot), sender)
            return ""
        if younger(body, boot, seat.boot, self._up_us):
            return f"a process that has been up for longer goes by our name, {seat.settings.name}"
        seat.out.append(Line("twin", f"a younger process goes by our name, {seat.settings.name}"))
        if now >= self._answer_us:
            self._answer_us = now + self._often_us
            seat.say_here(Here(self._up_us, boot), sender)
        return ""


def younger(here: Here, theirs: int, boot: int, up_us: int) -> bool:
    """Whether we are the younger one.

    Args:
        theirs, boot: The two boots.
        up_us: How long we have been up.
    """
    ahead = here.up_us - up_us
    return ahead > 0 if abs(ahead) > TIE_US else boot > theirs
