"""A router and placer for servers that run models, and the load-balancing node of birlik-dispatch."""
