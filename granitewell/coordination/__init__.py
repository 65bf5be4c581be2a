"""Coordination parts that others could embed: consensus, durable logs, leases, sharding.

Knows no route or model.
"""
