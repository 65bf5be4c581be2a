"""The list of all tables of the operator file.

To add a table, define a `Table` with a `Meta` for each field in a module of its own and add a line here.
Validation, reload, the reference page and its test use this list.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from granitewell.operator.cluster import ClusterTable
from granitewell.operator.counts import CountsTable
from granitewell.operator.log import LogTable
from granitewell.operator.status import StatusTable
from granitewell.operator.table import Table


class OperatorFile(Table, frozen=True, kw_only=True):
    """The operator file as one object; an empty file gives the node's own defaults."""

    log: Annotated[LogTable, Meta(description="The log.")] = LogTable()
    status: Annotated[StatusTable, Meta(description="The status socket.")] = StatusTable()
    cluster: Annotated[ClusterTable, Meta(description="The fleet's own view.")] = ClusterTable()
    counts: Annotated[CountsTable, Meta(description="What the nodes count together.")] = CountsTable()
