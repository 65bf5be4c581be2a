"""The load-balancing node of birlik-dispatch: real sockets around tiderelay's decisions."""
