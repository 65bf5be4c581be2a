"""What outlives a process of this node while the next one takes over: files in the private temporary folder.

It owns their names, form and checks: one file an endpoint that is banned or has come back from a ban, and one
a running process, locked for its life. A file is written whole and put in place by rename; one that can't be
read is told of and passed over, so that nothing found there ever stops a start. It must never decide what a
ban means or wait for the other process. Without a folder nothing is read or written.

Files of one name belong to one endpoint, and the last call wins: two processes may write at once without
losing each other's bans. The folder carries the node's name, should several nodes ever share one.
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
MAX_BAN_FILE_BYTES = 2048  # of a file of ours
MAX_HEX_ID_BYTES = 96  # bytes of an id that its file's name spells
MAX_FILES = 10_000  # of a kind that are read,
MAX_FOLDER_ENTRIES = 50_000  # of all names in the folder that are looked at
MTIME_SETTLED_NS = 100_000_000  # many ticks of a file system's clock
STALE_TEMPORARY_FILE_S = (
    60.0  # after which a file that is being written is one that a killed process has left behind
)
BAN_END_RETENTION_S = (
    120.0  # for which the end of a ban is worth knowing: longer than any endpoint takes to get warm
)
BAN_PREFIX, RUN_PREFIX, TEMPORARY_SUFFIX = "ban-", "run-", ".new"
# of the machine or of this process, not of the file: it may be there and whole, and be read a moment later
TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.ENOLCK})


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One moment by two clocks, in microseconds.

    The wall clock, which may be set at any time, and the monotonic one, which all processes share for as long
    as the machine runs.
    """

    unix_us: int
    monotonic_us: int


@dataclass(frozen=True, slots=True)
class StoredBans:
    """What the files say: the banned, since when (monotonic, in microseconds) the others are back, and what
    is wrong with the files that could not be read.
    """

    banned_endpoints: frozenset[bytes]
    ended_us: Mapping[bytes, int]
    problems: tuple[str, ...]


def encode_ban(endpoint: bytes, banned: bool, at: ClockReading) -> bytes:
    """A ban's file: one line of JSON, and behind it a check sum by which a cut one is told.

    Processes of before mono_us read and write the same form without it.
    """
    fields = {"v": FORMAT_VERSION, "id": endpoint.hex(), "banned": banned}
    line = json.dumps(fields | {"unix_us": at.unix_us, "mono_us": at.monotonic_us}).encode()
    return b"%s\n%08x\n" % (line, crc32(line))


def ban_file_name(endpoint: bytes) -> str:
    """The file of an endpoint's ban.

    A long id has a digest in place of itself: file names end at 255 bytes.
    """
    if len(endpoint) <= MAX_HEX_ID_BYTES:
        return f"{BAN_PREFIX}{endpoint.hex()}"
    return f"{BAN_PREFIX}id-{blake2b(endpoint, digest_size=32).hexdigest()}"


def decode_ban(raw: bytes) -> tuple[bytes, bool, ClockReading]:
    """Endpoint, whether banned, and since when; mono_us is -1 where that is not told.

    ValueError: not a whole file of ours.
    """
    line, _, rest = raw.partition(b"\n")
    if rest != b"%08x\n" % crc32(line):
        raise ValueError("cut off, or not written by this program")
    top = json.loads(line)
    if not isinstance(top, dict) or top.get("v") != FORMAT_VERSION:
        raise ValueError("of another version")
    endpoint, banned, unix_us, monotonic_us = (top.get(x) for x in ("id", "banned", "unix_us", "mono_us"))
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
    """When that was, by the monotonic clock; -1 for too long ago to matter.

    The wall clock is asked only where nothing else is told: between two processes it may have been set.
    """
    known = 0 <= at.monotonic_us <= now.monotonic_us
    elapsed_us = now.monotonic_us - at.monotonic_us if known else now.unix_us - at.unix_us
    return now.monotonic_us - elapsed_us if 0 <= elapsed_us <= BAN_END_RETENTION_S * 1e6 else -1


