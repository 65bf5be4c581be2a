"""Prompt prefixes that this edge recently sent, and to which servers. Bounded, no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from granitewell.dataplane.headers import PromptPart

MAX_PREFIXES = 4_096  # over all pools of a node; some hundred bytes each
MAX_SERVERS = 4  # per prefix, the latest ones

Prefix = tuple[str, ...]
"""Name of the pool, then the ids of the parts in order. A part is cached only together with all before it."""


class PrefixAffinity:
    """Servers by prompt prefix; the least recently used prefixes are dropped first."""

    def __init__(self) -> None:
        self._servers: OrderedDict[Prefix, list[str]] = OrderedDict()

    def sent(self, pool: str, parts: Sequence[PromptPart], server_id: str) -> None:
        """Record that a prompt with these parts was sent to a server."""
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
        """Return, by server id, the tokens of the prefix that the server may have cached."""
        cached: dict[str, int] = {}
        for prefix, tokens in _prefixes(pool, parts):
            for server_id in self._servers.get(prefix, ()):
                cached[server_id] = tokens
        return cached


def _prefixes(pool: str, parts: Sequence[PromptPart]) -> list[tuple[Prefix, int]]:
    found: list[tuple[Prefix, int]] = []
    prefix: Prefix = (pool,)
    tokens = 0
    for part in parts:
        prefix = (*prefix, part.id)
        tokens += part.tokens
        found.append((prefix, tokens))
    return found
