"""Constants on which all nodes must agree."""

SHARD_COUNT = 2
"""Number of shards; a service belongs to one by the hash of its name.

To change it, all nodes have to be stopped.
"""

CONFIGURATION_GROUP = "configuration"
"""Name of the replica group of the configuration."""


def shard_group(shard: int) -> str:
    """Return the name of a shard's replica group."""
    return f"shard-{shard}"
