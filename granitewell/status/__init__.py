"""The status of a running node, for people on call: a snapshot of its state as JSON, metrics or text.

This package defines the snapshot's types, builds one in short steps, encodes it as JSON and in Prometheus'
text format, and describes it for the console. It never changes the node's state, opens a socket or reads a
clock: `granitewell.net.status` does that.
"""
