"""What a load run is asked to do: the options' values, checked, and handed to every worker.

It owns the types and the reading of option texts. It must never open a socket or draw a random number. Every
bad value ends as a `OptionError` that names the option, what was found and what is allowed.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

MAX_BODY = 64 * 1024  # bytes; PROTOCOL's bound on any body
MAX_RATE = 1_000_000.0  # requests a second: beyond any machine's means, so a slip of the keyboard
_NAME = re.compile(r"[A-Za-z0-9._~-]{1,64}\Z")


class OptionError(ValueError):
    """An option's value that can't be taken. One line: option, what was found, what is allowed."""

    def __init__(self, option: str, found: object, allowed: str) -> None:
        super().__init__(f"{option}: found {found!r}; allowed: {allowed}")
        self.option = option


@dataclass(frozen=True, slots=True)
class Target:
    """One address that is asked, as the options name it."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class LoadClass:
    """One class of requests: its part of the arrivals, its method and the size of its body."""

    name: str
    share: float
    method: str  # GET for a class that is safe to repeat, POST for an unsafe one
    body_bytes: int


@dataclass(frozen=True, slots=True)
class LoadTenant:
    """One tenant and its part of the arrivals."""

    name: str
    share: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that a worker has to know. Without classes, requests are plain `GET path`."""

    targets: tuple[Target, ...]
    classes: tuple[LoadClass, ...]
    tenants: tuple[LoadTenant, ...]
    path: str
    keys: int  # distinct Affinity-Key values; 0: none is sent
    timeout_us: int
    connections: int  # most open ones of one worker
    workers: int
    arrivals: str  # poisson, uniform
    seed: int
    run: str  # hexadecimal, new for each run: Request-Ids are never used twice

    def __post_init__(self) -> None:
        if self.arrivals not in ("poisson", "uniform"):
            raise OptionError("--arrivals", self.arrivals, "poisson or uniform")


@dataclass(frozen=True, slots=True)
class Step:
    """One rate over all workers, held for so long."""

    number: int
    rate: float  # requests a second
    length_us: int


def read_targets(text: str) -> tuple[Target, ...]:
    """`HOST:PORT[,HOST:PORT...]`; an IPv6 address stands in brackets."""
    return tuple(_target(part.strip()) for part in text.split(","))


def _target(text: str) -> Target:
    host, colon, port = text.rpartition(":")
    bare = host.startswith("[") and host.endswith("]")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536 or not host or (":" in host and not bare):
        raise OptionError("--target", text, "HOST:PORT[,HOST:PORT...] with a port of 1 to 65535")
    return Target(host[1:-1] if bare else host, int(port))


def read_class(text: str) -> LoadClass:
    """`NAME:share:GET|POST[:body_bytes]`."""
    parts = text.split(":")
    form = f"NAME:share:GET|POST[:body_bytes], share over 0, body of 0 to {MAX_BODY} and 0 for GET"
    if len(parts) not in (3, 4) or not _NAME.match(parts[0]) or parts[2] not in ("GET", "POST"):
        raise OptionError("--class", text, form)
    body = parts[3] if len(parts) == 4 else "0"
    share = _share(parts[1])
    if share is None or not body.isdigit() or int(body) > MAX_BODY or (parts[2] == "GET" and int(body)):
        raise OptionError("--class", text, form)
    return LoadClass(parts[0], share, parts[2], int(body))


def read_tenant(text: str) -> LoadTenant:
    """`NAME[:share]`; the share is 1 where none is given."""
    name, _, part = text.partition(":")
    share = _share(part or "1")
    if not _NAME.match(name) or share is None:
        raise OptionError("--tenant", text, "NAME[:share], share over 0")
    return LoadTenant(name, share)


def _share(text: str) -> float | None:
    number = _number(text)
    return number if number is not None and number > 0.0 else None


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def read_rates(text: str, steps: int | None, sweep: bool) -> tuple[float, ...]:
    """The rates to hold: one, or for `A..B` the evenly spaced steps; for a sweep its two ends."""
    first, dots, last = text.partition("..")
    ends = [_number(part) for part in ((first, last) if dots else (first,))]
    known = [end for end in ends if end is not None and 0.0 < end <= MAX_RATE]
    if len(known) != len(ends) or (dots and known[0] >= known[1]):
        allowed = f"R or A..B in requests a second, A below B, each over 0 and up to {MAX_RATE:.0f}"
        raise OptionError("--rate", text, allowed)
    if steps is not None and sweep:
        raise OptionError("--steps", steps, "either --steps or --sweep")
    if not dots:
        for option, given in (("--steps", steps is not None), ("--sweep", sweep)):
            if given:
                raise OptionError(option, f"--rate {text}", f"{option} needs a range, --rate A..B")
        return (known[0],)
    if sweep:
        return (known[0], known[1])
    if steps is None or not 2 <= steps <= 1000:
        raise OptionError("--steps", steps, "2 to 1000 for a range of rates, or --sweep in its place")
    return tuple(known[0] + (known[1] - known[0]) * k / (steps - 1) for k in range(steps))


def within(option: str, value: float, low: float, high: float) -> None:
    """OptionError unless low <= value <= high."""
    if not low <= value <= high:
        raise OptionError(option, value, f"{low:g} to {high:g}")
