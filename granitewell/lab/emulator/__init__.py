"""The parts of the platform as pure state machines: events in, effects out, time as an argument.

They own how endpoints, clients, front and discovery behave. They must never do I/O, read a clock, or know
which shell runs them: `lab.sim` in virtual time and `lab.socks` on loopback run these very objects.
"""
