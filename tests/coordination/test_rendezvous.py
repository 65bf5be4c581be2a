"""Rendezvous hashing: stable, even, and moving as few keys as possible."""

from __future__ import annotations

import doctest
from collections import Counter

from granitewell.coordination import rendezvous
from granitewell.coordination.rendezvous import rank, shard_of

NODES = [f"node-{number}" for number in range(10)]


def test_the_order_is_the_same_in_each_process() -> None:
    assert rank("key", ["a", "b", "c"]) == ["a", "b", "c"]
    assert [shard_of(f"name-{number}", 2) for number in range(6)] == [0, 0, 1, 0, 0, 0]


def test_removing_a_node_moves_only_its_keys() -> None:
    for number in range(200):
        key = f"key-{number}"
        before = rank(key, NODES)
        without = rank(key, [node for node in NODES if node != "node-3"])
        assert without == [node for node in before if node != "node-3"]


def test_keys_are_spread_evenly() -> None:
    first = Counter(rank(f"key-{number}", NODES)[0] for number in range(2_000))
    assert len(first) == len(NODES) and max(first.values()) < 260 and min(first.values()) > 140


def test_the_examples_in_doc_comments() -> None:
    assert doctest.testmod(rendezvous).failed == 0
