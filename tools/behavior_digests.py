"""Play every simulated world on many seeds and print one digest of behavior per world.

    python -m tools.behavior_digests                        all worlds, a hundred seeds each
    python -m tools.behavior_digests --seeds 4 --only raft  fewer seeds, one world
    python -m tools.behavior_digests --write FILE           store the table
    python -m tools.behavior_digests --check FILE           compare with a stored table

The exit status of `--check` is 1 if a digest differs.

Everything that decides is deterministic: the same seed gives the same events. A refactoring that changes no
behavior therefore changes no digest. A digest covers values only (virtual times, addresses, message bytes,
statuses), never the name of a class, a method or a field, so that renaming does not alter it.

The program restarts itself with a fixed hash seed, because the order of sets of strings depends on it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

HASH_SEED = "0"
DEFAULT_SEEDS = 100
SEEDS_PER_JOB = 5
DIGEST_BYTES = 16
PLAIN_TYPES = (int, float, str, bytes, bool, type(None))


class Recorder:
    """Hash the events of one run, in order."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=DIGEST_BYTES)
        self.events = 0

    def add(self, *values: object) -> None:
        """Add one event. Accepts plain values only, so that no type name enters the digest."""
        for value in values:
            if type(value) not in PLAIN_TYPES:
                raise TypeError(f"{value!r} is not a plain value")
        self._hash.update(repr(values).encode())
        self.events += 1

    @property
    def digest(self) -> str:
        """The digest of all events so far, in hexadecimal."""
        return self._hash.hexdigest()


@contextmanager
def patched(owner: Any, name: str, replacement: Callable[..., Any]) -> Iterator[None]:
    """Replace a method for a while. `replacement` gets the original method first."""
    original = getattr(owner, name)

    def call(*args: Any, **more: Any) -> Any:
        return replacement(original, *args, **more)

    setattr(owner, name, call)
    try:
        yield
    finally:
        setattr(owner, name, original)


# Worlds. Each plays one seed and records what happened. Imports are local: a job loads only what it plays.


@contextmanager
def _raft_messages(recorder: Recorder) -> Iterator[None]:
    """Record every message and every committed entry of the simulated replica groups."""
    from granitewell.coordination.consensus.codec import encode
    from tests.coordination.invariants import Invariants
    from tests.coordination.world import World

    def send(original: Any, world: Any, sender: str, outgoing: Any) -> None:
        recorder.add(world.now, sender, outgoing.address, encode(outgoing.message))
        original(world, sender, outgoing)

    def commit(original: Any, invariants: Any, entry: Any, *more: Any) -> None:
        recorder.add(entry.index, entry.term, int(entry.kind), entry.data)
        original(invariants, entry, *more)

    with patched(World, "send", send), patched(Invariants, "commit", commit):
        yield


def play_raft(seed: int, recorder: Recorder) -> None:
    """Replica groups of three and five under all faults."""
    from tests.coordination.faults import play

    with _raft_messages(recorder):
        play(seed, voters=3 if seed % 4 else 5)


def play_raft_replacements(seed: int, recorder: Recorder) -> None:
    """Replacements of voters, a disk lost at some step."""
    from tests.coordination.replacement import plans, play

    cases = list(plans(paused=bool(seed % 2)))
    with _raft_messages(recorder):
        outcome = play(cases[seed * 7 % len(cases)], seed % 40, seed)
    recorder.add(str(outcome.value))


@contextmanager
def _disk_writes(recorder: Recorder) -> Iterator[None]:
    """Record every write to a simulated disk."""
    from tests.coordination.simulated_files import SimulatedFiles

    def write(original: Any, files: Any, handle: int, offset: int, data: bytes) -> None:
        recorder.add(handle, offset, bytes(data))
        original(files, handle, offset, data)

    with patched(SimulatedFiles, "write", write):
        yield


def play_group_process(seed: int, recorder: Recorder) -> None:
    """The shell of replica groups with codec and log files, and a hundred proposals."""
    from tests.coordination.cluster import Cluster
    from tests.coordination.hundreds_of_changes import play

    def send(original: Any, cluster: Any, sender: str, to: str, payload: bytes) -> None:
        recorder.add(cluster.loop.time(), sender, to, payload)
        original(cluster, sender, to, payload)

    with _disk_writes(recorder), patched(Cluster, "send", send):
        play(seed)


