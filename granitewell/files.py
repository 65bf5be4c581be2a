"""Reading a file that somebody else has put there: whole, bounded, and without waiting for anybody.

It owns what counts as a file. It must never follow what it reads, write, or know what a file is for.
"""

from __future__ import annotations

import os
import stat

MAX_USER_FILE_BYTES = 64 * 1024 * 1024  # bytes of a file that somebody names on the command line, at most


def read_regular_file(path: str | os.PathLike[str], max_bytes: int, flags: int = 0) -> bytes:
    """The bytes of a regular file.

    ValueError: it is none, or longer than that. A pipe would be waited for without end, by a node that serves
    meanwhile, and a device has no end at all.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | flags)
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise ValueError("no regular file")
        raw = b""
        while len(raw) <= max_bytes and (more := os.read(descriptor, max_bytes + 1 - len(raw))):
            raw += more
    finally:
        os.close(descriptor)
    if len(raw) > max_bytes:
        raise ValueError(f"over {max_bytes} bytes")
    return raw
