"""Planted defects in the requests to servers.

Each function disables one guard for the duration of a test.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

import pytest
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from granitewell.dataplane import request, request_forwarder
from granitewell.dataplane.events import Event, EventSplitter
from granitewell.dataplane.framing import HeadFraming
from granitewell.dataplane.request import ATTEMPT_EFFECTS, NOT_EXECUTED_STATUSES, AttemptEffect, AttemptEnd
from granitewell.dataplane.request_forwarder import _Attempt
from granitewell.dataplane.upstream import UpstreamConnection


def reuse_after_extra_bytes(patch: pytest.MonkeyPatch) -> None:
    """A connection is reused although bytes followed a complete response."""

    def mark_idle(self: UpstreamConnection, message: RawResponseMessage, now: float) -> None:
        self._extra_bytes = b""
        real(self, message, now)

    real = UpstreamConnection.mark_idle
    patch.setattr(UpstreamConnection, "mark_idle", mark_idle)


def idle_bytes_taken_for_next_response(patch: pytest.MonkeyPatch) -> None:
    """Bytes on an idle connection are taken for the beginning of the next response."""

    def data_received(self: UpstreamConnection, data: bytes) -> None:
        self._idle = False
        real(self, data)

    real = UpstreamConnection.data_received
    patch.setattr(UpstreamConnection, "data_received", data_received)
    patch.setattr(UpstreamConnection, "usable", property(UpstreamConnection.is_connected))


def request_id_not_checked(patch: pytest.MonkeyPatch) -> None:
    """The first response on a connection counts, whatever its request id is."""

    async def read_head(self: UpstreamConnection, request_id: str) -> tuple[RawResponseMessage, StreamReader]:
        return await self._next_head()

    patch.setattr(UpstreamConnection, "read_head", read_head)


def request_id_reused_on_a_connection(patch: pytest.MonkeyPatch) -> None:
    """A rejected request may be sent over the same connection again."""
    patch.setattr(UpstreamConnection, "has_carried", lambda self, request_id: False)


def reuse_with_unsent_bytes(patch: pytest.MonkeyPatch) -> None:
    """A connection is reused although bytes of the request are unsent."""
    patch.setattr(UpstreamConnection, "all_written", True)


def reset_completes_response_without_length(patch: pytest.MonkeyPatch) -> None:
    """A reset also completes a response without length."""
    patch.setattr(UpstreamConnection, "ends_with_connection", False)


def broken_taken_for_not_executed(patch: pytest.MonkeyPatch) -> None:
    """A reset after the request was written counts as proof that it was not executed."""
    table: Mapping[AttemptEnd, AttemptEffect] = MappingProxyType({
        **ATTEMPT_EFFECTS, AttemptEnd.BROKEN: AttemptEffect(reached=True, may_have_run=False)
    })  # fmt: skip
    patch.setattr(request, "ATTEMPT_EFFECTS", table)


def partly_written_taken_for_not_executed(patch: pytest.MonkeyPatch) -> None:
    """A reset counts as proof if part of the request was still unsent."""

    def write(self: UpstreamConnection, request: bytes, *, method: str, repeatable: bool) -> None:
        real_write(self, request, method=method, repeatable=repeatable)
        if not self.all_written:
            in_part.add(self)

    def ended(self: _Attempt, end: AttemptEnd) -> None:
        unread = end is AttemptEnd.BROKEN and self._connection in in_part
        real_ended(self, AttemptEnd.NOT_CONNECTED if unread else end)

    in_part: set[UpstreamConnection] = set()
    real_write, real_ended = UpstreamConnection.write, _Attempt._record_end
    patch.setattr(UpstreamConnection, "write", write)
    patch.setattr(_Attempt, "_record_end", ended)


def unmarked_503_taken_for_not_executed(patch: pytest.MonkeyPatch) -> None:
    """A 503 without the Not-Executed header counts as proof."""
    patch.setattr(
        request_forwarder, "proves_not_executed", lambda status, marked: status in NOT_EXECUTED_STATUSES
    )


def unmarked_503_forwarded(patch: pytest.MonkeyPatch) -> None:
    """A 503 without the Not-Executed header is forwarded."""
    patch.setattr(
        request_forwarder, "may_forward", lambda status, is_signed, marked: is_signed or status >= 300
    )


def unsigned_success_forwarded(patch: pytest.MonkeyPatch) -> None:
    """A success without a signature is forwarded."""
    patch.setattr(
        request_forwarder,
        "may_forward",
        lambda status, is_signed, marked: status not in NOT_EXECUTED_STATUSES,
    )


def partial_events_forwarded(patch: pytest.MonkeyPatch) -> None:
    """Incomplete events are forwarded."""

    class Cutter(EventSplitter):
        def feed(self, data: bytes) -> list[Event]:
            whole = super().feed(data)
            rest, self._rest = self.rest, b""
            return [*whole, Event(rest, whole[-1].id if whole else None)] if rest else whole

    patch.setattr(request_forwarder, "EventSplitter", Cutter)


def resumption_without_last_event_id(patch: pytest.MonkeyPatch) -> None:
    """The second server gets no Last-Event-Id, and duplicate events are not skipped."""
    real = _Attempt._request_bytes

    def request_bytes(self: _Attempt) -> bytes:
        self._resumes_after, told = None, self._forwarder.last_forwarded_id
        self._forwarder.last_forwarded_id = None
        try:
            return real(self)
        finally:
            self._forwarder.last_forwarded_id = told

    patch.setattr(_Attempt, "_request_bytes", request_bytes)


def head_end_only_within_one_segment(patch: pytest.MonkeyPatch) -> None:
    """The blank line after a head is found only if one segment contains all of it."""

    def consume(self: HeadFraming, data: bytes) -> tuple[int, bool]:
        self._tail = b""
        return real(self, data)

    real = HeadFraming.consume
    patch.setattr(HeadFraming, "consume", consume)
