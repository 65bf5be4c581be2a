"""The model on loopback sockets.

The same endpoints, clients, front and discovery as in virtual time, behind real bytes, with real node
processes between them.

It owns processes, descriptors and bytes. It must never decide what a part of the platform does (that is
`lab.model`), judge what passed (`lab.judge`), or leave a process running.
"""
