"""The command line: `granitewell node, check, lab, ...`.

Holds arguments, tables, progress bars and exit codes, and no logic of the node. `python -m granitewell`,
which runs the node, does not import it, so that a node runs without a command line library.
"""
