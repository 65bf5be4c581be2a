"""What a node derives from the membership: settings, an estimate of the fleet size, and the persisted record.

Which members are up is decided in `membership`; the shell `net/cluster.py` passes its events on.
"""
