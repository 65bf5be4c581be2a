"""The judge: one set of rules and one count of worth, fed by what really passed.

It owns what is right and wrong in a day, whoever plays it, and must never read what a node says of itself, do
I/O or know which shell plays. The rules, by the names under which offences are reported:

    answer    one final answer to each try that a node took, in time              (answers)
    lost      no connection ended under a try that was taken                      (answers)
    body      what is served is what an endpoint made for that request            (answers)
    crash     a node's process ends only when it is told to                       (answers)
    unsafe    what must never run twice is not sent again once it may have run    (repeats)
    refusal   nor refused, which would invite a retry                             (repeats)
    attempts  no more attempts of a try than the day allows                       (repeats)
    after     no attempt after the final answer, or for a client that has left    (repeats)
    unknown   nothing is sent or answered that no client asks                     (judge)
    drain     nothing new to an endpoint after the grace of its drain             (fleet)
    cold      no cold endpoint is pushed over, and its budget is kept             (fleet)
"""

from granitewell.lab.judge.histogram import Histogram
from granitewell.lab.judge.judge import Judge
from granitewell.lab.judge.records import Violation
from granitewell.lab.judge.report import Report

RULES = (
    "answer", "lost", "body", "crash", "unsafe", "refusal", "attempts", "after", "unknown", "drain", "cold",
)  # fmt: skip

__all__ = ["RULES", "Histogram", "Judge", "Violation", "Report"]
