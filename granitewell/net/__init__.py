"""The sockets of granitewell: one protocol front and the loop that runs the core's effects."""
