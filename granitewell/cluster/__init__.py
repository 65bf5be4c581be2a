"""What a node makes of the fleet's view: how it is set, how many nodes act, and what is written down of it.

It owns no member: who is alive is `membership`'s, and the shell (`net/cluster.py`) carries the one's news to
the other.
"""
