"""Ownership of shards: leadership of a shard's replica group, committed to its log before it is used."""
