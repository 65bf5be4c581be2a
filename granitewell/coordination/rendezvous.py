"""Rendezvous hashing: every node works out the same order without a word, and one that comes or goes moves
only its own keys.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def _weight(key: str, node: str) -> bytes:
    return blake2b(f"{len(key)}:{key}{node}".encode(), digest_size=8).digest()


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """The nodes in the order in which they are to have a key, the best first.

    >>> rank("a-key", ["n1", "n2", "n3"]) == rank("a-key", ["n3", "n1", "n2"])
    True
    """
    return sorted(set(nodes), key=lambda node: (_weight(key, node), node), reverse=True)


def shard_of(name: str, shards: int) -> int:
    """The shard that a name belongs to, the same on every node and in every version.

    >>> shard_of("some-service", 1)
    0
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") % shards
