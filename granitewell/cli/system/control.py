"""`control`: thin main of the control role."""

from granitewell.nodes.control import main

__all__ = ["main"]
