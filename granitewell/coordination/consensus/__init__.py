"""Replica groups: a pure Raft replica and the part that runs it.

Raft is described in Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
in Ongaro's dissertation (pre-vote: section 9.6, leadership transfer: 3.10, joint consensus: 4.3, leases:
6.4.1).
"""

from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import NodeIdentity, load_identity
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.state_machine import StateMachine
from granitewell.coordination.consensus.types import Member

__all__ = ["Member", "NodeIdentity", "ReplicaSettings", "ReplicatedGroup", "StateMachine", "load_identity"]
