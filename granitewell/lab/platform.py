"""What the platform tells a node of a drawn day: the JSON of `LB_CONFIG`, and the module's settings in it.

It owns the platform's names for the day's figures. It must never tell a node what the platform does not: true
speeds, queues, delays and faults stay out. `granitewell.config.load` and
`granitewell.balancing.simulator_protocol.parse_settings` read what is made here.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from granitewell.balancing.interface import Settings
from granitewell.balancing.simulator_protocol import parse_settings
from granitewell.lab.day import ClassDay, Day
from granitewell.lab.engine import stream

MEMORY_MB, SOCKETS, MAX_HELD = 192, 1024, 20_000
REPORT_NAMES = {
    "inflight": "busy_reqs", "queue": "pending", "util": "cpu_share", "latency_ms": "svc_ms",
    "qps": "served_ps", "eps": "failed_ps",
}  # fmt: skip


def node_config(
    day: Day,
    node_name: str,
    listen: str,
    discovery: str,
    known: Mapping[str, Any] | None = None,
    start: int = 0,
) -> dict[str, Any]:
    """The configuration of one node's process.

    Args:
        listen, discovery: `host:port`.
        known: The list that it last held, in discovery's form.
        start: How often it has started before, as the seed is new each time. ValueError for a node that the
            day does not have.
    """
    index = next((k for k, n in enumerate(day.nodes) if n.name == node_name), None)
    if index is None:
        raise ValueError(f"node: found {node_name!r}; allowed: {', '.join(n.name for n in day.nodes)}")
    seed = stream(day.seed, "node", node_name, start)
    return {
        "name": node_name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{int(seed.random() * 2**53) << 11:016x}",
        "limits": {"cores": day.nodes[index].cpu, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": dict(known or {}),
        "settings": told(day, index),
    }


def settings(day: Day, node_index: int) -> Settings:
    """The same settings as the decision module takes them."""
    return parse_settings(json.dumps(told(day, node_index)).encode())


def told(day: Day, node_index: int) -> dict[str, Any]:
    """The `settings` object of one node, as nested JSON."""
    rules, goal = day.rules, day.goal
    return {
        "balancers": len(day.nodes),
        "selfIndex": node_index,
        "zone": day.nodes[node_index].zone,
        "zones": list(day.zones),
        "models": [k.name for k in day.kinds],
        "classes": [_class(c) for c in day.classes],
        "tenants": [
            {"name": t.name, "share": t.share, "allowancePerS": t.allowance_per_s or None}
            for t in day.tenants
        ],
        "allowed": _allowed(day),
        "contract": {
            "answerSlackMs": rules.slack_us / 1e3,
            "drainGraceMs": rules.drain_grace_us / 1e3,
            "coldFrom": rules.cold_from or min(k.cold_from for k in day.kinds),
            "rampTimeMs": (rules.ramp_us or max(k.cold_us for k in day.kinds)) / 1e3,
            "fallMultiple": rules.fall_multiple,
            "fallMs": rules.fall_us / 1e3,
        },
        "stats": {
            "how": "piggyback" if day.report.fields else "silent",
            "fields": [REPORT_NAMES[f] for f in day.report.fields],
        },
        "blend": {
            "whole": goal.whole, "worstWindow": goal.worst_window, "worstClass": goal.worst_class,
            "worstTenant": goal.worst_tenant,
        },
        "penalties": {
            "crossZone": goal.cross_zone, "waste": goal.waste, "probe": goal.probe,
            "lateFail": goal.late_fail, "handshake": goal.handshake,
        },
        "overShareWorth": goal.over_share_worth,
        "worthBy": "request",
        "weightKind": "silent",
        "discovery": "pushed",
        "domainType": "proxy",
        "familyInfo": {"warmKeys": any(k.memory_gain > 0 for k in day.kinds)},
        "clients": {"marksRetry": day.clients.marks_retry},
    }  # fmt: skip


def _class(c: ClassDay) -> dict[str, Any]:
    return {
        "name": c.name, "effect": "side_effect" if c.unsafe else "pure", "aimMs": c.aim_us / 1e3,
        "giveUpMs": c.deadline_us / 1e3, "value": c.worth, "lateShare": c.late_worth,
    }  # fmt: skip


def _allowed(day: Day) -> dict[str, Any]:
    rules = day.rules
    return {
        "maxAttempts": rules.max_attempts, "parallelTries": rules.second_copies, "cancel": rules.cancel,
        "probes": day.probe.allowed, "retryAfter": rules.retry_after,
        "maxRetryAfterMs": day.clients.max_retry_after_us / 1e3,
        "dialTimeoutMs": day.conn.dial_timeout_us / 1e3, "connIdleMs": day.conn.idle_us / 1e3,
        "mostHeld": MAX_HELD, "streamsPerConn": 1,
    }  # fmt: skip
