"""Budgets of the whole fleet: how much of each a node may spend now, so that the sum is never too much.

It owns the subject of rights: what a node has by itself, what it has lent and what was lent to it. It must
never count what others spend, and knows no other subject.

Theory of operation. A budget is so many a second for all nodes together. Each node that may act has an equal
part by itself, its home: the whole divided by the most nodes that can be alive, a figure that whoever knows
the fleet gives, and that no cut makes smaller. Of its home a floor is never lent. The rest may be lent to
nodes that need more, for a stated time.

A loan is good for its borrower until that time after it has asked, on its own clock, shortened for drift; and
it counts as lent for its lender until that time after it has answered, on its own clock, lengthened for
drift. The asking comes before the answering, so whatever is lost, late, doubled or out of order, nothing is
held by both: at the worst a loan is held by neither for a while. Whoever hears nothing falls back to its home
as its loans end. A process that begins does not know what the one before it has lent: until the longest loan
can have ended it has its floor alone. What was lent to the one before it is forgotten.

So at every moment the rights of all processes of different names come to no more than the whole, as long as
no node counts fewer than can be alive.
"""
