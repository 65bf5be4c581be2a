"""Entries of the platform's list of servers, validated. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from granitewell.domain.errors import GranitewellError
from granitewell.domain.servers import LoadedModel, ServerState

DRAINING = "draining"
UNLIMITED_LIFETIME_MS = -1


class MalformedListError(GranitewellError):
    """The platform's answer is not a list of servers."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One server in the platform's list.

    Attributes:
        remaining_ms: Remaining lifetime in milliseconds; -1 if unlimited.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: ServerState
    remaining_ms: int
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the list.

    Attributes:
        next_token: Token of the next page, None on the last.
    """

    instances: tuple[ListedInstance, ...]
    next_token: str | None


def _instance(entry: Mapping[str, Any]) -> ListedInstance:
    remaining = entry.get("remaining-ms")
    return ListedInstance(
        id=str(entry["id"]),
        service=str(entry["service"]),
        address=str(entry["address"]),
        zone=str(entry.get("zone", "")),
        slots=int(entry.get("slots") or 1),
        state=ServerState.DRAINING if entry.get("state") == DRAINING else ServerState.READY,
        remaining_ms=UNLIMITED_LIFETIME_MS if remaining is None else max(int(remaining), 0),
        models=tuple(LoadedModel.parse(loaded) for loaded in entry.get("models") or ()),
    )


def _instances(entries: Iterable[object]) -> Iterable[ListedInstance]:
    for entry in entries:
        if not isinstance(entry, Mapping):
            raise MalformedListError("an instance is not an object")
        yield _instance(entry)


def parse_page(document: object) -> Page:
    """Parse a page; raises MalformedListError."""
    if not isinstance(document, Mapping) or not isinstance(document.get("instances"), list):
        raise MalformedListError("no list of instances")
    token = document.get("next-page-token")
    try:
        return Page(tuple(_instances(document["instances"])), str(token) if token else None)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise MalformedListError(f"bad instance: {error!r}") from error