def play_configuration_faults(seed: int, recorder: Recorder) -> None:
    """Operators change the configuration of three control nodes under faults."""
    from tests.controlplane import test_configuration_faults as scenarios
    from tests.controlplane.change_world import Reference

    def send(original: Any, scenario: Any, sender: str, to: str, payload: bytes) -> None:
        recorder.add(scenario.loop.time(), sender, to, payload)
        original(scenario, sender, to, payload)

    def answer(original: Any, reference: Any, change: Any, status: int, body: dict[str, Any]) -> None:
        recorder.add(change.encode(), status, repr(body))
        original(reference, change, status, body)

    with (
        _disk_writes(recorder),
        patched(scenarios.Scenario, "send", send),
        patched(Reference, "answer", answer),
    ):
        scenarios.play_seed(seed, scenarios.ALL_FAULTS)


def play_configuration_orders(seed: int, recorder: Recorder) -> None:
    """Operators and the configuration store in random orders of events."""
    import pytest

    from granitewell.controlplane.configuration import api
    from tests.controlplane import test_change_identity_search as search
    from tests.controlplane.change_world import Reference, World

    def act(original: Any, world: Any, action: Any) -> Any:
        recorder.add(len(world.committed), len(world.tail), world.term, repr(action.arguments))
        return original(world, action)

    def answer(original: Any, reference: Any, change: Any, status: int, body: dict[str, Any]) -> None:
        recorder.add(change.encode(), status, repr(body))
        original(reference, change, status, body)

    with (
        patched(World, "act", act),
        patched(Reference, "answer", answer),
        pytest.MonkeyPatch.context() as patch,
    ):
        patch.setattr(api, "LEADER_WAIT_S", 0.0)
        asyncio.run(search.play(seed, patch))


def play_shard_owners(seed: int, recorder: Recorder) -> None:
    """Owners of shards that send orders to servers, with and without fencing."""
    from tests.controlplane import test_owner_search as search
    from tests.controlplane.owner_servers import EngineServer

    def take(original: Any, server: Any, machine: str, body: bytes, instance: str | None) -> int:
        status: int = original(server, machine, body, instance)
        recorder.add(server.world.now, server.address, machine, body, instance, status)
        return status

    with _raft_messages(recorder), patched(EngineServer, "take", take):
        search.play(seed, bool(seed % 2), *search.SCENARIOS[seed % len(search.SCENARIOS)])


def play_control_partitions(seed: int, recorder: Recorder) -> None:
    """Control nodes that are partitioned from each other while edges and operators ask them."""
    from tests.nodes.cut_off_invariants import Invariants
    from tests.nodes.cut_off_scenarios import play
    from tests.nodes.cut_off_world import World

    def send(original: Any, world: Any, sender: Any, receiver: Any, *more: Any) -> None:
        recorder.add(world.now, sender.host, receiver.host)
        original(world, sender, receiver, *more)

    def answered(
        original: Any, invariants: Any, control: Any, request: Any, response: Any, sent_at: float
    ) -> None:
        recorder.add(control.host, request.method, response.status, bytes(response.body or b""), sent_at)
        original(invariants, control, request, response, sent_at)

    def published(original: Any, invariants: Any, host: str, version: int, rate: float) -> None:
        recorder.add(host, version, rate)
        original(invariants, host, version, rate)

    watched = patched(Invariants, "answered", answered), patched(Invariants, "published", published)
    with _disk_writes(recorder), patched(World, "send", send), watched[0], watched[1]:
        play(seed)


