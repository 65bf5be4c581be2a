"""Replica groups: a pure Raft replica (`replica.Replica`) and the shell that runs it
(`group.ReplicatedGroup`).
"""

from granitewell.coordination.consensus.group import ReplicatedGroup, StateMachine
from granitewell.coordination.consensus.identity import NodeIdentity, load_identity
from granitewell.coordination.consensus.settings import ReplicaSettings
from granitewell.coordination.consensus.types import Member

__all__ = ["Member", "NodeIdentity", "ReplicaSettings", "ReplicatedGroup", "StateMachine", "load_identity"]
