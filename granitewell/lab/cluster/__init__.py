"""Many pure machines in virtual time: a network, clocks, disks and processes that misbehave on demand.

`world.Cluster` runs nodes; `chaos` draws what goes wrong from a seed and a severity; `subjects` lists what
can be played by `granitewell lab cluster`; `hunt` plays many seeds and shrinks a failing one; `search` visits
every state of a few nodes. It knows the shared terms (granitewell.state_machine) alone; a subject's own days
and what must hold on them stand in a module of that subject's name.
"""
