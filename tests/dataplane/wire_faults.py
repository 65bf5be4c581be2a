"""Fault cases of connections to servers.

Every split point of a request or a response with every event that may happen there, bytes after a response,
and random sequences of several faults by seed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from tests.dataplane.wire_world import (
    KINDS,
    Connect,
    Continuation,
    ExtraBytes,
    Runner,
    ServerAction,
    When,
    World,
    answer_of,
)

PLAIN = (
    "length", "chunked", "until-close", "continue", "closing", "refused", "moved", "failed", "busy",
    "timeout", "unsealed",
)  # fmt: skip
STREAMS = ("stream", "stream-length", "stream-until-close", "length", "refused", "busy")
MORE_REJECTIONS = ("refused-429", "too-many")  # in sequences only, as they differ just by their status
ANSWERS = {"once": PLAIN, "again": PLAIN, "stream": STREAMS, "resume": STREAMS}
SEGMENT_BYTES = (0, 1, 3)  # sizes of the segments in which the rest arrives
REQUEST_BYTES = range(1, 400)  # a request is a little shorter
REQUEST_ENDS = (
    (Continuation.GO_ON, 1000),
    (Continuation.RESET, 0),
    (Continuation.CLOSE, 0),
    (Continuation.SILENCE, 0),
    (Continuation.CANCEL, 0),
    (Continuation.LATE, 0),
    (Continuation.RESET, 100),
    (Continuation.CLOSE, 100),
)
CONNECTS = (*Connect, Connect.UP, Connect.UP, Connect.UP)  # most succeed
# Extra bytes that break the next request if they arrive before its response.
BREAKS_THE_NEXT_REQUEST = (
    ExtraBytes.OTHER_ANSWER,
    ExtraBytes.RUBBISH,
    ExtraBytes.ONE_BYTE,
)


@dataclass(frozen=True)
class FaultCase:
    """One request with a fault, followed by two without."""

    kind: str
    act: ServerAction
    servers: int = 2

    def play(self, runner: Runner) -> World:
        """Run the case; raises ViolationError."""
        world = runner.play(self.kind, [self.act], servers=self.servers)
        world.check_served(self._allowed_failures())
        return world

    def _allowed_failures(self) -> int:
        """Return how many of the three requests may fail."""
        act = self.act
        if act.extra is ExtraBytes.DROPPED or (
            act.when is When.NEXT_REQUEST and act.extra in BREAKS_THE_NEXT_REQUEST
        ):
            return 3
        whole = act.sends is not None and act.sends >= answer_length(act.answer)
        if whole and act.then in (Continuation.SILENCE, Continuation.LATE):
            return 3  # the server then reads nothing for long, or ever
        if act.answer == "moved" and self.servers == 1:
            return 3  # it is skipped for a while after a 421
        succeeds = act.then is Continuation.GO_ON and answer_of(act.answer, "", 0).status == 200
        return 0 if succeeds and act.answer != "unsealed" else 1


def answer_length(answer: str) -> int:
    return len(answer_of(answer, "0" * 16, 0).data)


def cut_answers() -> Iterator[FaultCase]:
    """Yield every split point of a response, with every event that may happen there."""
    for kind in KINDS:
        for answer in ANSWERS[kind]:
            for then in Continuation:
                for sends in range(answer_length(answer) + 1):
                    for piece in SEGMENT_BYTES if then is Continuation.GO_ON else (0,):
                        yield FaultCase(kind, ServerAction(answer, sends=sends, then=then, piece=piece))


def cut_requests() -> Iterator[FaultCase]:
    """Yield every split point of a request, answered early or cut off there."""
    for kind in KINDS:
        for answer in ANSWERS[kind][:1] + ("refused",):
            for then, sends in REQUEST_ENDS:
                for takes in REQUEST_BYTES:
                    yield FaultCase(kind, ServerAction(answer, takes=takes, sends=sends, then=then))


def extra_bytes() -> Iterator[FaultCase]:
    """Yield the cases with bytes after a response."""
    for kind in KINDS:
        for answer in ANSWERS[kind]:
            for extra in ExtraBytes:
                for when in When:
                    for servers in (1, 2):
                        yield FaultCase(kind, ServerAction(answer, extra=extra, when=when), servers)


def play_fault_sequence(runner: Runner, seed: int) -> World:
    """Run several requests, concurrent and one by one, with several faults."""
    rng = Random(seed)
    kind = rng.choice(list(KINDS))
    script = [_act(rng, kind) for _ in range(rng.randint(1, 6))]
    connects = [rng.choice(CONNECTS) for _ in range(rng.randint(0, 4))]
    return runner.play(
        kind,
        script,
        servers=rng.randint(1, 3),
        connects=connects,
        together=rng.randint(1, 3),
        then=rng.randint(0, 4),
    )


def _act(rng: Random, kind: str) -> ServerAction:
    answer = rng.choice(ANSWERS[kind] + MORE_REJECTIONS)
    takes, then, sends = None, rng.choice(list(Continuation)), rng.randint(0, answer_length(answer))
    if rng.random() < 0.2:
        takes = rng.choice(REQUEST_BYTES)
        then, sends = rng.choice(REQUEST_ENDS)
    extra, when = ExtraBytes.NONE, rng.choice(list(When))
    if rng.random() < 0.4:
        extra, then = rng.choice(list(ExtraBytes)), Continuation.GO_ON
    return ServerAction(answer, takes, sends, then, extra, when, rng.choice(SEGMENT_BYTES))
