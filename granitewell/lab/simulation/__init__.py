"""Virtual time: the node's own core and module against the model of the platform, in one process.

It owns the virtual network, clients' side, endpoint machines and node shells, and what plays, hunts and
compares with them. It must never hold a rule, a copy of what the model or the core does, or a real clock.
"""
