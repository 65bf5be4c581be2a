"""What all nodes must agree on."""

SHARDS = 2
"""Shards of the services, by hash of the service's name. A change needs all nodes stopped."""

CONFIGURATION_GROUP = "configuration"
"""The replica group of the configuration."""


def shard_group(shard: int) -> str:
    """The name of a shard's replica group."""
    return f"shard-{shard}"
