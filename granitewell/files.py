"""Reading a file that somebody else has put there: whole, bounded, and without waiting for anybody.

It owns what counts as a file. It must never follow what it reads, write, or know what a file is for.
"""

from __future__ import annotations

import os
import stat

BY_HAND = 64 * 1024 * 1024  # bytes of a file that somebody names on the command line, at most


def whole(path: str | os.PathLike[str], most: int, flags: int = 0) -> bytes:
    """The bytes of a regular file.

    ValueError: it is none, or longer than that. A pipe would be waited for without end, by a node that serves
    meanwhile, and a device has no end at all.
    """
    opened = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | flags)
    try:
        if not stat.S_ISREG(os.fstat(opened).st_mode):
            raise ValueError("no regular file")
        raw = b""
        while len(raw) <= most and (more := os.read(opened, most + 1 - len(raw))):
            raw += more
    finally:
        os.close(opened)
    if len(raw) > most:
        raise ValueError(f"over {most} bytes")
    return raw
