"""The subjects that can be played in the virtual cluster, by name.

It owns the table alone: a subject's module is read when it is asked for.
"""

from __future__ import annotations

from granitewell.lab.cluster.days import Subject

NAMES = {
    "leases": "planners under chaos, then quiet",
    "lease-kills": "the planner that leads is killed every 15 s; --severity is the loss of all datagrams",
    "lease-stops": "the planner that leads is stopped every 15 s; --severity is the loss of all datagrams",
    "budgets": "rights to spend, lent from node to node, under chaos: never more than the whole",
    "counts": "what nodes have used, under chaos: the true sum beside every figure",
    "pings": "500 members that do next to nothing: what the virtual cluster itself costs",
}


def subject(name: str) -> Subject:
    """Raises KeyError where there is none of that name."""
    from granitewell.lab.cluster import budgets, counts, leases, pings

    return {
        "leases": leases.SUBJECT, "lease-kills": leases.KILLED, "lease-stops": leases.STOPPED,
        "budgets": budgets.SUBJECT, "counts": counts.SUBJECT, "pings": pings.SUBJECT,
    }[name]  # fmt: skip
