"""What came of the requests: counts by outcome and three histograms, added up over workers and steps.

It owns the figures of one step. It must never judge them. Histograms have the buckets of HdrHistogram with
three significant digits and a lowest value of 1 microsecond (Tene, HdrHistogram: index from the position of
the highest bit), so that `files` can write them in its format without loss; counting here costs under half a
microsecond where that library's Python costs several.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

MAX_US = 3_600_000_000  # an hour; longer times are counted as that
_MAGNITUDE = 10  # 2**11 = 2048 sub-buckets are the first power of two over 2 * 10**3
_MASK = (2 << _MAGNITUDE) - 1


def bucket(us: int) -> int:
    """Index of the bucket that holds this value."""
    shift = (us | _MASK).bit_length() - _MAGNITUDE - 1
    return (shift << _MAGNITUDE) + (us >> shift)


def bounds(index: int) -> tuple[int, int]:
    """Lowest and highest value of a bucket."""
    shift = max((index >> _MAGNITUDE) - 1, 0)
    low = (index - (shift << _MAGNITUDE)) << shift
    return low, low + (1 << shift) - 1


BUCKETS = bucket(MAX_US) + 1


class Hist:
    """Counts of times in microseconds."""

    __slots__ = ("counts", "total")

    def __init__(self, sparse: Iterable[Sequence[int]] = ()) -> None:
        self.counts = array("Q", bytes(8 * BUCKETS))
        self.total = 0
        for index, count in sparse:
            self.counts[index] += count
            self.total += count

    def add(self, us: int) -> None:
        """Count one value; below 0 counts as 0, over an hour as an hour."""
        us = 0 if us < 0 else MAX_US if us > MAX_US else us
        shift = (us | _MASK).bit_length() - _MAGNITUDE - 1
        self.counts[(shift << _MAGNITUDE) + (us >> shift)] += 1
        self.total += 1

    def sparse(self) -> list[tuple[int, int]]:
        """(bucket, count) of all that are not empty."""
        return [(index, count) for index, count in enumerate(self.counts) if count]

    def merge(self, other: Hist) -> None:
        """Add another's counts to these."""
        for index, count in other.sparse():
            self.counts[index] += count
        self.total += other.total

    def at(self, part: float) -> int | None:
        """The value, in microseconds, that this part (0 to 1) of all counted stay within; None without any.

        As in HdrHistogram, the highest value of the bucket where the rank is met.
        """
        if not self.total:
            return None
        rank, seen = max(int(part * self.total + 0.5), 1), 0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= rank:
                return bounds(index)[1]
        raise AssertionError("a rank beyond the total")

    def over(self, us: int) -> int:
        """How many are above this value (or in the same bucket but counted as above: those from the next)."""
        return sum(self.counts[bucket(min(us, MAX_US)) + 1 :])


class End(Enum):
    """What became of a request. Every arrival has exactly one end."""

    SERVED = "served"  # 200
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other answer, or bytes that are none
    TIMED_OUT = "timed_out"  # no whole answer within the time, counted from when it was due
    RESET = "reset"  # the connection ended after the request was sent, before its whole answer
    NOT_CONNECTED = "not_connected"  # refused, or never up
    CUT = "cut"  # still out when the run was interrupted


@dataclass(slots=True)
class Tally:
    """The figures of one step, of one worker or of all.

    latency: from when a request was due, and service: from when it left (its first byte was written, or the
    dial for it was begun), to its last byte; both over the served and those given up when their time was
    over, at that time, since their answer would have taken at least as long. away: from due to left, over
    all that left or were given up.
    """

    due: int = 0
    ends: dict[str, int] = field(default_factory=lambda: {end.value: 0 for end in End})
    latency: Hist = field(default_factory=Hist)
    service: Hist = field(default_factory=Hist)
    away: Hist = field(default_factory=Hist)
    waited: int = 0  # found all connections busy and the cap reached: kept back by the tool
    resent: int = 0  # sent once more: an idle connection's orderly end had crossed the request
    garbage: int = 0  # failed, because the bytes were no HTTP answer
    own: dict[str, int] = field(default_factory=dict)  # errors of the tool's own machine, by name
    dials: int = 0
    late_reads: int = 0  # events that may have lain unread for over 1 ms
    reads: int = 0
    busy_us: int = 0  # of the loop's time; waiting and looking in vain are not busy
    span_us: int = 0  # from the step's start to its last request's end

    def merge(self, other: Tally) -> None:
        """Add another worker's, or another step's."""
        for name in ("due", "waited", "resent", "garbage", "dials", "late_reads", "reads", "busy_us"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.span_us = max(self.span_us, other.span_us)
        for mine, theirs in ((self.ends, other.ends), (self.own, other.own)):
            for key, count in theirs.items():
                mine[key] = mine.get(key, 0) + count
        for name in ("latency", "service", "away"):
            getattr(self, name).merge(getattr(other, name))


_HISTS = ("latency", "service", "away")
_PLAIN = ("due", "ends", "waited", "resent", "garbage", "own", "dials", "late_reads", "reads", "busy_us",
          "span_us")  # fmt: skip


def packed(tally: Tally) -> dict[str, object]:
    """As plain values for JSON, histograms sparse."""
    plain: dict[str, object] = {name: getattr(tally, name) for name in _PLAIN}
    return plain | {name: getattr(tally, name).sparse() for name in _HISTS}


def unpacked(plain: dict[str, object]) -> Tally:
    """The inverse of `packed`."""
    tally = Tally()
    for name in _PLAIN:
        setattr(tally, name, plain[name])
    for name in _HISTS:
        setattr(tally, name, Hist(plain[name]))  # type: ignore[arg-type]
    return tally
