"""A histogram of latencies with logarithmic buckets, from which percentiles are read.

It follows HdrHistogram (Tene): whole microseconds, 64 buckets per doubling, so a value is known within 1/64
of itself, and histograms merge bucket by bucket. Single values are not kept: the size is bounded by the bits
of the largest value, whatever is recorded.
"""

from __future__ import annotations

from collections.abc import Mapping

SUB_BUCKET_BITS = 6  # log2 of the buckets per doubling: values under 128 us are exact
MAX_VALUE_US = 1 << 42  # seven weeks; larger values are clamped to it


def bucket_index(value: int) -> int:
    """The bucket index of a value in microseconds; values below 0 count as 0."""
    value = min(max(value, 0), MAX_VALUE_US)
    shift = max(value.bit_length() - SUB_BUCKET_BITS - 1, 0)
    return (shift << SUB_BUCKET_BITS) + (value >> shift)


def bucket_bounds(number: int) -> tuple[int, int]:
    """The smallest and the largest value of a bucket."""
    shift = max((number >> SUB_BUCKET_BITS) - 1, 0)
    low = (number - (shift << SUB_BUCKET_BITS)) << shift
    return low, low + (1 << shift) - 1


class Histogram:
    """Counts by bucket. Times are whole microseconds."""

    __slots__ = ("counts", "n", "total_us")

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.n = self.total_us = 0

    def add(self, value_us: int) -> None:
        """Count one value."""
        number = bucket_index(value_us)
        self.counts[number] = self.counts.get(number, 0) + 1
        self.n += 1
        self.total_us += value_us

    def merge(self, other: Histogram) -> None:
        """Add another histogram's counts."""
        for number, count in other.counts.items():
            self.counts[number] = self.counts.get(number, 0) + count
        self.n += other.n
        self.total_us += other.total_us

    def percentile(self, part: float) -> int:
        """The upper bound of the bucket that holds this fraction (0 to 1) of all values; 0 if empty."""
        want, seen = max(part * self.n, 1), 0
        for number in sorted(self.counts):
            seen += self.counts[number]
            if seen >= want:
                return bucket_bounds(number)[1]
        return 0

    def as_dict(self) -> dict[str, object]:
        """For JSON: the usual percentiles and mean in milliseconds, and the counts for `from_dict`."""
        points = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p99_9": 0.999}
        found: dict[str, object] = {k: self.percentile(q) / 1000 for k, q in points.items()}
        mean = self.total_us / self.n / 1000 if self.n else 0.0
        counts = {str(k): v for k, v in sorted(self.counts.items())}
        return {"n": self.n, "mean": mean, **found, "counts": counts}

    @classmethod
    def from_dict(cls, data: Mapping[str, object]) -> Histogram:
        """Rebuild a histogram from `as_dict`. Its sum is only as exact as the mean."""
        made, counts = cls(), data["counts"]
        if not isinstance(counts, dict):
            raise ValueError(f"counts: found {type(counts).__name__}, wanted a table of bucket to count")
        made.counts = {int(k): int(v) for k, v in counts.items()}
        made.n = sum(made.counts.values())
        made.total_us = round(float(str(data["mean"])) * 1000 * made.n)
        return made
