"""`edge`: entry point of the edge role."""

from granitewell.nodes.edge import main

__all__ = ["main"]
