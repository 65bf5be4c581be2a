"""Who owns a shard: leadership of its replica group, made known in its log before it is used."""
