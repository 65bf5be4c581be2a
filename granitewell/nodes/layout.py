"""What all nodes must agree on."""

SHARDS = 2
"""Shards of the services, by hash of the service's name. A change needs all nodes stopped."""
