"""Initial state of a replica: its log on disk, or a new state if there is no usable log."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace

import logbook

from granitewell.coordination.consensus.identity import (
    NodeIdentity,
    first_replica_id,
    first_state,
    fresh_replica_id,
    joining_state,
)
from granitewell.coordination.consensus.storage import (
    UnknownRecordError,
    UnreadableRecordsError,
    decode_records,
    replay,
)
from granitewell.coordination.consensus.types import StoredState
from granitewell.coordination.disk_thread import Executor
from granitewell.coordination.durable_log import APPEND_RETRY_S
from granitewell.coordination.log_file import LogFile
from granitewell.coordination.log_format import CorruptLogError

log = logbook.Logger("granitewell.consensus")

MAX_PAUSE_S = 1.0
"""Maximum pause between two attempts to load a log, in seconds. Each attempt reads the complete log."""


class Recovery:
    """Recovery of a group's replica at one start of the process."""

    def __init__(self, group: str, identity: NodeIdentity, file: LogFile, executor: Executor) -> None:
        self._group = group
        self._identity = identity
        self._file = file
        self._executor = executor

    async def load(self) -> StoredState | None:
        """Return the state on disk, or None if a new log must be created.

        Waits while the disk cannot be read.

        Raises:
            DurableLogError: The log belongs to a newer version or to another group; it is left unchanged.
        """
        pause_s = APPEND_RETRY_S
        while True:
            loaded: asyncio.Future[StoredState | None] = asyncio.get_running_loop().create_future()
            self._executor.submit(lambda future=loaded: self._load_on_disk_thread(future))  # type: ignore[misc]
            try:
                return await loaded
            except OSError as error:
                if pause_s == APPEND_RETRY_S:
                    log.warning("disk cannot be read", group=self._group, error=str(error))
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def new_state(self) -> StoredState:
        """Return the state of a new log."""
        if self._identity.first_members:
            return first_state(self._identity)
        return joining_state(self._identity.replica_id)

    def _load_on_disk_thread(self, future: asyncio.Future[StoredState | None]) -> None:
        loop = future.get_loop()
        try:
            state = self._read_log()
        except Exception as error:  # noqa: BLE001  the event loop must learn of any error
            loop.call_soon_threadsafe(_set_exception, future, error)
        else:
            loop.call_soon_threadsafe(_set_result, future, state)

    def _read_log(self) -> StoredState | None:
        try:
            batches = self._file.load()
            if batches is None:
                return None
            return replay(record for batch in batches for record in decode_records(batch))
        except UnknownRecordError:
            raise
        except (CorruptLogError, UnreadableRecordsError) as error:
            log.error("log is corrupt; replica starts under a new id", group=self._group, error=str(error))
            self._file.copy_corrupt()  # if refused, retried, because the corrupt log is about to be replaced
            self._identity = replace(self._identity, replica_id=fresh_replica_id(), first_members=())
            return None


def with_first_members(identity: NodeIdentity, bootstrap: bool, seeds: Sequence[str]) -> NodeIdentity:
    """Return the identity with the seeds as first members, if it was created by hand for a bootstrap."""
    is_first = identity.replica_id == first_replica_id(identity.address)
    if bootstrap and is_first and not identity.first_members:
        return replace(identity, first_members=tuple(seeds))
    return identity


def _set_result(future: asyncio.Future[StoredState | None], result: StoredState | None) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: asyncio.Future[StoredState | None], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
