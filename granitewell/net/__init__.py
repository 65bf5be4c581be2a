"""The sockets of the serving node: the client protocol, the peer transport and the loop that runs effects."""
