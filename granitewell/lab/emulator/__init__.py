"""Models of the platform as pure state machines: events in, effects out, time as an argument.

They define how endpoints, clients, front and discovery behave, without I/O or a clock. `lab.simulation` in
virtual time and `lab.loopback` on sockets run the same objects.
"""
