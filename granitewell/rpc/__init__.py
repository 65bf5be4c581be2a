"""The internal protocol: thrift messages, frames, connections between nodes. Decides nothing."""
