"""`control`: entry point of the control role."""

from granitewell.nodes.control_role import main

__all__ = ["main"]
