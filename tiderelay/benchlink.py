"""Hosts many balancers on the simulator's wire. Decides nothing."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from tiderelay import wire
from tiderelay.policy import Balancer


def read_frame(stream: BinaryIO) -> bytes | None:
    """One whole frame, or None at the end of input between frames."""
    head = stream.read(wire.HEADER.size)
    if not head:
        return None
    if len(head) < wire.HEADER.size:
        raise wire.WireError(f"byte {len(head)}: input ended inside a header")
    length = wire.HEADER.unpack(head)[1]
    if length < wire.HEADER.size:
        raise wire.WireError(f"byte 4: a frame of {length} bytes is shorter than its header")
    body = stream.read(length - wire.HEADER.size)
    if len(body) < length - wire.HEADER.size:
        raise wire.WireError(f"byte {len(head) + len(body)}: input ended inside a frame of {length}")
    return head + body


class Link:
    """The balancers of one process, by instance number."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.balancers: dict[int, Balancer | None] = {}  # None: its decisions broke

    def answer(self, frame: bytes) -> bytes:
        """Hand each event to its instance; the actions in the order they came."""
        now, events = self.decoder.batch(frame)
        out: list[bytes] = []
        for inst, event in events:
            if isinstance(event, wire.Stop):
                self.balancers.pop(inst, None)
                continue
            try:
                if isinstance(event, wire.Start):
                    self.balancers[inst] = Balancer(event.settings, event.seed)
                    continue
                if inst not in self.balancers:
                    raise wire.WireError(f"an event for instance {inst}, which was never created")
                balancer = self.balancers[inst]
                if balancer is not None:
                    out.extend([wire.record(inst, a) for a in balancer.handle(now, event)])
            except wire.WireError:
                raise
            except Exception:
                out.append(wire.fault(inst, traceback.format_exc()))
                self.balancers[inst] = None
        return wire.reply(out)


def main() -> int:
    """Serve until the input ends."""
    gc.disable()  # reference cycles do not arise per request; pauses would be charged to requests
    link, stdin, stdout = Link(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(stdin)) is not None:
            stdout.write(link.answer(frame))
            stdout.flush()
    except wire.WireError as error:
        print(f"tiderelay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
