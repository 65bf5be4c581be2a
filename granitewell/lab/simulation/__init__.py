"""Discrete-event simulation: the node's real core and module against the platform model, in one process.

It holds the virtual network, client traffic, endpoint hosts and node hosts, and the code that plays days,
searches seeds and compares policies. Rules, model behavior and the core live elsewhere; no real clock is
used.
"""
