"""Defers the start of a control process without replicas on an edge's machine until the edge has started.

Two processes of a machine share its processor, and each needs over half a second of it for its imports. After
a loss of all power clients wait for the edge, while a control process without replicas only refers its
callers to others.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Any

from granitewell.domain.process_settings import may_hold_replicas, peek, settings_path

EDGE_START_CPU_S = 0.9  # processor time of an edge's start at full speed, with a margin
MAX_DEFERRAL_S = 3.0
EDGE_CLASS = "edge"


def defer_start(sleep: Callable[[float], None] = time.sleep) -> None:
    """Wait until an edge on this machine has had the time to start."""
    wait_s = deferral_s(peek(settings_path()))
    if wait_s > 0:
        sleep(wait_s)


def deferral_s(fields: Mapping[str, Any]) -> float:
    """Return how long to wait, in seconds; 0 for a process that may hold replicas or has no edge beside it.

    Args:
        fields: The settings file, not validated.
    """
    if fields.get("machine-class") != EDGE_CLASS:
        return 0.0
    if may_hold_replicas(fields.get("data-dir"), fields.get("counts-for-quorum")):
        return 0.0
    speed = _processor_speed(fields.get("limits"))
    return min(EDGE_START_CPU_S / speed, MAX_DEFERRAL_S) if speed > 0 else MAX_DEFERRAL_S


def _processor_speed(limits: object) -> float:
    """Return this process's part of the machine's processor, in cores; 1 if it is not stated."""
    if not isinstance(limits, dict):
        return 1.0
    share, cores = limits.get("cpu-share", 1.0), limits.get("cores", 1)
    if not isinstance(share, int | float) or not isinstance(cores, int | float):
        return 1.0
    return float(share) * float(cores)
