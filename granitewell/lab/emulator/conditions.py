"""The fault conditions active at one endpoint, and their effects on requests.

A condition affects a request from the start of its work (or from its own start, if the work is in progress)
until the condition ends; a request that it made hang stays hung. This module only decides which conditions
apply; the process acts on them.

- `full` is decided when a request has been read, `refuse` when a connection arrives (of its filters only
  `nodes` and `share` apply there).
- `error` comes after the work; a factor under 1 is the share of the work that is done before it (0: at once).
- Factors of several `slow` or `speed` conditions multiply, those of several `late` ones add up.
- Of several failures the worst is taken: `reset`, then `silent_head`, `spoilt`, `error`.
- A deep probe is affected by conditions that name no class, tenant or key.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitewell.lab.emulator.types import Condition, ConditionChange

EFFECTS = (
    "hang",
    "slow",
    "late",
    "error",
    "full",
    "reset",
    "spoilt",
    "silent_head",
    "refuse",
    "mute",
    "lying",
    "speed",
)
_FAILURE_KINDS = (("reset", "reset"), ("silent_head", "head"), ("spoilt", "spoilt"), ("error", "error"))


@dataclass(frozen=True, slots=True)
class ExpectedEffects:
    """The expected effects on a request now, for policies that may know the true state.

    The chance of a good response, the mean factor on its work, the mean delay of its response, and the
    effects that may apply.
    """

    answered: float = 1.0
    slow: float = 1.0
    late_us: float = 0.0
    effects: tuple[str, ...] = ()


class _ActiveCondition:
    """An active condition, with its keys as a set for fast membership tests."""

    __slots__ = ("condition", "keys")

    def __init__(self, condition: Condition) -> None:
        self.condition = condition
        self.keys = frozenset(condition.keys)

    def matches(self, cls: int, tenant: int, key: int, node: str, opened_us: int) -> bool:
        """Whether the condition's filters match such a request."""
        c = self.condition
        return (
            (not c.classes or cls in c.classes)
            and (not c.tenants or tenant in c.tenants)
            and (not self.keys or key in self.keys)
            and (not c.nodes or node in c.nodes)
            and (c.before_us < 0 or opened_us < c.before_us)
        )


class ActiveConditions:
    """All active conditions of an endpoint, kept across its processes."""

    __slots__ = ("_active", "_rng", "on", "pace")

    def __init__(self, rng: Random) -> None:
        self._active: list[_ActiveCondition] = []
        self._rng = rng  # a separate stream, so that a condition does not shift other draws
        self.on = False
        self.pace = 1.0  # pace factor of the whole process

    def apply_change(self, change: ConditionChange) -> bool:
        """Begin or end a condition.

        Returns False if it was on (or off) already. Raises ValueError for an unknown effect or an unusable
        factor.
        """
        condition = change.condition
        if condition.effect not in EFFECTS:
            raise ValueError(f"condition effect: found {condition.effect!r}, allowed {', '.join(EFFECTS)}")
        factor = condition.factor
        if factor < 0 or (factor == 0 and condition.effect in ("slow", "speed")):
            raise ValueError(f"condition factor of {condition.effect}: found {factor}, allowed above 0")
        present = [active for active in self._active if active.condition == condition]
        if bool(present) == change.on:
            return False
        if change.on:
            self._active.append(_ActiveCondition(condition))
        else:
            self._active.remove(present[0])
        self.on = bool(self._active)
        self.pace = 1.0
        for active in self._active:
            if active.condition.effect == "speed":
                self.pace /= active.condition.factor
        return True

    def _draw_applies(self, share: float) -> bool:
        return share >= 1.0 or self._rng.random() < share

    def applies(self, effect: str, cls: int, tenant: int, key: int, node: str, opened_us: int) -> bool:
        """Whether a condition of this effect applies, drawn anew at each call."""
        for active in self._active:
            c = active.condition
            if (
                c.effect == effect
                and active.matches(cls, tenant, key, node, opened_us)
                and self._draw_applies(c.share)
            ):
                return True
        return False

    def refuses(self, node: str) -> bool:
        """Whether a new connection from the node is refused."""
        for active in self._active:
            c = active.condition
            if c.effect == "refuse" and (not c.nodes or node in c.nodes) and self._draw_applies(c.share):
                return True
        return False

    def matching(
        self, cls: int, tenant: int, key: int, node: str, opened_us: int, only: Condition | None = None
    ) -> tuple[Condition, ...]:
        """The conditions that apply to a request whose work begins; with `only`, just that one."""
        return tuple(
            active.condition
            for active in self._active
            if active.condition.effect not in ("full", "refuse", "speed")
            and (only is None or active.condition == only)
            and active.matches(cls, tenant, key, node, opened_us)
            and self._draw_applies(active.condition.share)
        )

    def expected_effects(self, cls: int, tenant: int, key: int, node: str, opened_us: int) -> ExpectedEffects:
        """The expected effects on such a request; draws nothing."""
        answered, slow, late, effects = 1.0, 1.0, 0.0, []
        for active in self._active:
            c = active.condition
            if not active.matches(cls, tenant, key, node, opened_us):
                continue
            effects.append(c.effect)
            if c.effect in ("hang", "error", "full", "reset", "spoilt", "silent_head"):
                answered *= 1.0 - min(1.0, c.share)
            elif c.effect == "slow":
                slow *= 1.0 + min(1.0, c.share) * (c.factor - 1.0)
            elif c.effect == "late":
                late += min(1.0, c.share) * c.factor
        return ExpectedEffects(answered, slow, late, tuple(effects))


def slowdown_factor(matched: tuple[Condition, ...]) -> float:
    """The factor on the work of a request with these conditions."""
    factor = 1.0
    for c in matched:
        if c.effect == "slow":
            factor *= c.factor
    return factor


def work_fraction(matched: tuple[Condition, ...]) -> float:
    """The share of its work that a request does; under 1 if an error ends it early."""
    return min([1.0, *(c.factor for c in matched if c.effect == "error")])


def response_delay_us(matched: tuple[Condition, ...]) -> int:
    """How long the response is delayed."""
    return round(sum(c.factor for c in matched if c.effect == "late"))


def has(matched: tuple[Condition, ...], effect: str) -> bool:
    """Whether one of the conditions has this effect."""
    return any(c.effect == effect for c in matched)


def failure_kind(matched: tuple[Condition, ...]) -> str:
    """How a request with these conditions fails: `reset`, `head`, `spoilt`, `error`; empty: it does not."""
    return next((kind for effect, kind in _FAILURE_KINDS if has(matched, effect)), "")
