"""Checks the rules of a simulated or recorded day and computes its score from observations.

The checks use only what clients, endpoints and the platform observed, never what a node reports of itself.
They do no I/O and do not depend on whether the day ran in virtual time or on sockets. A violation is reported
under one of these rule names:

    answer    each client attempt that a node took gets one final response, in time  (response_rules)
    lost      no connection ends while an attempt that was taken is open             (response_rules)
    body      a served body is the one that an endpoint produced for that request    (response_rules)
    crash     a node process ends only when it is told to                            (response_rules)
    unsafe    an unsafe request is not sent again once it may have run               (attempt_rules)
    refusal   nor refused, since a refusal invites a retry                           (attempt_rules)
    attempts  no more upstream attempts per client attempt than the day allows       (attempt_rules)
    after     no upstream attempt after the final response or after the client left  (attempt_rules)
    unknown   nothing is sent or answered that no client asked for                   (judge)
    drain     no new attempt to an endpoint after the grace period of its drain      (endpoint_rules)
    cold      no cold endpoint is overloaded, and its budget is kept                 (endpoint_rules)
"""

from granitewell.lab.judge.histogram import Histogram
from granitewell.lab.judge.judge import Judge
from granitewell.lab.judge.records import Violation
from granitewell.lab.judge.report import Report

RULES = (
    "answer", "lost", "body", "crash", "unsafe", "refusal", "attempts", "after", "unknown", "drain", "cold",
)  # fmt: skip

__all__ = ["RULES", "Histogram", "Judge", "Violation", "Report"]
