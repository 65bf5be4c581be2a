"""Runs the simulator adapter as a real process."""

import os
import struct
import subprocess
import sys
from typing import Any

from tests import wirekit as w

HOSTS = [bytes([10, 0, 0, k, 1, 2]) for k in range(12)]


def run(data: bytes, hashseed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = os.environ | {"PYTHONHASHSEED": hashseed}
    return subprocess.run(
        [sys.executable, "-m", "granitewell.balancing.simulator_adapter"],
        input=data,
        capture_output=True,
        env=env,
        check=False,
    )


def replies(data: bytes) -> list[list[tuple[Any, ...]]]:
    out, pos = [], 0
    while pos < len(data):
        (length,) = struct.unpack_from("<I", data, pos + 4)
        out.append(w.read_reply(data[pos : pos + length]))
        pos += length
    return out


def session(instances: tuple[int, ...]) -> bytes:
    """A short day of the given instances; each gets only its own events."""
    frames = [w.frame(0.0)]
    first = [w.catalog(0, *(w.entry(h, cell=k % 3) for k, h in enumerate(HOSTS)))]
    for i in instances:
        first += [w.create(i, 100 + i, w.boot()), w.view(i, 0, 0)]
    frames.append(w.frame(1.0, *first))
    for step in range(60):
        now = 10.0 * step + 10.0
        batch = []
        for i in instances:
            batch += [w.inbound(i, 1000 * i + step, step % 3, now + 300.0), w.due(i, 0)]
        frames.append(w.frame(now, *batch))
    return b"".join(frames)


def test_end_of_input_exits_with_0() -> None:
    done = run(w.frame(1.0) + w.frame(2.0))
    assert done.returncode == 0 and done.stderr == b""
    assert replies(done.stdout) == [[], []]


def test_truncated_input_is_reported_in_one_line() -> None:
    for data, says in (
        (w.frame(1.0)[:9], b"byte 9: input ended inside a header"),
        (w.frame(1.0, w.down(0))[:-2], b"byte 19: input ended"),
        (struct.pack("<IId", 0, 3, 1.0), b"byte 4"),
        (w.frame(1.0, w.due(4, 1)), b"instance 4"),
        (w.frame(1.0, w.create(0, 1, b"{}")), b"allowed is missing"),
    ):
        done = run(data)
        assert done.returncode == 2
        assert says in done.stderr and done.stderr.count(b"\n") == 1


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    data = session((0, 1))
    assert run(data, "1").stdout == run(data, "77").stdout


def test_instances_act_the_same_alone_or_together() -> None:
    together = [a for batch in replies(run(session((0, 1))).stdout) for a in batch]
    for i in (0, 1):
        alone = [a for batch in replies(run(session((i,))).stdout) for a in batch]
        assert any(a[0] == "assign" for a in alone)
        assert alone == [a for a in together if a[1] == i]


def test_instance_recreated_in_one_batch_forgets_its_requests() -> None:
    hosts = w.catalog(0, *(w.entry(h) for h in HOSTS))
    boot = w.create(0, 5, w.boot()), w.view(0, 0, 0)
    data = w.frame(1.0, hosts, *boot) + w.frame(2.0, w.inbound(0, 9, 0, 500.0))
    data += w.frame(3.0, w.down(0), *boot) + w.frame(600.0, w.due(0, 0))
    second = replies(run(data).stdout)
    assert any(a[:3] == ("assign", 0, 9) for a in second[1])
    assert not [a for a in second[3] if a[0] in ("report_failure", "push_back", "assign")]


def test_exception_in_a_decision_is_reported(monkeypatch: Any) -> None:
    from granitewell.balancing import simulator_adapter

    def boom(*_: Any) -> None:
        raise RuntimeError("no such thing")

    monkeypatch.setattr("granitewell.balancing.balancer.Balancer.handle", boom)
    link = simulator_adapter.BalancerInstances()
    link.answer(w.frame(1.0, w.create(0, 1, w.boot())))
    (action,) = w.read_reply(link.answer(w.frame(2.0, w.due(0, 0))))
    assert action[:2] == ("internal_error", 0) and b"no such thing" in action[2]
