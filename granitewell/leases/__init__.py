"""Which planner leads: terms, votes and leases among three to seven planners.

Docs/design/leases.md says why it is safe; `machine.Leases` is what a shell runs.
"""
