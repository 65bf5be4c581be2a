"""The `[status]` table of the operator file. Defaults come from `StatusSettings`."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta

from granitewell.operator.problem import Problem, format_value
from granitewell.operator.table import Table
from granitewell.status.types import (
    ALLOWED_STATUS_ADDRESS,
    MAX_TABLE_ROWS,
    StatusSettings,
    parse_status_address,
)

DEFAULTS = StatusSettings()


class StatusTable(Table, frozen=True, kw_only=True):
    """Where a running node says what it judges and holds (docs/operate/status.md); without `at` nowhere."""

    at: Annotated[str, Meta(
        description="A path, at which the node makes a unix socket that only its own user may use; one "
        "without a slash in front is in the private temporary directory (`TMPDIR`). Or `127.0.0.1:PORT`, "
        "which anybody on the machine may use.",
        extra={"allowed": f"{ALLOWED_STATUS_ADDRESS}, or empty"},
    )] = DEFAULTS.at  # fmt: skip
    connections: Annotated[int, Meta(
        ge=1, le=16, description="Held at a time; further ones wait. They come out of the node's reserve of "
        "descriptors.",
    )] = DEFAULTS.connections  # fmt: skip
    seconds: Annotated[float, Meta(
        ge=0.1, le=10, description="For one connection, after which it is closed, read or not."
    )] = DEFAULTS.seconds  # fmt: skip
    worst: Annotated[
        int,
        Meta(
            ge=0,
            le=MAX_TABLE_ROWS,
            description="Rows of each table, the worst ones, where a request does not say.",
        ),
    ] = DEFAULTS.worst

    def settings(self) -> StatusSettings:
        """Return these settings in the node's own type."""
        return StatusSettings(self.at, self.connections, self.seconds, self.worst)

    def check(self) -> Iterator[Problem]:
        """`at` is a path that a unix socket may have, or an address of this machine alone."""
        if self.at:
            try:
                parse_status_address(self.at, "/tmp")
            except ValueError as error:
                yield Problem(("at",), f"{format_value(self.at)}, {error}", ALLOWED_STATUS_ADDRESS)
