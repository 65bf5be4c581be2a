"""What all nodes together have used, by key, in a window of time that slides: with bounds that are sure.

It owns the subject of counts: each node's own slices of use, what is known of the others', and between which
two figures the true sum lies. It must never decide what follows from a count, and knows no other subject.

Theory of operation. There is no leader and no sum that is passed on: each process counts its own use in
slices of time, by its own clock, and a slice that is over never changes. Others hold copies of slices; which
of two copies is right is never a question, as only one process writes them and a count in a slice only grows.
So letters may be lost, doubled, late or out of order, and merging them is taking the maximum.

A node asks each other one in turn for what is new. The answer says how long the other process had run when it
was written, and that moment lies between our asking and our hearing: so its slices have a place on our clock,
known to within a round trip, and no two clocks need agree. A figure is then a pair. Low: slices that lie in
the window for sure. High: slices that may lie in it, and for all time of which we have no word (since the
last one; before a life's first one; of a node that was never heard) the most that a node can take.

What that is, is the one thing that is assumed and not known, and stands in the operator file: no node takes
more than `ceiling_per_s` of all keys, nor of one key more than `growth` times its busiest slice in the
window, or `floor_per_s` where that is more. A silent node widens the figure, up to what it can have taken in
a whole window, and is never forgotten by silence.
"""
