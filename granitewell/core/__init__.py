"""The core: the one place where the state of requests, calls and the fleet changes.

It owns the reducer, its tables and its terms. It must never do I/O, read a clock or know a protocol's bytes.
"""

from granitewell.core.reducer import (
    ACCEPT_AFTER_STOP_US,
    MIN_TIMEOUT_LIMIT_US,
    NEVER_RAN,
    OVERDUE_GRACE_US,
    READ_AFTER_CLOSE_US,
    Core,
    Decider,
)
from granitewell.core.types import (
    AbandonCall,
    Acting,
    Answer,
    Arrived,
    BanAsked,
    BanLifted,
    BansHeard,
    Begin,
    CallBegan,
    CallDialed,
    CallDialing,
    CallEnded,
    CallPart,
    CloseIdle,
    Effects,
    Event,
    Finish,
    FleetNews,
    InboundGone,
    KeepBan,
    Leave,
    LetGo,
    Listening,
    Member,
    Note,
    Pass,
    Phase,
    Ruled,
    Ruling,
    Serving,
    Settled,
    StartCall,
    StopAsked,
    StopListening,
    Verdict,
    Whole,
    Woken,
    WriteCall,
)

__all__ = [
    "AbandonCall", "ACCEPT_AFTER_STOP_US", "Acting", "Answer", "Arrived", "BanAsked", "BanLifted",
    "BansHeard", "Begin", "CallBegan", "CallDialed", "CallDialing", "CallEnded", "CallPart", "CloseIdle",
    "Core", "Decider", "Effects", "Event", "Finish", "FleetNews", "OVERDUE_GRACE_US", "READ_AFTER_CLOSE_US",
    "InboundGone", "KeepBan", "MIN_TIMEOUT_LIMIT_US", "Leave", "LetGo", "Listening", "Member", "NEVER_RAN",
    "Note", "Pass", "Phase", "Ruled", "Ruling", "Serving", "Settled", "StartCall", "StopAsked",
    "StopListening", "Verdict", "Whole", "Woken", "WriteCall",
]  # fmt: skip
