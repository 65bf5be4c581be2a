"""Rendezvous hashing: all nodes compute the same order without communicating.

A node that is added or removed moves only its own keys.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def _weight(key: str, node: str) -> bytes:
    return blake2b(f"{len(key)}:{key}{node}".encode(), digest_size=8).digest()


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in order of preference for a key, the best first.

    >>> rank("a-key", ["n1", "n2", "n3"]) == rank("a-key", ["n3", "n1", "n2"])
    True
    """
    return sorted(set(nodes), key=lambda node: (_weight(key, node), node), reverse=True)


def shard_of(name: str, shards: int) -> int:
    """Return the shard of a name, the same on every node and in every version.

    >>> shard_of("some-service", 1)
    0
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") % shards
