"""Building blocks of distributed coordination: consensus, durable logs, leases, sharding.

It does not depend on routes or models.
"""
