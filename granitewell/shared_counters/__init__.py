"""Usage counts per key, summed over all nodes in a sliding time window, with guaranteed bounds.

The package counts usage, replicates the counts between nodes, and bounds the true sum from below and above.
What follows from a count is decided elsewhere.

The counts form a state-based CRDT, a grow-only counter per slice of time. There is no leader, and no sum is
passed on: each process counts its own usage in slices of time, by its own clock, and a completed slice never
changes. Other nodes hold copies of the slices. Only one process writes a slice and its counts only grow, so
two copies are merged by taking the maximum. Messages may therefore be lost, duplicated, delayed or reordered.

A node polls every other node in turn for what is new. A report says how long the reporting process had been
running when it was written, and that moment lies between the request and the receipt of the report. This
places the slices on the receiver's clock to within one round trip, and no two clocks need to agree. The usage
is reported as a pair of bounds. The lower bound counts the slices that are certainly within the window. The
upper bound counts the slices that may be within it, plus, for all time that no report covers, the most that a
node can use. Such time lies after the last report, before the first report of a process, and is the whole
window for a node that was never heard.

That maximum is the only assumption, and is set in the configuration: no node uses more than `ceiling_per_s`
over all keys, nor more of one key than `growth` times the rate of its busiest slice in the window, or
`floor_per_s` if that is higher. A silent node is never dropped for its silence: it widens the bounds, up to
what it can have used in a whole window.
"""
