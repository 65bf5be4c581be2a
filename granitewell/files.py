"""Bounded reading of files that come from outside the process.

Only regular files are read, up to a size limit and without blocking.
"""

from __future__ import annotations

import os
import stat

MAX_USER_FILE_BYTES = 64 * 1024 * 1024  # for a file that is named on the command line


def read_regular_file(path: str | os.PathLike[str], max_bytes: int, flags: int = 0) -> bytes:
    """Return the contents of a regular file.

    Other kinds of files are refused: reading a pipe could block a serving node forever, and a device such as
    /dev/zero has no end.

    Args:
        path: The file to read.
        max_bytes: Size limit.
        flags: Further flags for `os.open`.

    Raises:
        OSError: The file can't be opened or read.
        ValueError: It is not a regular file, or it is larger than `max_bytes`.
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
