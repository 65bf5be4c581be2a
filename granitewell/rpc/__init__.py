"""Internal protocol: thrift messages, frames, and connections between nodes. Makes no decisions."""
