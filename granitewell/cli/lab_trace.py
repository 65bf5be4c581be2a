"""`granitewell lab trace FILE`: summarizes captured traffic.

Parses arguments and prints tables; `granitewell.lab.capture` computes the figures.
"""

from __future__ import annotations

import os

import click
from rich.console import Console

from granitewell.cli import show
from granitewell.lab.capture import Summary, TraceError, read, summarise

_MAX_RATE_ROWS = 20  # in the table of rates over time


@click.command("trace", epilog="Example: granitewell lab trace rainy-evening.csv --json")
@click.argument("file", type=click.Path())
@show.as_json
def trace(file: str, as_json: bool) -> None:
    """Summarise a captured load: rate by second, mix of classes, tenants and zones, and skew of the keys.

    FILE holds one first try a line, `at_us,class,tenant,key,zone` with that heading, in the order of time.
    """
    try:
        with show.progress("reading", os.path.getsize(file)) as steps:
            found = summarise(read(file, steps.step))
    except TraceError as e:
        raise show.CommandError(str(e)) from None
    except OSError as e:
        raise show.CommandError(f"{file}: {e.strerror or e}") from None
    show.emit(found.plain(), as_json, lambda console: _render(console, file, found))


def _render(console: Console, file: str, found: Summary) -> None:
    span = (found.end_us - found.begin_us) / 1e6
    console.print(f"{file}: {found.tries} first tries in {span:.1f} s", highlight=False)
    if not found.tries:
        return
    rates = ("mean", found.mean), ("median", found.median), ("peak", found.peak)
    rows: list[tuple[object, ...]] = [*rates, ("variance / mean", found.dispersion)]
    console.print(show.table("Tries a second", ("", "tries/s"), rows))
    console.print(show.table("Over time", ("seconds", "mean", "peak"), _over_time(found)))
    for title, parts in (("Classes", found.classes), ("Tenants", found.tenants), ("Zones", found.zones)):
        console.print(show.table(title, ("name", "part"), parts.items()))
    keys = found.keys
    named = ("tries with a key", keys.tries), ("distinct keys", keys.distinct)
    parts_of = ("part of the top key", keys.top_1), ("part of the top 10", keys.top_10)
    console.print(show.table("Keys", ("", ""), [*named, *parts_of, ("fitted Zipf exponent", keys.zipf)]))


def _over_time(found: Summary) -> list[tuple[object, ...]]:
    """Group the seconds into at most `_MAX_RATE_ROWS` rows (from-to, mean, peak), without empty groups."""
    last = found.seconds[-1][0]
    width = last // _MAX_RATE_ROWS + 1
    parts: dict[int, list[int]] = {}
    for second, tries in found.seconds:
        parts.setdefault(second // width * width, []).append(tries)
    return [
        (f"{begin}-{min(begin + width, last + 1)}", sum(part) / min(width, last + 1 - begin), max(part))
        for begin, part in parts.items()
    ]
