"""State that the processes of one node share while one takes over from another (handover).

It is kept in files in the private temporary folder:

- `ban-*`: one file per endpoint that is banned or whose ban has ended. Its name depends on the endpoint alone
  and the last write wins, so two processes that write at once don't lose each other's bans.
- `run-*`: one file per running process, locked for the life of the process. It contains the process's claim:
  the number of descriptors that it may hold.

Files are written under a temporary name and renamed into place. A file that can't be read is reported and
skipped, so that nothing in the folder can prevent a start. No call waits for another process. The name of the
folder contains the node's name, in case several nodes share the temporary folder. Without a temporary folder
nothing is read or written.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import json
import os
import time
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from zlib import crc32

from granitewell.files import read_regular_file

FORMAT_VERSION = 1
MAX_BAN_FILE_BYTES = 2048
MAX_HEX_ID_BYTES = 96  # a longer endpoint id appears in the file name as a digest
MAX_FILES = 10_000  # read of one kind
MAX_FOLDER_ENTRIES = 50_000  # listed of all kinds
MTIME_SETTLED_NS = 100_000_000  # many ticks of the file system's clock
STALE_TEMPORARY_FILE_S = 60.0  # an older temporary file was left by a killed process
BAN_END_RETENTION_S = 120.0  # the end of a ban matters until the endpoint is warm, which takes less
BAN_PREFIX, RUN_PREFIX, TEMPORARY_SUFFIX = "ban-", "run-", ".new"
# errors of the machine or of this process: the file may be intact and readable a moment later
TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.ENOLCK})


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One moment on two clocks, in microseconds.

    The wall clock may be set at any time. The monotonic clock is the same for all processes until the machine
    restarts.
    """

    unix_us: int
    monotonic_us: int


@dataclass(frozen=True, slots=True)
class StoredBans:
    """Bans as read from the files.

    Attributes:
        banned_endpoints: Ids of the banned endpoints.
        ended_us: When the ban of an endpoint ended, by its id, on the monotonic clock.
        problems: One text for each file that could not be read.
    """

    banned_endpoints: frozenset[bytes]
    ended_us: Mapping[bytes, int]
    problems: tuple[str, ...]


def encode_ban(endpoint: bytes, banned: bool, at: ClockReading) -> bytes:
    """Return the contents of a ban file: one line of JSON, and a line with its CRC-32.

    The checksum detects a truncated file. Earlier versions read and write the same format without `mono_us`.
    """
    fields = {"v": FORMAT_VERSION, "id": endpoint.hex(), "banned": banned}
    line = json.dumps(fields | {"unix_us": at.unix_us, "mono_us": at.monotonic_us}).encode()
    return b"%s\n%08x\n" % (line, crc32(line))


def ban_file_name(endpoint: bytes) -> str:
    """Return the name of an endpoint's ban file.

    A long id is replaced by its digest, as a file name has at most 255 bytes.
    """
    if len(endpoint) <= MAX_HEX_ID_BYTES:
        return f"{BAN_PREFIX}{endpoint.hex()}"
    return f"{BAN_PREFIX}id-{blake2b(endpoint, digest_size=32).hexdigest()}"


def decode_ban(raw: bytes) -> tuple[bytes, bool, ClockReading]:
    """Return the endpoint's id, whether it is banned, and since when.

    The monotonic time is -1 if the file doesn't contain it.

    Raises:
        ValueError: The file is truncated, damaged, or not a ban file.
    """
    line, _, checksum_line = raw.partition(b"\n")
    if checksum_line != b"%08x\n" % crc32(line):
        raise ValueError("cut off, or not written by this program")
    document = json.loads(line)
    if not isinstance(document, dict) or document.get("v") != FORMAT_VERSION:
        raise ValueError("unsupported format version")
    endpoint, banned, unix_us, monotonic_us = (
        document.get(x) for x in ("id", "banned", "unix_us", "mono_us")
    )
    if (
        not isinstance(endpoint, str)
        or not isinstance(banned, bool)
        or type(unix_us) is not int
        or unix_us < 0
    ):
        raise ValueError("a field is missing or of a wrong type")
    return (
        bytes.fromhex(endpoint),
        banned,
        ClockReading(unix_us, monotonic_us if type(monotonic_us) is int else -1),
    )


