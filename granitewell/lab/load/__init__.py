"""The open-loop load tool: `granitewell lab load`.

It owns what leaves when, what came back, and whether the figures are the target's or the tool's own. It must
never decide how a node behaves, and never report a figure that the tool itself has spoilt as the target's.

Pure: `plan`, `schedule`, `flow`, `counts`, `knee`, `verdict`, `wire`. Shells: `worker` (one process with one
loop), `crew` (the processes), `means` (what the machine and the targets give), `files`, `bare` (a stand-in).
`run` joins them.
"""
