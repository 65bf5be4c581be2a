"""A demo of the whole system on loopback: its real processes, stand-ins for all that surrounds them.

`python -m granitewell.lab.system` starts three control processes and two edges, kills the one that leads, and
prints what was seen. The platform, the model servers, the operator and the client are stand-ins in the
command's own process.
"""
