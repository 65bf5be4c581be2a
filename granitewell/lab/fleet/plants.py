"""Defects planted in the program's processes, to show that a run of a fleet finds them.

It owns their names, what each is, and the scenario that is meant to catch it. How they are put in place is
`planted`'s. Those of the machine are `lab/cluster`'s, under the same names.
"""

from __future__ import annotations

from granitewell.lab.cluster.counts_plants import PLANTS as COUNTS
from granitewell.lab.cluster.membership_plants import PLANTS as MACHINE

SHELL: dict[str, str] = {
    "leave-late": "leave is said once the clients' listener is gone",
    "former-life": "a process that was killed goes on with its life at the next start",
    "budget-up": "budgets are divided by those who are up",
    "upgrade-death": "the second process of an upgrade begins a life of its own",
    "half-sent": "a frame counts as sent before it is written, and is not written again where it breaks off",
    "disk-in-loop": "with such a disk, the folder's file is written by the loop itself",
    "one-lane": "streams are written one after the other, and one that takes nothing holds up all",
}
CONDITIONS: dict[str, str] = {
    "slow-disk": "no defect: each write of the folder's file takes 2 s, and all rules are kept",
}
PLANTS: dict[str, str] = {**SHELL, **CONDITIONS, **MACHINE, **COUNTS}
SCENARIO: dict[str, str] = {  # that is meant to catch it
    **dict.fromkeys(COUNTS, "counts"),
    "slow-disk": "kill", "disk-in-loop": "kill", "leave-late": "leave", "former-life": "kill",
    "budget-up": "halves", "upgrade-death": "upgrade",
    "refutation-ignored": "stalls", "inc-ge": "chaos", "timeout-unscaled": "stalls", "former-self": "kill",
    "gossip-unbounded": "quiet", "replay-heard": "noise", "hearsay-kills": "partition",
    "stall-unseen": "stalls", "twin-unasked": "names", "ages-lost": "kill",
}  # fmt: skip
