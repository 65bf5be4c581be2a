"""Validation of the balancer's settings."""

from __future__ import annotations

import math

from granitewell.balancing.interface import Settings


def _number(name: str, value: float, low: float, high: float = math.inf) -> None:
    if not isinstance(value, int | float) or not math.isfinite(value) or not low <= value <= high:
        raise ValueError(f"{name}: {value!r} is not a number from {low:g} to {high:g}")


def validate(settings: Settings) -> None:
    """Check all fields.

    Raises:
        ValueError: A field is out of range; the message names the first one.
    """
    _number("proxies", settings.proxies, 1)
    _number("max_attempts", settings.max_attempts, 1)
    _number("cold_from", settings.cold_from, 0.001, 1)
    _number("fall_multiple", settings.fall_multiple, 0.001)
    _number("max_retry_after_ms", settings.max_retry_after_ms, 0)
    _number("over_share_worth", settings.over_share_worth, 0)
    for name in ("drain_grace_ms", "ramp_ms", "fall_ms", "must_ask_in_ms"):
        _number(name, getattr(settings, name), 0)
    if not settings.classes:
        raise ValueError("classes: empty")
    for i, cls in enumerate(settings.classes):
        _number(f"classes[{i}].aim_ms", cls.latency_target_ms, 0)
        _number(f"classes[{i}].deadline_ms", cls.deadline_ms, 0)
        _number(f"classes[{i}].worth", cls.worth, 0)
        _number(f"classes[{i}].late_share", cls.late_share, 0)
        _number(f"classes[{i}].window_ms", cls.window_ms, 0)
    for i, tenant in enumerate(settings.tenants):
        _number(f"tenants[{i}].share", tenant.share, 0)
        _number(f"tenants[{i}].allowance_per_s", tenant.allowance_per_s, 0)
