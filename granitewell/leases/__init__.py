"""Leases among three to seven planners: terms, votes, and which planner leads.

docs/design/leases.md explains why it is safe; `state_machine.Leases` is what a process runs.
"""