def play_placement(seed: int, recorder: Recorder) -> None:
    """Placement of models on a fleet of servers, with lost and late orders and crashes."""
    from tests.controlplane.test_placement_faults import fleet_under_faults
    from tests.controlplane.test_placement_fleet import Fleet

    def poll(original: Any, fleet: Any, step: Any) -> None:
        recorder.add(fleet.now, step.address, step.server_id)
        original(fleet, step)

    def send(original: Any, fleet: Any, step: Any) -> None:
        order, ticket = step.order, step.ticket
        target = (order.operation.value, order.server_id, order.ref.model, order.ref.adapter)
        recorder.add(fleet.now, step.address, *target, ticket.fencing_token, ticket.revision)
        original(fleet, step)

    with patched(Fleet, "_poll", poll), patched(Fleet, "_send", send):
        faults = (0.0, 0.1, 0.3)
        fleet = fleet_under_faults(
            seed, faults[seed % 3], faults[seed // 3 % 3], faults[seed // 9 % 3], seed % 10
        )
    for at, ref, waited in fleet.observed.served:
        recorder.add(at, ref.model, ref.adapter, waited)


def play_edge(seed: int, recorder: Recorder) -> None:
    """One edge with clients, servers, new configurations and a graceful shutdown."""
    from tests.dataplane.node_world import play
    from tests.dataplane.simulated_network import play_simulated

    world = play_simulated(play(seed))
    for arrival in world.arrivals:
        recorder.add(
            arrival.id, arrival.server, arrival.at, arrival.remaining_s, arrival.ran, arrival.ended_at
        )
    for sent in world.sent:
        answer = sent.answer
        body = (answer.status, answer.body) if answer is not None and answer.first_line else (0, b"")
        recorder.add(sent.id, sent.sent_at, sent.left_at, sent.ended_at, *body)


def play_upstream_bytes(seed: int, recorder: Recorder) -> None:
    """Requests to servers byte by byte, with several faults."""
    from tests.dataplane.wire_faults import play_fault_sequence
    from tests.dataplane.wire_world import Runner

    runner = Runner()
    try:
        for course in range(seed * 10, seed * 10 + 10):
            world = play_fault_sequence(runner, course)
            for arrival in world.arrivals:
                recorder.add(arrival.request_id, arrival.number, arrival.server, arrival.ran, arrival.whole)
            for caller in world.callers.values():
                recorder.add(
                    caller.request.request_id, caller.status, caller.passed, caller.ended, caller.cancelled
                )
                recorder.add(getattr(caller.answer, "status", 0), getattr(caller.answer, "body", b""))
    finally:
        runner.close()


@contextmanager
def _peer_messages(recorder: Recorder) -> Iterator[None]:
    """Record what the machines of the simulated fleet send and store."""
    from granitewell.lab.cluster.world import Cluster

    def say(original: Any, cluster: Any, node: Any, message: Any) -> None:
        recorder.add(cluster.now_us, node.id, message.to, message.data)
        original(cluster, node, message)

    def store(original: Any, cluster: Any, node: Any, index: int, write: Any) -> None:
        recorder.add(cluster.now_us, node.id, index, write.key, write.data)
        original(cluster, node, index, write)

    with patched(Cluster, "_say", say), patched(Cluster, "_store", store):
        yield


def _play_fleet_subject(subject: Any, seed: int, recorder: Recorder) -> None:
    from granitewell.lab.cluster.days import Case

    with _peer_messages(recorder):
        outcome = subject.play(Case(seed, severity=0.5, size=4 + seed % 3))
    if outcome.broken is not None:
        raise AssertionError(f"seed {seed}: {outcome.broken}")


def play_membership(seed: int, recorder: Recorder) -> None:
    """Membership of the present fleet under faults."""
    from granitewell.lab.cluster import membership

    _play_fleet_subject(membership.SUBJECT, seed, recorder)


def play_leases(seed: int, recorder: Recorder) -> None:
    """Leases of the present fleet under faults."""
    from granitewell.lab.cluster import leases

    _play_fleet_subject(leases.SUBJECT, seed, recorder)


def play_counts(seed: int, recorder: Recorder) -> None:
    """Shared counters of the present fleet under faults."""
    from granitewell.lab.cluster import counts

    _play_fleet_subject(counts.SUBJECT, seed, recorder)


def play_budgets(seed: int, recorder: Recorder) -> None:
    """Quota transfers of the present fleet under faults."""
    from granitewell.lab.cluster import budgets

    _play_fleet_subject(budgets.SUBJECT, seed, recorder)


class _AnyObservation:
    """A witness of a simulated day: records the values of each observation, whatever its name."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder

    def __getattr__(self, name: str) -> Callable[..., None]:
        if name.startswith("__") or name == "report":
            raise AttributeError(name)
        return self._recorder.add


def play_balancing(seed: int, recorder: Recorder) -> None:
    """Nodes with the balancing decisions on drawn scenarios."""
    from typing import cast

    from granitewell.lab.simulation.hunt import Case
    from granitewell.lab.simulation.play import play
    from granitewell.lab.witness import Witness

    scenarios = (
        "calm",
        "deploy",
        "grey-half-slow-10",
        "overload",
        "like-shrink",
        "wide-silent",
        "chaos",
        "rainy-evening",
    )
    case = Case(scenarios[seed % len(scenarios)], nodes=4, endpoints=8, rate=150.0, length_s=8.0)
    play(case.day(seed), witness=cast(Witness, _AnyObservation(recorder)))


Play = Callable[[int, Recorder], None]
WORLDS: dict[str, Play] = {
    "raft": play_raft,
    "raft-replacements": play_raft_replacements,
    "group-process": play_group_process,
    "configuration-faults": play_configuration_faults,
    "configuration-orders": play_configuration_orders,
    "shard-owners": play_shard_owners,
    "control-partitions": play_control_partitions,
    "placement": play_placement,
    "edge": play_edge,
    "upstream-bytes": play_upstream_bytes,
    "membership": play_membership,
    "leases": play_leases,
    "counts": play_counts,
    "budgets": play_budgets,
    "balancing": play_balancing,
}


@dataclass(frozen=True, slots=True)
class Row:
    """The result of one world: how many seeds, how many events, the digest over all seeds in order."""

    world: str
    seeds: int
    events: int
    digest: str

    def text(self) -> str:
        """The line of a stored table."""
        return f"{self.world:22} {self.seeds:4} seeds {self.events:9} events  {self.digest}"


def play_seed(world: str, seed: int) -> tuple[int, str]:
    """Play one seed; return the number of events and their digest."""
    recorder = Recorder()
    WORLDS[world](seed, recorder)
    return recorder.events, recorder.digest


def play_seeds(world: str, seeds: Sequence[int]) -> list[tuple[int, str]]:
    """Play some seeds in this process."""
    return [play_seed(world, seed) for seed in seeds]


def digests(worlds: Sequence[str], seeds: int, jobs: int) -> Iterator[Row]:
    """Play all worlds over several processes; yield a row per world, in the order given."""
    with ProcessPoolExecutor(jobs) as pool:
        chunks = [range(first, min(first + SEEDS_PER_JOB, seeds)) for first in range(0, seeds, SEEDS_PER_JOB)]
        submitted = {world: [pool.submit(play_seeds, world, chunk) for chunk in chunks] for world in worlds}
        for world, futures in submitted.items():
            results = [result for future in futures for result in future.result()]
            total = blake2b("".join(digest for _, digest in results).encode(), digest_size=DIGEST_BYTES)
            yield Row(world, seeds, sum(events for events, _ in results), total.hexdigest())


def _differences(found: Sequence[str], stored: Sequence[str]) -> list[str]:
    """The stored lines that were not found again, among those of the worlds that were played."""
    played = {line.split()[0] for line in found}
    return [line for line in stored if line.split()[0] in played and line not in found]


def main(arguments: Sequence[str]) -> int:
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.behavior_digests", description="Digests of behavior."
    )
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--only", nargs="+", choices=tuple(WORLDS), default=tuple(WORLDS))
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--write", type=Path)
    parser.add_argument("--check", type=Path)
    options = parser.parse_args(arguments)
    lines = []
    for row in digests(options.only, options.seeds, options.jobs):
        lines.append(row.text())
        print(lines[-1], flush=True)
    if options.write is not None:
        options.write.write_text("".join(f"{line}\n" for line in lines))
    if options.check is not None:
        different = _differences(lines, options.check.read_text().splitlines())
        print(*(f"differs from {line}" for line in different) if different else ["all as stored"], sep="\n")
        return 1 if different else 0
    return 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.execve(sys.executable, [sys.executable, "-m", "tools.behavior_digests", *sys.argv[1:]],
                  {**os.environ, "PYTHONHASHSEED": HASH_SEED})  # fmt: skip
    sys.exit(main(sys.argv[1:]))
