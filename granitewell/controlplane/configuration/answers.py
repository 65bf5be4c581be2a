"""Responses of the operator API: JSON bodies and typed failures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import orjson
from aiohttp import web

from granitewell.controlplane.configuration.store import ChangeResult, Outcome

RETRY_AFTER_S = 1  # an election, or a change in progress, usually takes less

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request is rejected.

    Attributes:
        status: HTTP status code.
        error: Message for the operator.
        field: Path of the invalid field in the body, if any.
    """

    status: int
    error: str
    field: str | None = None


def changed(result: ChangeResult) -> web.Response:
    """Return the response for the outcome of a change."""
    if result.outcome in (Outcome.ACCEPTED, Outcome.REPEATED):
        return _acknowledged(result)
    if result.outcome is Outcome.FORGOTTEN:
        return unavailable("built on a version too old to say whether it was taken; get the newest")
    if result.outcome is Outcome.STALE:
        return _json(412, {"error": "another version is current", "version": result.version})
    if result.error is None:
        return failure(Failure(400, "invalid"))
    return failure(Failure(400, result.error.reason, result.error.field))


def _acknowledged(result: ChangeResult) -> web.Response:
    """Return the response to an accepted change.

    It contains the change's own version, and the current one if later changes have followed.
    """
    content = {"version": result.version}
    if result.current_version != result.version:
        content["current-version"] = result.current_version
    return _json(200, content)


def document(body: bytes) -> web.Response:
    """Return the response that contains the configuration."""
    return web.Response(status=200, body=body, content_type="application/json")


def failure(reason: Failure) -> web.Response:
    """Return the response to a rejected request."""
    content: dict[str, Any] = {"error": reason.error}
    if reason.field is not None:
        content["field"] = reason.field
    response = _json(reason.status, content)
    if reason.status == 503:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response


def unavailable(error: str) -> web.Response:
    """Return a 503 response: this node cannot answer now."""
    return failure(Failure(503, error))


def redirect(location: str) -> web.Response:
    """Return a 307 response that points to another node."""
    response = _json(307, {"error": "another node leads"})
    response.headers["Location"] = location
    return response


@web.middleware
async def typed_failures(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert aiohttp's own failures (unknown path, unknown method) to JSON."""
    try:
        return await handler(request)
    except web.HTTPMethodNotAllowed as error:
        response = failure(Failure(error.status, f"{request.method} is not served here"))
        response.headers["Allow"] = ",".join(sorted(error.allowed_methods))
        return response
    except web.HTTPNotFound as error:
        return failure(Failure(error.status, "no such path"))


def _json(status: int, content: dict[str, Any]) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(content), content_type="application/json")
