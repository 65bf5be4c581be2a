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
    from granitewell.operator.load import Live

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def _apply_operator_settings(node: Node, operator: Live, clusters: list[Cluster]) -> None:
    """What the operator file says now.

    Nothing of status and cluster is imported before it asks for them. OSError: the cluster's address can't be
    had.
    """
    node.log.apply_settings(operator.held.log.settings())
    cluster = operator.held.cluster.settings()
    if cluster.name or clusters:
        from granitewell.net.cluster import start_or_reconfigure

        start_or_reconfigure(clusters, node, cluster, operator.held.counts.figures())
    status = operator.held.status.settings()
    if status.at or node.status_server is not None:
        from granitewell.net.status import serve_status

        serve_status(node, status)
        for instance in clusters:
            instance.attach_to_status_server(node)


def _stop(node: Node, clusters: list[Cluster]) -> None:
    """SIGTERM: the other nodes hear of it before the listener goes."""
    try:
        for cluster in clusters:
            cluster.stop()
    finally:
        node.stop()


def _reload(node: Node, operator: Live | None, clusters: list[Cluster]) -> None:
    """SIGHUP: the files have been replaced. A bad one changes nothing; the other is taken all the same."""
    try:
        node.reload(reload(os.environ, node.check))
    except ConfigError as error:
        node.log_line("reload", f"the configuration stays as it is: {error}")
    except Exception as error:  # a defect: the operator file is taken up all the same
        node.log_line("fault", f"the reload failed: {type(error).__name__}: {error}")
    if operator is not None:
        plan = operator.again()
        _apply_operator_settings(node, operator, clusters)
        node.log.write(node.clock.now(), "reload", plan.line(), always=True)


def _log_python_warnings(node: Node) -> None:
    """What Python would write to standard error by itself, and wait for whoever reads that, is a line of the
    log, which waits for nobody.
    """

    def log_warning(message: Warning | str, category: type[Warning], *_: Any, **__: Any) -> None:
        node.log_line("fault", f"{category.__name__}: {message}")

    def log_unraisable(unraisable: sys.UnraisableHookArgs) -> None:
        node.log_line(
            "fault",
            f"{unraisable.err_msg or 'ignored'}: {unraisable.exc_type.__name__}: {unraisable.exc_value}",
        )

    sys.unraisablehook, warnings.showwarning = log_unraisable, log_warning


def _ignore_signals() -> None:
    """Ignore all signals from now on, in every thread.

    The loop's own handlers fail once it is closed, and the interpreter's end gives each handler back to the
    default action, which ends the process. An ignored signal stays ignored. Blocking them in the main thread
    alone does not do: a worker thread takes what the main thread blocks.
    """
    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)


async def _serve(config: Config, operator: Live | None, early_reloads: list[int]) -> None:
    loop = asyncio.get_running_loop()
    core = Core(config.settings, Balancer(config.settings, config.seed), config.max_open_requests)
    handover = Handover(os.environ.get("TMPDIR", ""), config.name)
    node = Node(config, core, loop, handover)
    _log_python_warnings(node)
    if problem := handover.register():
        node.log_line("handover", problem)
    clusters: list[Cluster] = []  # where an operator file has the nodes know each other
    if operator is not None:
        _apply_operator_settings(node, operator, clusters)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _stop, node, clusters)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, operator, clusters)
    if early_reloads:  # the files were replaced after they had been read
        loop.call_soon(_reload, node, operator, clusters)
    # What start-up made lives as long as the process: the collector need not walk it again, and rarely runs.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    try:
        await node.run()
        for cluster in clusters:
            await cluster.shut_down()
    finally:
        _ignore_signals()  # nothing is left to be done for any of them
        handover.unregister()
        if node.status_server is not None:
            node.status_server.close()


def _load_operator_file(path: str) -> Live | int | None:
    """The operator file, if one is named, or the exit code where it can't be had."""
    if not path:
        return None
    try:
        from granitewell.operator.load import InvalidOperatorFileError, Live
    except ModuleNotFoundError as error:
        print(f"granitewell: LB_OPERATOR needs {error.name}: pip install 'granitewell[cli]'", file=sys.stderr)
        return 3
    try:
        return Live(path)
    except InvalidOperatorFileError as error:
        for problem in error.problems:
            print(f"granitewell: bad operator file: {path}: {problem.text()}", file=sys.stderr)
        return 2


def main() -> int:
    """Run one node; the exit code says how it ended."""
    startup_pacing.end()
    early_reloads: list[int] = []  # SIGHUPs before the loop can act on them
    signal.signal(signal.SIGHUP, lambda signal_number, _: early_reloads.append(signal_number))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: sys.exit(0))  # nothing has been taken yet
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"granitewell: bad configuration: {error}", file=sys.stderr)
        return 2
    operator = _load_operator_file(os.environ.get("LB_OPERATOR", ""))
    if isinstance(operator, int):
        return operator
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, operator, early_reloads))
    except ConfigError as error:
        print(f"granitewell: bad configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"granitewell: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
