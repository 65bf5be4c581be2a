"""The rig of processes: the program itself, started many times, with a switch between its processes.

It owns runs in which nodes find each other and faults are injected between them: the schedule, the switch,
the looks at what each node believes, the page at the end. The day's load, endpoints, discovery and the rules
of the brief are those of `lab/socks` and `lab/judge`. It must never be imported by anything that serves, nor
hook into the program: a node is told by its files, its signals and its sockets, as anywhere else.
"""
