"""Who is alive among the nodes of an installation, without a leader.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017). `machine.Membership` is what
a shell runs; see docs/design/membership.md.
"""
