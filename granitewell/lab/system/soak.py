"""Seeded days on real processes: signals, restarts and changes in overlapping series, with clients that stay.

    python -m granitewell.lab.system.soak --seeds 50 --parallel 3

No more is lost at once than `fault-tolerance` allows: one control node with a disk, which counts as lost
until `catch-up-s` after it is back. Gateways and edges may go in any number. At the end of each day what was
acknowledged is read back at every control process, and every edge serves.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from granitewell.lab.system.soak_day import SoakDay, SoakResult
from granitewell.lab.system.soak_fleet import SoakError

LARGE_EVERY = 10
"""Every so many seeds, one day has as many processes as the machine bears. It is played alone."""


async def play(seed: int, *, large: bool, keep: Path | None = None) -> SoakResult:
    """Play one day; an error is in the result. `keep` is a folder for the logs of a day that failed."""
    with tempfile.TemporaryDirectory(prefix="granitewell-soak-") as folder:
        day = SoakDay(seed, Path(folder), large=large)
        try:
            await day.play()
        except SoakError as error:
            day.result.error = str(error)
            if keep is not None:
                shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return day.result


def report(result: SoakResult) -> str:
    """Return one line on a day, and the faults of a day that failed."""
    answers = ", ".join(f"{status}: {count}" for status, count in sorted(result.answers.items()))
    line = (
        f"seed {result.seed}: {result.error or 'held'}; {result.changes} changes,"
        f" {len(result.faults)} faults, answers {{{answers}}},"
        f" busiest gateway {result.busiest_gateway:.3f} of a processor"
    )
    return f"{line}\n    {'; '.join(result.faults)}" if result.error else line


async def _run(first: int, seeds: int, parallel: int, keep: Path | None) -> int:
    failed = 0
    slots = asyncio.Semaphore(parallel)

    async def one(seed: int, large: bool) -> None:
        nonlocal failed
        async with slots:
            result = await play(seed, large=large, keep=keep)
        failed += bool(result.error)
        print(report(result), flush=True)

    every = range(first, first + seeds)
    await asyncio.gather(*(one(seed, large=False) for seed in every if seed % LARGE_EVERY))
    for seed in every:
        if seed % LARGE_EVERY == 0:
            await one(seed, large=True)
    print(f"{seeds} days from seed {first}: {failed} failed")
    return failed


def main() -> int:
    """Play days; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of days")
    parser.add_argument("--parallel", type=int, default=3, help="days at once")
    parser.add_argument("--keep", type=Path, help="folder for the logs of days that failed")
    given = parser.parse_args()
    return 1 if asyncio.run(_run(given.first, given.seeds, given.parallel, given.keep)) else 0


if __name__ == "__main__":
    sys.exit(main())
