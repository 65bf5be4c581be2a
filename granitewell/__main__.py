"""Start, signals and exit code of one real node.

It owns the process: it reads the configuration, puts module, core and loop together and turns the end into
an exit code (0 after a stop that was asked for, 2 for a bad configuration, 1 if the address can't be had).
It must never handle a request or hold state of its own.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from granitewell.config import Config, ConfigError, load, reload
from granitewell.core import Core
from granitewell.net.loop import Node
from tiderelay.policy import Balancer


def _reload(node: Node) -> None:
    """SIGHUP: the file has been replaced. A bad one changes nothing."""
    try:
        node.reload(reload(os.environ))
    except ConfigError as error:
        node.say("reload", f"the configuration stays as it is: {error}")


async def _serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config, Core(config.settings, Balancer(config.settings, config.seed), config.most_held), loop)
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, node.stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, node)
    # What start-up made lives as long as the process: the collector need not walk it again, and rarely runs.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    await node.run()


def main() -> int:
    """Run one node; the exit code says how it ended."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be acted on it must not end the process
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"granitewell: bad configuration: {error}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config))
    except OSError as error:
        print(f"granitewell: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
