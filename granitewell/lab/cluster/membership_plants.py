"""Defects planted in membership on purpose, to show that what watches it finds them.

It owns the defects. It must never be imported by anything that serves. A defect is in place within `planted`
alone, for the whole process.
"""

from __future__ import annotations

from contextlib import AbstractContextManager
from typing import Any

from granitewell.lab.cluster.plants import patched
from granitewell.membership import (
    assertions,
    dissemination,
    local_member,
    process_clock,
    refutation,
    states,
    suspicion,
    table,
)
from granitewell.protocols.peers import limits as letters

PLANTS: dict[str, str] = {
    "refutation-ignored": "a higher incarnation does not lift a suspicion",
    "inc-ge": "alive wins over suspect and dead of the same incarnation: compared by >=",
    "timeout-unscaled": "a suspect's time does not grow with the members",
    "former-self": "another birth under the name is taken for the same process",
    "gossip-unbounded": "a claim is passed on for ever",
    "replay-heard": "a letter that was heard before is heard again",
    "hearsay-kills": "what is heard of a death is believed at once",
    "stall-unseen": "a process does not notice that it stood still",
    "twin-unasked": "a name is taken without asking its holder",
    "ages-lost": "a tombstone that is passed on is as new",
}


def _overrides(new: Any, old: Any, whole: Any = states.overrides) -> bool:
    """With inc-ge alive wins at the same incarnation."""
    if new[:2] == old[:2] and new.state is states.State.ALIVE:
        return bool(new.inc >= old.inc and old.state is not states.State.ALIVE or new.inc > old.inc)
    return bool(whole(new, old))


def _unrefuted(new: Any, old: Any, whole: Any = states.overrides) -> bool:
    if new[:2] == old[:2] and new.state is states.State.ALIVE and old.state is not states.State.ALIVE:
        return False
    return bool(whole(new, old))


def _birthless(new: Any, old: Any) -> bool:
    """With former-self incarnations alone count."""
    return bool((new.inc, new.state) > (old.inc, old.state))


def _ageless(record: Any, now_us: int, whole: Any = table.not_alive_assertion) -> Any:
    claim = whole(record, now_us)
    return type(claim)(claim.name, claim.gen, claim.birth, claim.inc, claim.state, by=claim.by)


def _kept(self: dissemination.DisseminationQueue, members: int) -> int:
    return 1 << 30


def _unasked(self: refutation.LocalIdentity, whole: Any = refutation.LocalIdentity.dispute_name) -> None:
    if self.phase is states.Phase.JOINING:
        self.join()
    else:
        whole(self)


_PATCHES: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "refutation-ignored": ((table, "overrides", _unrefuted),),
    "inc-ge": ((table, "overrides", _overrides),),
    "timeout-unscaled": ((suspicion, "timeout_scale", lambda members: 1.0),),
    "former-self": ((table, "overrides", _birthless),),
    "gossip-unbounded": ((dissemination.DisseminationQueue, "max_transmissions", _kept),),
    "replay-heard": ((letters.ReplayWindow, "accept", lambda self, number: True),),
    "hearsay-kills": ((assertions.AssertionHandler, "_is_hearsay_death", lambda self, claim: False),),
    "stall-unseen": ((process_clock.ProcessClock, "read", lambda self, clock: (clock, 0)),),
    "twin-unasked": ((refutation.LocalIdentity, "dispute_name", _unasked),),
    "ages-lost": (
        (table, "not_alive_assertion", _ageless),
        (assertions, "not_alive_assertion", _ageless),
        (local_member, "not_alive_assertion", _ageless),
    ),
}


def planted(name: str) -> AbstractContextManager[None]:
    """Within it the defect of that name is in place; none for an empty name. Raises KeyError."""
    return patched(_PATCHES[name] if name else ())
