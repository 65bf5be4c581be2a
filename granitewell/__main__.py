"""Start, signals and exit code of one real node.

It owns the process: it reads the configuration, puts module, core and loop together and turns the end into
an exit code (0 after a stop that was asked for, 2 for a bad configuration, 1 if the address can't be had, 3
if what reads the operator file is not installed). It must never handle a request, hold state of its own, or
import the operator's room where no operator file is named.
"""

from __future__ import annotations

import os
import signal
import sys

from granitewell import startup_pacing

if __name__ == "__main__":  # the imports below take a tenth of a second, in which these would end it
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # nothing has been read yet that could be out of date
    if os.environ.get("LB_INHERITED_FD"):  # another process of this node may be serving
        startup_pacing.begin()

import asyncio
import gc
import warnings
from typing import TYPE_CHECKING, Any

import uvloop

from granitewell.balancing.balancer import Balancer
from granitewell.config import Config, ConfigError, load, reload
from granitewell.core import Core
from granitewell.handover import Handover
from granitewell.net.loop import Node

if TYPE_CHECKING:
    from granitewell.net.cluster import Cluster
    from granitewell.operator.load import LiveOperatorFile

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def _take(node: Node, live: LiveOperatorFile, joined: list[Cluster]) -> None:
    """What the operator file says now.

    Nothing of status and cluster is imported before it asks for them. OSError: the cluster's address can't be
    had.
    """
    node.log.apply_settings(live.current.log.settings())
    cluster = live.current.cluster.settings()
    if cluster.name or joined:
        from granitewell.net.cluster import start_or_reconfigure

        start_or_reconfigure(joined, node, cluster, live.current.counts.figures())
    status = live.current.status.settings()
    if status.at or node.status_server is not None:
        from granitewell.net.status import serve_status

        serve_status(node, status)
        for one in joined:
            one.attach_to_status_server(node)


def _stop(node: Node, joined: list[Cluster]) -> None:
    """SIGTERM: the other nodes hear of it before the listener goes."""
    try:
        for cluster in joined:
            cluster.stop()
    finally:
        node.stop()


def _reload(node: Node, live: LiveOperatorFile | None, joined: list[Cluster]) -> None:
    """SIGHUP: the files have been replaced. A bad one changes nothing; the other is taken all the same."""
    try:
        node.reload(reload(os.environ, node.check))
    except ConfigError as error:
        node.log_line("reload", f"the configuration stays as it is: {error}")
    except Exception as error:  # a defect: the operator file is taken up all the same
        node.log_line("fault", f"the reload failed: {type(error).__name__}: {error}")
    if live is not None:
        plan = live.reload()
        _take(node, live, joined)
        node.log.write(node.clock.now(), "reload", plan.log_line(), always=True)


def _heard_of(node: Node) -> None:
    """What Python would write to standard error by itself, and wait for whoever reads that, is a line of the
    log, which waits for nobody.
    """

    def warned(message: Warning | str, category: type[Warning], *_: Any, **__: Any) -> None:
        node.log_line("fault", f"{category.__name__}: {message}")

    def raised(what: sys.UnraisableHookArgs) -> None:
        node.log_line("fault", f"{what.err_msg or 'ignored'}: {what.exc_type.__name__}: {what.exc_value}")

    sys.unraisablehook, warnings.showwarning = raised, warned


def _ignore_signals() -> None:
    """Ignore all signals from now on, in every thread.

    The loop's own handlers fail once it is closed, and the interpreter's end gives each handler back to the
    default action, which ends the process. An ignored signal stays ignored. Blocking them in the main thread
    alone does not do: a worker thread takes what the main thread blocks.
    """
    for sign in SIGNALS:
        signal.signal(sign, signal.SIG_IGN)


async def _serve(config: Config, live: LiveOperatorFile | None, early: list[int]) -> None:
    loop = asyncio.get_running_loop()
    core = Core(config.settings, Balancer(config.settings, config.seed), config.most_held)
    handover = Handover(os.environ.get("TMPDIR", ""), config.name)
    node = Node(config, core, loop, handover)
    _heard_of(node)
    if wrong := handover.enter():
        node.log_line("handover", wrong)
    joined: list[Cluster] = []  # where an operator file has the nodes know each other
    if live is not None:
        _take(node, live, joined)
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, _stop, node, joined)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, live, joined)
    if early:  # the files were replaced after they had been read
        loop.call_soon(_reload, node, live, joined)
    # What start-up made lives as long as the process: the collector need not walk it again, and rarely runs.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    try:
        await node.run()
        for cluster in joined:
            await cluster.shut_down()
    finally:
        _ignore_signals()  # nothing is left to be done for any of them
        handover.leave()
        if node.status_server is not None:
            node.status_server.close()


def _operator(path: str) -> LiveOperatorFile | int | None:
    """The operator file, if one is named, or the exit code where it can't be had."""
    if not path:
        return None
    try:
        from granitewell.operator.load import InvalidOperatorFileError, LiveOperatorFile
    except ModuleNotFoundError as error:
        print(f"granitewell: LB_OPERATOR needs {error.name}: pip install 'granitewell[cli]'", file=sys.stderr)
        return 3
    try:
        return LiveOperatorFile(path)
    except InvalidOperatorFileError as error:
        for problem in error.problems:
            print(f"granitewell: bad operator file: {path}: {problem.text()}", file=sys.stderr)
        return 2


def main() -> int:
    """Run one node; the exit code says how it ended."""
    startup_pacing.end()
    early: list[int] = []  # SIGHUPs before the loop can act on them
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    for sign in (signal.SIGTERM, signal.SIGINT):
        signal.signal(sign, lambda *_: sys.exit(0))  # nothing has been taken yet
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"granitewell: bad configuration: {error}", file=sys.stderr)
        return 2
    live = _operator(os.environ.get("LB_OPERATOR", ""))
    if isinstance(live, int):
        return live
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, live, early))
    except ConfigError as error:
        print(f"granitewell: bad configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"granitewell: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
