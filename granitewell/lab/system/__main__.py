"""`python -m granitewell.lab.system`: plays the scene once and prints what was seen; ends all it started."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from granitewell.lab.system.callers import RejectedChangeError
from granitewell.lab.system.demo import ABSENT_MODEL, DemoFailedError, Seen, run_scene

LIMIT_S = 15.0  # of the scene; with the end of the processes all stays below 20 s


def report(seen: Seen) -> str:
    """What was seen, in plain lines."""
    served = ", ".join(f"{name} {count}" for name, count in sorted(seen.served.items()))
    after_kill = ", ".join(f"{name} {count}" for name, count in sorted(seen.served_after_kill.items()))
    lines = [
        f"leader: {seen.leader}",
        f"first configuration: acknowledged in {seen.acknowledged_ms:.0f} ms,"
        f" in force on both edges after {seen.in_force_ms:.0f} ms",
        f"change of one route: acknowledged in {seen.changed_ms:.0f} ms,"
        f" in force on both edges after {seen.change_in_force_ms:.0f} ms",
        f"model {ABSENT_MODEL}, held by nobody: loaded on {', '.join(seen.loaded_by)},"
        f" served after {seen.loaded_ms:.0f} ms",
        f"killed: {seen.killed}, the leader; now leads: {seen.next_leader}",
        f"next change: acknowledged in {seen.acknowledged_after_kill_ms:.0f} ms,"
        f" in force on both edges after {seen.in_force_after_kill_ms:.0f} ms",
        f"requests served since the kill: {after_kill}",
        f"requests served in all: {served}; tries turned away or unanswered: {seen.turned_away};"
        f" wrong answers: {len(seen.faults)}; run twice: {len(seen.ran_twice)}",
    ]
    return "\n".join(lines)


async def _run() -> Seen:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory(prefix="granitewell-") as folder:
        return await run_scene(Path(folder), LIMIT_S)


def main() -> int:
    """Run the demo; 0 where all went as it should."""
    try:
        seen = asyncio.run(_run())
    except (DemoFailedError, RejectedChangeError, OSError) as error:
        print(f"granitewell: {error}", file=sys.stderr)
        return 1
    except (asyncio.CancelledError, KeyboardInterrupt):
        return 130
    print(report(seen))
    return 1 if seen.faults or seen.ran_twice else 0


if __name__ == "__main__":
    sys.exit(main())
