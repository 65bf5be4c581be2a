"""Building blocks of distributed coordination: consensus, durable logs, leases, sharding.

This package knows no route and no model.
"""
