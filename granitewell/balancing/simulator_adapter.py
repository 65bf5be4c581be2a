"""Runs balancers for the platform's simulator, which speaks a binary protocol on stdin and stdout."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from granitewell.balancing import simulator_protocol
from granitewell.balancing.balancer import Balancer


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one complete frame; None at the end of the input."""
    head = stream.read(simulator_protocol.HEADER.size)
    if not head:
        return None
    if len(head) < simulator_protocol.HEADER.size:
        raise simulator_protocol.WireError(f"byte {len(head)}: input ended inside a header")
    length = simulator_protocol.HEADER.unpack(head)[1]
    if length < simulator_protocol.HEADER.size:
        raise simulator_protocol.WireError(f"byte 4: a frame of {length} bytes is shorter than its header")
    body = stream.read(length - simulator_protocol.HEADER.size)
    if len(body) < length - simulator_protocol.HEADER.size:
        raise simulator_protocol.WireError(
            f"byte {len(head) + len(body)}: input ended inside a frame of {length}"
        )
    return head + body


class BalancerInstances:
    """The balancers of one process, by instance number."""

    def __init__(self) -> None:
        self.decoder = simulator_protocol.Decoder()
        self.balancers: dict[int, Balancer | None] = {}  # None: an exception has ended it

    def answer(self, frame: bytes) -> bytes:
        """Pass each event of a frame to its instance; return the frame of their actions, in order."""
        now, events = self.decoder.batch(frame)
        out: list[bytes] = []
        for inst, event in events:
            if isinstance(event, simulator_protocol.Stop):
                self.balancers.pop(inst, None)
                continue
            try:
                if isinstance(event, simulator_protocol.Start):
                    self.balancers[inst] = Balancer(event.settings, event.seed)
                    continue
                if inst not in self.balancers:
                    raise simulator_protocol.WireError(
                        f"an event for instance {inst}, which was never created"
                    )
                balancer = self.balancers[inst]
                if balancer is not None:
                    out.extend(
                        [simulator_protocol.encode_action(inst, a) for a in balancer.handle(now, event)]
                    )
            except simulator_protocol.WireError:
                raise
            except Exception:
                out.append(simulator_protocol.encode_fault(inst, traceback.format_exc()))
                self.balancers[inst] = None
        return simulator_protocol.encode_reply(out)


def main() -> int:
    """Answer frames until the input ends; return the exit code."""
    gc.disable()  # requests create no reference cycles, and pauses would count as their latency
    link, stdin, stdout = BalancerInstances(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(stdin)) is not None:
            stdout.write(link.answer(frame))
            stdout.flush()
    except simulator_protocol.WireError as error:
        print(f"granitewell: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
