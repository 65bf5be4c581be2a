"""The lab: the platform as a model, load, faults, the judge of the rules, and experiments.

It owns everything that stands in for the world round a node. It must never be imported by anything that
serves: `python -m granitewell` starts without it.
"""
