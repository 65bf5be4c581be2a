"""Which servers of a pool this node lately sent which leading parts of prompts to. Pure and bounded."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from granitewell.dataplane.headers import PromptPart

MAX_PREFIXES = 4_096  # leading parts remembered over all pools of a node: some hundred bytes each
MAX_SERVERS = 4  # of each, the latest ones

Prefix = tuple[str, ...]
"""A pool's name, then the ids of the leading parts in order: a part is kept only behind those before it."""


class PrefixAffinity:
    """Least recently used first out."""

    def __init__(self) -> None:
        self._servers: OrderedDict[Prefix, list[str]] = OrderedDict()

    def sent(self, pool: str, parts: Sequence[PromptPart], server_id: str) -> None:
        """A prompt with these parts has been sent there."""
        for prefix, _ in _prefixes(pool, parts):
            servers = self._servers.setdefault(prefix, [])
            if server_id in servers:
                servers.remove(server_id)
            servers.append(server_id)
            del servers[:-MAX_SERVERS]
            self._servers.move_to_end(prefix)
        while len(self._servers) > MAX_PREFIXES:
            self._servers.popitem(last=False)

    def cached_tokens(self, pool: str, parts: Sequence[PromptPart]) -> dict[str, int]:
        """By server id: tokens of the leading parts that it may have kept. Others are missing."""
        kept: dict[str, int] = {}
        for prefix, tokens in _prefixes(pool, parts):
            for server_id in self._servers.get(prefix, ()):
                kept[server_id] = tokens
        return kept


def _prefixes(pool: str, parts: Sequence[PromptPart]) -> list[tuple[Prefix, int]]:
    found: list[tuple[Prefix, int]] = []
    prefix: Prefix = (pool,)
    tokens = 0
    for part in parts:
        prefix = (*prefix, part.id)
        tokens += part.tokens
        found.append((prefix, tokens))
    return found
