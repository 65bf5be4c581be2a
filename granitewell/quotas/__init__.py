"""Budgets that all nodes of a fleet share, and how much of each a node may spend now.

This package owns the quota of each process: its base quota, what it has lent and what it has borrowed. It
does not count what other nodes spend. No process runs it yet; it is simulated in virtual time
(granitewell.lab.cluster).

A budget is a rate for all nodes together. Each node that may be active has an equal base quota: the budget
divided by the maximum number of nodes that can be alive. The caller supplies that number, and a partition
doesn't lower it. A reserve of the base quota is never lent. The rest may be lent, for a fixed time, to nodes
that need more.

The borrower may use a loan for that time, counted from its request by its own clock and shortened for clock
drift. The lender counts the loan as lent for that time, counted from its reply by its own clock and
lengthened for drift. As the request precedes the reply, a loan is never used by both, whatever message is
lost, late, duplicated or reordered; at worst neither uses it for a while. A node that receives no messages
falls back to its base quota as its loans expire. A process that starts doesn't know what its predecessor has
lent: until the longest loan has expired it uses its reserve alone. What the predecessor had borrowed is not
used.

So at every moment the quotas of all processes of different names add up to no more than the budget, as long
as no node assumes fewer nodes than can be alive.
"""