class Handover:
    """The files of one node, as this process sees them."""

    def __init__(self, folder: str, name: str) -> None:
        safe_name = "".join(x if x.isalnum() or x in "-_" else "_" for x in name)[:64]
        self._folder = Path(folder, f"granitewell-{safe_name}") if folder else None
        self._lock_descriptor = -1  # the descriptor that holds our file locked
        self._last_mtime_ns = -1  # when the folder last changed, as of the last look
        # a process number alone comes again, and is another's in another process space over the same folder
        self._process_id = f"{os.getpid()}-{os.urandom(4).hex()}"
        self._run_file = f"{RUN_PREFIX}{self._process_id}"
        self._written_claim = -1  # the descriptors that this process has said it may hold
        self._last_claims: list[int] = []  # what the others had said, as of the last whole look

    def register(self) -> str:
        """Let it be known that this process runs; what is wrong, or nothing."""
        if self._folder is None:
            return ""
        try:
            self._folder.mkdir(mode=0o700, exist_ok=True)
            self._remove_stale_files(self._folder)
            # locked before it has its name: no other process may find it free
            temporary = self._folder / f"{self._run_file}{TEMPORARY_SUFFIX}"
            self._lock_descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(temporary, self._folder / self._run_file)
        except OSError as error:
            self.unregister()
            return f"the hand-over folder can't be used: {error.strerror}"
        return ""

    def unregister(self) -> None:
        """This process runs no more; the end of it says so too, however it comes."""
        if self._lock_descriptor >= 0:
            for name in (self._run_file, f"{self._run_file}{TEMPORARY_SUFFIX}"):
                with contextlib.suppress(OSError):
                    os.unlink(self._folder / name)  # type: ignore[operator]
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def claim(self, descriptors: int) -> None:
        """Say how many descriptors this process may hold from now on."""
        if self._lock_descriptor >= 0 and descriptors != self._written_claim:
            with contextlib.suppress(OSError):  # a folder without room: said again at the next look
                os.pwrite(self._lock_descriptor, b"%010d" % descriptors, 0)
                self._written_claim = descriptors

    def other_claims(self) -> list[int]:
        """The further processes of this node that run.

        The descriptors that each says it may hold, -1 where it has not said. Files of those that have ended
        go. Where the look itself is not possible nobody has ended: whoever was there still holds descriptors,
        and this process must not take them.
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
        """Has a file come or gone since the last look? Cheap enough for every sweep."""
        if self._folder is None:
            return False
        try:
            mtime_ns = os.stat(self._folder).st_mtime_ns
        except OSError:
            return False
        was = self._last_mtime_ns
        # two changes within a tick of the file system have one time: it proves nothing before it is some
        # ticks old
        self._last_mtime_ns = mtime_ns if abs(time.time_ns() - mtime_ns) > MTIME_SETTLED_NS else -1
        return mtime_ns != was

    def write_ban(self, endpoint: bytes, banned: bool, now: ClockReading) -> str:
        """Write down a ban or its end; what is wrong, or nothing, as where there is no folder."""
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
        """What is written down of bans; ends of bans that are too old to matter go.

        What could not be read for want of something else is looked at again.
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
                    raise ValueError("its name is another endpoint's")
            except FileNotFoundError:
                continue
            except (OSError, ValueError, RecursionError) as error:
                if getattr(error, "errno", None) in TRANSIENT_ERRORS:
                    self._last_mtime_ns = -1
                # told of, not removed: what it is may matter to whoever put it there
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
        """The files of a kind; none where there is no folder. OSError: it can't be looked at now."""
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
        """What processes that were killed in the middle of a write have left."""
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
    """What the process whose file this is has said, -1 for nothing yet.

    Empty where it has ended, and then its file goes. OSError: that can't be told now.
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
