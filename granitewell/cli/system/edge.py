"""`edge`: thin main of the edge role."""

from granitewell.nodes.edge import main

__all__ = ["main"]
