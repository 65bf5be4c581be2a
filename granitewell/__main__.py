"""Runs one node as a process: startup, signals and exit code.

Reads the configuration and assembles balancer, core and event loop. `granitewell.operator` and its packages
are imported only if an operator file is named.

Exit codes: 0 after a requested stop, 1 if the address can't be bound, 2 for a bad configuration, 3 if the
packages that read the operator file are not installed.
"""

from __future__ import annotations

import os
import signal
import sys

from granitewell import startup_pacing

if __name__ == "__main__":  # importing takes 0.1 s; by default, these signals would kill the process
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # no configuration has been read yet
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

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def _apply_operator_settings(node: Node, operator: LiveOperatorFile, clusters: list[Cluster]) -> None:
    """Apply the current operator file to the log, the cluster and the status server.

    The modules of cluster and status are imported only once the file asks for them.

    Raises:
        OSError: The cluster's address can't be bound.
    """
    node.log.apply_settings(operator.current.log.settings())
    cluster = operator.current.cluster.settings()
    if cluster.name or clusters:
        from granitewell.net.cluster import start_or_reconfigure

        start_or_reconfigure(clusters, node, cluster, operator.current.counts.figures())
    status = operator.current.status.settings()
    if status.at or node.status_server is not None:
        from granitewell.net.status import serve_status

        serve_status(node, status)
        for instance in clusters:
            instance.attach_to_status_server(node)


def _stop(node: Node, clusters: list[Cluster]) -> None:
    """Handle SIGTERM and SIGINT: leave the cluster before the listener is closed."""
    try:
        for cluster in clusters:
            cluster.stop()
    finally:
        node.stop()


def _reload(node: Node, operator: LiveOperatorFile | None, clusters: list[Cluster]) -> None:
    """Handle SIGHUP: read the configuration and the operator file again.

    An invalid file changes nothing and doesn't keep the other one from being applied.
    """
    try:
        node.reload(reload(os.environ, node.check))
    except ConfigError as error:
        node.log_line("reload", f"the configuration stays as it is: {error}")
    except Exception as error:  # a defect; the operator file is applied all the same
        node.log_line("fault", f"the reload failed: {type(error).__name__}: {error}")
    if operator is not None:
        plan = operator.reload()
        _apply_operator_settings(node, operator, clusters)
        node.log.write(node.clock.now(), "reload", plan.log_line(), always=True)


def _log_python_warnings(node: Node) -> None:
    """Send Python's warnings and unraisable exceptions to the node's log.

    Python would write them to standard error, which blocks if nobody reads it; the log never blocks.
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
    default action, which ends the process. An ignored signal stays ignored. Blocking the signals in the main
    thread is not enough, since they would be delivered to a worker thread.
    """
    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)


async def _serve(config: Config, operator: LiveOperatorFile | None, early_reloads: list[int]) -> None:
    loop = asyncio.get_running_loop()
    core = Core(config.settings, Balancer(config.settings, config.seed), config.max_open_requests)
    handover = Handover(os.environ.get("TMPDIR", ""), config.name)
    node = Node(config, core, loop, handover)
    _log_python_warnings(node)
    if problem := handover.register():
        node.log_line("handover", problem)
    clusters: list[Cluster] = []  # empty, or one if the operator file configures it
    if operator is not None:
        _apply_operator_settings(node, operator, clusters)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _stop, node, clusters)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, operator, clusters)
    if early_reloads:  # the files may have been replaced after they were read
        loop.call_soon(_reload, node, operator, clusters)
    # objects made at startup live as long as the process: exclude them from garbage collection, which then
    # runs rarely
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    try:
        await node.run()
        for cluster in clusters:
            await cluster.shut_down()
    finally:
        _ignore_signals()  # the process is ending; no signal needs to be handled any more
        handover.unregister()
        if node.status_server is not None:
            node.status_server.close()


def _load_operator_file(path: str) -> LiveOperatorFile | int | None:
    """Load the operator file; return None if none is named, or an exit code if it can't be loaded."""
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
    """Run one node and return the exit code."""
    startup_pacing.end()
    early_reloads: list[int] = []  # SIGHUPs that arrive before the loop handles them
    signal.signal(signal.SIGHUP, lambda signal_number, _: early_reloads.append(signal_number))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: sys.exit(0))  # no request has been accepted yet
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
