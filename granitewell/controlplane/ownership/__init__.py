"""Ownership of shards: leadership of a shard's replica group, claimed in its log before the first order."""
