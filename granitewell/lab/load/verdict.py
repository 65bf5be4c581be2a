"""Whether a step's figures are the target's, or the tool's own.

It owns the rules by which a figure is void. It must never soften one: a void figure is marked wherever it is
shown or written, and a run with one ends with exit code 1 and these reasons.
"""

from __future__ import annotations

from collections.abc import Sequence

from granitewell.lab.load.counts import Tally

LATE_US = 1000  # a departure later than this is a late one
MAX_LATE = 0.01  # part of the step's requests that may be late
MAX_BUSY = 0.9  # of a worker's loop; beyond, answers queue inside the tool
MAX_HELD = 0.001  # part that may have been kept back at the cap, or lost to this machine's own errors

RULE = (
    f"void if over {MAX_LATE:.0%} left, or may have been read, over {LATE_US / 1000:g} ms late; a worker's "
    f"loop was busy over {MAX_BUSY:.0%} of the step; over {MAX_HELD:.1%} found the tool's connections all "
    "busy at its cap, or met an error of the tool's own machine; or a worker died"
)


def reasons(tallies: Sequence[Tally]) -> tuple[str, ...]:
    """Why the step's figures are void, one line each; none where they stand. One tally a worker."""
    whole = Tally()
    for tally in tallies:
        whole.merge(tally)
    if not whole.due:
        return ("no request was due: the step is too short for its rate",)
    found = [_late(whole), _unread(whole), _cap(whole), *_own(whole)]
    found += [_busy(number, tally) for number, tally in enumerate(tallies, 1)]
    return tuple(reason for reason in found if reason)


def late_part(tally: Tally) -> float:
    """Part of the requests due that left over 1 ms late."""
    return tally.away.over(LATE_US) / tally.due if tally.due else 0.0


def busy_part(tally: Tally) -> float:
    """Part of the step's time that one worker's loop had work in hand."""
    return tally.busy_us / tally.span_us if tally.span_us else 0.0


def _late(whole: Tally) -> str:
    late = late_part(whole)
    return f"late departures: {late:.2%} of the requests left over 1 ms late" if late > MAX_LATE else ""


def _unread(whole: Tally) -> str:
    late = whole.late_reads / max(whole.reads, 1)
    text = f"late reading: {late:.2%} of the answers may have lain unread over 1 ms"
    return text if late > MAX_LATE else ""


def _cap(whole: Tally) -> str:
    held = whole.waited / whole.due
    text = f"connection cap: {held:.2%} of the requests found every connection busy (raise --connections)"
    return text if held > MAX_HELD else ""


def _own(whole: Tally) -> list[str]:
    return [
        f"own machine: {name} on {count} of {whole.due} requests"
        for name, count in sorted(whole.own.items())
        if count > MAX_HELD * whole.due
    ]


def _busy(number: int, tally: Tally) -> str:
    part = busy_part(tally)
    text = f"own CPU: worker {number} was busy {part:.0%} of the time (raise --processes)"
    return text if part > MAX_BUSY else ""
