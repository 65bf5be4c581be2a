"""The ways of being ill that are on at one endpoint, and what they do to a request.

It owns which condition strikes which request and how several add up. It must never end a request or change a
pace itself: the process asks and acts. A condition bears on a request from the begin of its work (or from its
own begin, where the work is under way) until the condition ends; what it has made hang stays hung.

- `full` is decided when a request has been read, `refuse` when a connection arrives (of its matchers only
  `nodes` and `share` apply there).
- `error` comes after the work; a factor under 1 is the part of the work that is done before it (0: at once).
- Factors of several `slow` or `speed` conditions multiply, those of several `late` ones add up.
- Of several bad ends the worst is taken: `reset`, then `silent_head`, `spoilt`, `error`.
- A deep probe is struck by conditions that name no class, tenant or key.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitewell.lab.emulator.types import Condition, Fall

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
_ENDS = (("reset", "reset"), ("silent_head", "head"), ("spoilt", "spoilt"), ("error", "error"))


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a request would meet now, for policies that may know the truth.

    The chance that it is answered well, the mean factor on its work, the mean delay of its answer, and the
    effects that may strike it.
    """

    answered: float = 1.0
    slow: float = 1.0
    late_us: float = 0.0
    effects: tuple[str, ...] = ()


class _Ill:
    """A condition that is on, with its keys as a set: there may be many, and only membership is asked."""

    __slots__ = ("condition", "keys")

    def __init__(self, condition: Condition) -> None:
        self.condition = condition
        self.keys = frozenset(condition.keys)

    def matches(self, cls: int, tenant: int, key: int, node: str, opened_us: int) -> bool:
        """Whether it is for such a request."""
        c = self.condition
        return (
            (not c.classes or cls in c.classes)
            and (not c.tenants or tenant in c.tenants)
            and (not self.keys or key in self.keys)
            and (not c.nodes or node in c.nodes)
            and (c.before_us < 0 or opened_us < c.before_us)
        )


class Ills:
    """All conditions that are on at an endpoint, through all of its processes."""

    __slots__ = ("_ills", "_rng", "on", "pace")

    def __init__(self, rng: Random) -> None:
        self._ills: list[_Ill] = []
        self._rng = rng  # a stream of its own: a condition must not shift what else is drawn
        self.on = False
        self.pace = 1.0  # of the whole process

    def change(self, fall: Fall) -> bool:
        """Begin or end a condition.

        False: it was on (or off) already. ValueError: an unknown effect, or a factor that nothing can be
        divided or multiplied by.
        """
        condition = fall.condition
        if condition.effect not in EFFECTS:
            raise ValueError(f"condition effect: found {condition.effect!r}, allowed {', '.join(EFFECTS)}")
        factor = condition.factor
        if factor < 0 or (factor == 0 and condition.effect in ("slow", "speed")):
            raise ValueError(f"condition factor of {condition.effect}: found {factor}, allowed above 0")
        there = [ill for ill in self._ills if ill.condition == condition]
        if bool(there) == fall.on:
            return False
        if fall.on:
            self._ills.append(_Ill(condition))
        else:
            self._ills.remove(there[0])
        self.on = bool(self._ills)
        self.pace = 1.0
        for ill in self._ills:
            if ill.condition.effect == "speed":
                self.pace /= ill.condition.factor
        return True

    def _lot(self, share: float) -> bool:
        return share >= 1.0 or self._rng.random() < share

    def strikes(self, effect: str, cls: int, tenant: int, key: int, node: str, opened_us: int) -> bool:
        """Whether a condition of this effect strikes, decided anew at each call."""
        for ill in self._ills:
            c = ill.condition
            if c.effect == effect and ill.matches(cls, tenant, key, node, opened_us) and self._lot(c.share):
                return True
        return False

    def refuses(self, node: str) -> bool:
        """Whether a new connection from the node is refused."""
        for ill in self._ills:
            c = ill.condition
            if c.effect == "refuse" and (not c.nodes or node in c.nodes) and self._lot(c.share):
                return True
        return False

    def strike(
        self, cls: int, tenant: int, key: int, node: str, opened_us: int, only: Condition | None = None
    ) -> tuple[Condition, ...]:
        """The conditions that strike a request whose work begins; with `only`, that one of them alone."""
        return tuple(
            ill.condition
            for ill in self._ills
            if ill.condition.effect not in ("full", "refuse", "speed")
            and (only is None or ill.condition == only)
            and ill.matches(cls, tenant, key, node, opened_us)
            and self._lot(ill.condition.share)
        )

    def outlook(self, cls: int, tenant: int, key: int, node: str, opened_us: int) -> Outlook:
        """What such a request would meet now; draws nothing."""
        answered, slow, late, effects = 1.0, 1.0, 0.0, []
        for ill in self._ills:
            c = ill.condition
            if not ill.matches(cls, tenant, key, node, opened_us):
                continue
            effects.append(c.effect)
            if c.effect in ("hang", "error", "full", "reset", "spoilt", "silent_head"):
                answered *= 1.0 - min(1.0, c.share)
            elif c.effect == "slow":
                slow *= 1.0 + min(1.0, c.share) * (c.factor - 1.0)
            elif c.effect == "late":
                late += min(1.0, c.share) * c.factor
        return Outlook(answered, slow, late, tuple(effects))


def slowness(hits: tuple[Condition, ...]) -> float:
    """The factor on the work of a request with these hits."""
    factor = 1.0
    for c in hits:
        if c.effect == "slow":
            factor *= c.factor
    return factor


def work_part(hits: tuple[Condition, ...]) -> float:
    """The part of its work that a request does before it ends: under 1 where an error cuts it short."""
    return min([1.0, *(c.factor for c in hits if c.effect == "error")])


def lateness_us(hits: tuple[Condition, ...]) -> int:
    """How long the answer is kept back."""
    return round(sum(c.factor for c in hits if c.effect == "late"))


def has(hits: tuple[Condition, ...], effect: str) -> bool:
    """Whether one of the hits has this effect."""
    return any(c.effect == effect for c in hits)


def bad_end(hits: tuple[Condition, ...]) -> str:
    """How a request with these hits ends: `reset`, `head`, `spoilt`, `error`, or empty where it ends well."""
    return next((kind for effect, kind in _ENDS if has(hits, effect)), "")
