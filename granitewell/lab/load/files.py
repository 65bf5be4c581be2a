"""HdrHistogram files of a run: logs of version 1.2 with V2 compressed histograms, one interval a file.

It owns their names and contents. It must never write a void figure without saying so in name and text.
Values are microseconds; the column of the interval's highest value is in milliseconds. Any HdrHistogram
tool reads them.
"""

from __future__ import annotations

import io
from pathlib import Path

from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter

from granitewell.lab.load.counts import MAX_US, Hist, Tally, bounds

KINDS = ("latency", "service")


def hdr(hist: Hist) -> HdrHistogram:
    """The same counts as an HdrHistogram of 1 microsecond to an hour with three digits."""
    made = HdrHistogram(1, MAX_US, 3)
    for index, count in hist.sparse():
        made.record_value(bounds(index)[0], count)
    return made


def log_text(hist: Hist, begun_s: float, length_s: float, note: str) -> str:
    """A whole log: begun_s is seconds since the epoch."""
    out = io.StringIO()
    writer = HistogramLogWriter(out)
    writer.output_comment(note)
    writer.output_log_format_version()
    out.write(f"#[StartTime: {begun_s:.3f} (seconds since epoch)]\n")
    writer.output_legend()
    writer.output_interval_histogram(hdr(hist), begun_s, begun_s + length_s, 1000.0)
    return out.getvalue()


def write(
    folder: Path, name: str, tally: Tally, begun_s: float, length_s: float, void: tuple[str, ...]
) -> list[str]:
    """Both histograms of one step or of all; the paths written. OSError: as the disk gives it."""
    paths = []
    for kind in KINDS:
        path = folder / f"{name}{'-void' if void else ''}.{kind}.hlog"
        mark = f"; VOID, not the target's: {'; '.join(void)}" if void else ""
        note = f"granitewell lab load: {name}, {kind}, microseconds{mark}"
        path.write_text(log_text(getattr(tally, kind), begun_s, length_s, note))
        paths.append(str(path))
    return paths