def to_monotonic_us(at: ClockReading, now: ClockReading) -> int:
    """Return a past moment on the monotonic clock, or -1 if it is too long ago to matter.

    The wall clock is used only if there is no usable monotonic time, since it may have been set in between.
    """
    known = 0 <= at.monotonic_us <= now.monotonic_us
    elapsed_us = now.monotonic_us - at.monotonic_us if known else now.unix_us - at.unix_us
    return now.monotonic_us - elapsed_us if 0 <= elapsed_us <= BAN_END_RETENTION_S * 1e6 else -1


class Handover:
    """The handover files of one node, for one of its processes.

    Methods that return `str` return an error text, or "" on success and without a folder.
    """

    def __init__(self, folder: str, name: str) -> None:
        safe_name = "".join(x if x.isalnum() or x in "-_" else "_" for x in name)[:64]
        self._folder = Path(folder, f"granitewell-{safe_name}") if folder else None
        self._lock_descriptor = -1  # holds the lock on this process's run file
        self._last_mtime_ns = -1  # of the folder, at the last check
        # pids are reused, and processes in different pid namespaces that share the folder can have the same
        self._process_id = f"{os.getpid()}-{os.urandom(4).hex()}"
        self._run_file = f"{RUN_PREFIX}{self._process_id}"
        self._written_claim = -1  # the claim as it is in the run file
        self._last_claims: list[int] = []  # of the other processes, as last read

    def register(self) -> str:
        """Create and lock the run file of this process, and remove stale temporary files."""
        if self._folder is None:
            return ""
        try:
            self._folder.mkdir(mode=0o700, exist_ok=True)
            self._remove_stale_files(self._folder)
            # locked before it is renamed, so that no other process finds it unlocked
            temporary = self._folder / f"{self._run_file}{TEMPORARY_SUFFIX}"
            self._lock_descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(temporary, self._folder / self._run_file)
        except OSError as error:
            self.unregister()
            return f"the hand-over folder can't be used: {error.strerror}"
        return ""

    def unregister(self) -> None:
        """Remove the run file.

        If the process ends without this call, its lock is released and others remove the file.
        """
        if self._lock_descriptor >= 0:
            for name in (self._run_file, f"{self._run_file}{TEMPORARY_SUFFIX}"):
                with contextlib.suppress(OSError):
                    os.unlink(self._folder / name)  # type: ignore[operator]
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def claim(self, descriptors: int) -> None:
        """Publish how many descriptors this process may hold from now on."""
        if self._lock_descriptor >= 0 and descriptors != self._written_claim:
            with contextlib.suppress(OSError):  # disk full: written again at the next call
                os.pwrite(self._lock_descriptor, b"%010d" % descriptors, 0)
                self._written_claim = descriptors

    def other_claims(self) -> list[int]:
        """Return the claim of each other running process of this node, -1 for one without a claim yet.

        Removes the run files of processes that have ended. If a transient error prevents the check, the last
        known claims are returned: those processes may still hold their descriptors, and this process must not
        use them.
        """
        claims = []
        try:
            for path in self._list_files(RUN_PREFIX):
                if path.name != self._run_file:
                    claims += _read_claim(path)
        except OSError:
            return self._last_claims
        self._last_claims = claims
        return claims

    def has_changed(self) -> bool:
        """Return whether files may have been added or removed since the last call.

        This is a single `stat` of the folder, cheap enough for every periodic sweep.
        """
        if self._folder is None:
            return False
        try:
            mtime_ns = os.stat(self._folder).st_mtime_ns
        except OSError:
            return False
        previous_mtime_ns = self._last_mtime_ns
        # two changes within one tick of the file system's clock have the same time, so a recent time does not
        # prove that nothing has changed since
        self._last_mtime_ns = mtime_ns if abs(time.time_ns() - mtime_ns) > MTIME_SETTLED_NS else -1
        return mtime_ns != previous_mtime_ns

    def write_ban(self, endpoint: bytes, banned: bool, now: ClockReading) -> str:
        """Store that an endpoint is banned, or that its ban has ended."""
        if self._folder is None:
            return ""
        path = self._folder / ban_file_name(endpoint)
        temporary = path.with_name(f"{path.name}.{self._process_id}{TEMPORARY_SUFFIX}")
        try:
            self._folder.mkdir(mode=0o700, exist_ok=True)
            temporary.write_bytes(encode_ban(endpoint, banned, now))
            os.rename(temporary, path)
        except OSError as error:
            with contextlib.suppress(OSError):
                temporary.unlink(missing_ok=True)
            return f"the ban could not be written down: {error.strerror}"
        return ""

    def read_bans(self, now: ClockReading) -> StoredBans:
        """Return the stored bans, and remove ends of bans that are too old to matter.

        After a transient error, such as a lack of descriptors, `has_changed` returns true at its next call,
        so that the files are read again.
        """
        banned_endpoints, ended, problems = set(), {}, []
        try:
            paths = self._list_files(BAN_PREFIX)
        except OSError as error:
            self._last_mtime_ns = -1
            return StoredBans(frozenset(), {}, (f"the folder: {error.strerror}",))
        for path in paths:
            try:
                endpoint, banned, at = decode_ban(read_regular_file(path, MAX_BAN_FILE_BYTES, os.O_NOFOLLOW))
                if path.name != ban_file_name(endpoint):
                    raise ValueError("the file name belongs to another endpoint")
            except FileNotFoundError:
                continue
            except (OSError, ValueError, RecursionError) as error:
                if getattr(error, "errno", None) in TRANSIENT_ERRORS:
                    self._last_mtime_ns = -1
                # reported and not removed: it may matter to whoever put it there
                problems.append(f"{path.name[:80]}: {getattr(error, 'strerror', None) or error}")
                continue
            if banned:
                banned_endpoints.add(endpoint)
            elif (ended_us := to_monotonic_us(at, now)) < 0:
                with contextlib.suppress(OSError):
                    path.unlink()
            else:
                ended[endpoint] = ended_us
        return StoredBans(frozenset(banned_endpoints), ended, tuple(problems))

    def _list_files(self, prefix: str) -> list[Path]:
        """Return the files of one kind, sorted; none if there is no folder.

        Raises:
            OSError: A transient error prevents listing the folder.
        """
        if self._folder is None:
            return []
        try:
            with os.scandir(self._folder) as found:
                names = [x.name for _, x in zip(range(MAX_FOLDER_ENTRIES), found, strict=False)]
        except OSError as error:
            if error.errno in TRANSIENT_ERRORS:
                raise
            return []
        ours = sorted(
            name for name in names if name.startswith(prefix) and not name.endswith(TEMPORARY_SUFFIX)
        )
        return [self._folder / name for name in ours[:MAX_FILES]]

    def _remove_stale_files(self, folder: Path) -> None:
        """Remove temporary files of processes that were killed during a write."""
        with contextlib.suppress(OSError), os.scandir(folder) as found:
            for _, entry in zip(range(MAX_FOLDER_ENTRIES), found, strict=False):
                if entry.name.endswith(TEMPORARY_SUFFIX) and entry.name.startswith((BAN_PREFIX, RUN_PREFIX)):
                    with contextlib.suppress(OSError):
                        if (
                            abs(time.time() - entry.stat(follow_symlinks=False).st_mtime)
                            > STALE_TEMPORARY_FILE_S
                        ):
                            os.unlink(entry.path)


def _read_claim(path: Path) -> list[int]:
    """Return the claim in a run file as a list of one, -1 if the process has not made any.

    If the process has ended, removes its file and returns an empty list.

    Raises:
        OSError: A transient error prevents checking the file.
    """
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_NOFOLLOW | os.O_CLOEXEC)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.unlink(path)
            return []
        except BlockingIOError:
            raw = os.pread(descriptor, 10, 0)
            return [int(raw) if raw.isdigit() else -1]
        finally:
            os.close(descriptor)
    except OSError as error:
        if error.errno in TRANSIENT_ERRORS:
            raise
        return []
