"""Leaderless membership and failure detection among the nodes of an installation.

Implements SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey 2017).
`state_machine.Membership` is what a shell runs; see docs/design/membership.md.
"""
