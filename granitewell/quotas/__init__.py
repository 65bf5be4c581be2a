"""Budgets that all nodes of a fleet share, and how much of each a node may spend now.

This package owns the quota of each process: its base quota, what it has lent and what it has borrowed. It
does not count what other nodes spend. No process runs it yet; it is played in virtual time
(granitewell.lab.cluster).

How it works. A budget is a rate for all nodes together. Each node that may be active has an equal base
quota: the budget divided by the maximum number of nodes that can be alive. That number comes from whoever
knows the fleet, and a partition doesn't lower it. A reserve of the base quota is never lent. The rest may
be lent, for a stated time, to nodes that need more.

The borrower may use a loan until that time after it sent its request, by its own clock, shortened for
drift. The lender counts the loan as lent until that time after it answered, by its own clock, lengthened
for drift. As the request precedes the answer, a loan is never used by both, whatever message is lost, late,
duplicated or reordered; at worst neither uses it for a while. A node that hears nothing falls back to its
base quota as its loans expire. A process that starts doesn't know what its predecessor has lent: until the
longest loan must have expired it uses its reserve alone. What was lent to its predecessor is forgotten.

So at every moment the quotas of all processes of different names add up to no more than the budget, as long
as no node assumes fewer nodes than can be alive.
"""
