"""The HTTP/1.1 (RFC 9112) requests and responses of the status socket, without any input or output.

This module parses requests, and builds responses of bounded size as JSON or metrics. A connection carries one
request. Bodies of requests are not read.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

from granitewell.status import metrics
from granitewell.status.types import MAX_RESPONSE_BYTES, MAX_TABLE_ROWS, EndpointRow, PairRow, Snapshot

MAX_HEAD_BYTES = 4096  # of a request
ROWS_PER_STEP = 25  # rows encoded in one step
RESERVED_BYTES = 64 * 1024  # of a response's body for everything but the rows
STATUS_PATH, METRICS_PATH = "/status", "/metrics"
CONTENT_TYPES = {STATUS_PATH: "application/json", METRICS_PATH: metrics.CONTENT_TYPE}
MEMBERS_PATH, EXPLAIN_PATH, FORGET_PATH = "/cluster", "/cluster/explain", "/cluster/forget"
COUNTS_PATH = "/cluster/counts"
CLUSTER_PATHS = (
    MEMBERS_PATH,
    EXPLAIN_PATH,
    FORGET_PATH,
    COUNTS_PATH,
)  # 404 if the node is not in a cluster
LOCAL_HOSTS = ("127.0.0.1", "localhost")  # accepted in the Host header of a request to a port
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           405: "Method Not Allowed", 409: "Conflict", 421: "Misdirected Request",
           431: "Request Header Fields Too Large", 500: "Internal Server Error"}  # fmt: skip
_REQUEST_LINE = re.compile(rb"([!-~]{1,32}) (/[!-~]{0,1000}) HTTP/1\.[01]")


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A valid request: its path, and the number of rows of each table."""

    path: str
    worst: int
    name: str = ""  # of a member, or the key of a count


class RejectedQueryError(Exception):
    """A request that is rejected; `response` is the complete HTTP response to it."""

    def __init__(self, status: int, why: str, extra_headers: str = "") -> None:
        super().__init__(why)
        self.response = text_response(why, status, extra_headers)


def text_response(why: str, status: int, extra_headers: str = "") -> bytes:
    """Build a response with one line of text."""
    return response(why.encode() + b"\n", "text/plain; charset=utf-8", status, extra_headers)


def response(body: bytes, kind: str, status: int = 200, extra_headers: str = "") -> bytes:
    """Build a complete response, after which the connection is closed."""
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
        f"{extra_headers}Cache-Control: no-store\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def parse_request(head: bytes, worst: int, local: bool) -> StatusRequest:
    """Parse the head of a request, which may be incomplete.

    Args:
        head: The bytes received.
        worst: Rows of each table if the request does not name a number.
        local: The request came to a port. A page in a browser may have sent it under a host name of its own
            (DNS rebinding), so the Host header must name this machine.

    Raises:
        RejectedQueryError: The request is invalid; the error holds the response.
    """
    whole, end, _ = head.partition(b"\r\n\r\n")
    if not end or len(whole) > MAX_HEAD_BYTES:
        raise RejectedQueryError(431, f"the head of a request has at most {MAX_HEAD_BYTES} bytes")
    first, *headers = whole.split(b"\r\n")
    found = _REQUEST_LINE.fullmatch(first)
    if not found:
        raise RejectedQueryError(400, "not HTTP/1.1")
    if local and _host_header(headers) not in LOCAL_HOSTS:
        raise RejectedQueryError(421, f"Host must be one of {', '.join(LOCAL_HOSTS)}")
    path, _, query = found[2].decode().partition("?")
    if path in CLUSTER_PATHS:
        return _parse_cluster_request(path, found[1], query, worst)
    if path not in CONTENT_TYPES:
        raise RejectedQueryError(404, f"there are {' and '.join(CONTENT_TYPES)}")
    if found[1] != b"GET":
        raise RejectedQueryError(405, "GET only", "Allow: GET\r\n")
    return StatusRequest(path, _row_count(query, worst))


def _parse_cluster_request(path: str, method: bytes, query: str, worst: int) -> StatusRequest:
    """Parse a request about the cluster: members, counts, or explaining or forgetting one member."""
    wanted = b"POST" if path == FORGET_PATH else b"GET"
    if method != wanted:
        raise RejectedQueryError(405, f"{wanted.decode()} only", f"Allow: {wanted.decode()}\r\n")
    if path == MEMBERS_PATH:
        if query:
            raise RejectedQueryError(400, "found a query, allowed: none")
        return StatusRequest(path, worst)
    if path == COUNTS_PATH:
        found = re.fullmatch("(?:key=([!-%'-~]{1,96}))?", query)
        if not found:
            raise RejectedQueryError(400, "key: found no key, allowed: key=KEY, 1 to 96 characters, or none")
        return StatusRequest(path, worst, found[1] or "")
    found = re.fullmatch("name=([!-%'-~]{1,63})", query)
    if not found:
        raise RejectedQueryError(
            400, "name: found no name of a member, allowed: name=NAME, 1 to 63 characters"
        )
    return StatusRequest(path, worst, found[1])


class ClusterView(Protocol):
    """Answers requests about the cluster."""

    def view(self) -> dict[str, Any]: ...

    def explain(self, name: str) -> dict[str, Any]: ...

    def forget(self, name: str) -> str: ...

    def counted(self, key: str) -> dict[str, Any] | None: ...


def cluster_response(request: StatusRequest, fleet: ClusterView | None, own_user: bool) -> bytes:
    """Build the complete response to a request about the cluster.

    Args:
        request: The parsed request.
        fleet: Answers for the cluster; None if the node is not in one.
        own_user: Only the node's own user can have sent the request.
    """
    if fleet is None:
        return text_response("this node is in no fleet: its operator file has no [cluster]", 404)
    if request.path == FORGET_PATH:
        if not own_user:
            return text_response("only on a unix socket, which the node's own user alone may use", 403)
        refusal = fleet.forget(request.name)
        return (
            text_response(refusal, 409) if refusal else text_response(f"{request.name} counts no more", 200)
        )
    if request.path == COUNTS_PATH:
        counted = fleet.counted(request.name)
        if counted is None:
            return text_response("nothing is counted: the operator file has no [counts] with window_s", 404)
        return response(f"{_dumps(counted)}\n".encode(), CONTENT_TYPES[STATUS_PATH])
    made = fleet.view() if request.path == MEMBERS_PATH else fleet.explain(request.name)
    return response(f"{_dumps(made)}\n".encode(), CONTENT_TYPES[STATUS_PATH])


def _host_header(headers: Iterable[bytes]) -> str:
    values = [v.strip() for k, _, v in (h.partition(b":") for h in headers) if k.lower() == b"host"]
    host, _, _ = values[0].partition(b":") if len(values) == 1 else (b"", b"", b"")
    return host.decode(errors="replace").lower()


def _row_count(query: str, worst: int) -> int:
    for part in filter(None, query.split("&")):
        key, _, value = part.partition("=")
        if key != "worst":
            raise RejectedQueryError(400, f"{key}: found an unknown key, allowed: worst")
        if not re.fullmatch("[0-9]{1,4}", value) or int(value) > MAX_TABLE_ROWS:
            raise RejectedQueryError(
                400, f"worst: found {value[:20]}, allowed: a whole number from 0 to {MAX_TABLE_ROWS}"
            )
        worst = int(value)
    return worst


# --- Bodies of responses, built in steps ----------------------------------------------------------------
def response_body(request: StatusRequest, snapshot: Snapshot) -> Generator[None, None, bytes]:
    """Build the body of a response, of at most MAX_RESPONSE_BYTES.

    If it would be larger, the rows that rank lowest are left out and `cut` is set. The snapshot itself is not
    changed, as further responses are built from it.
    """
    snapshot = snapshot.copy()
    snapshot["worst"] = request.worst
    snapshot["pairs"] = snapshot["pairs"][: request.worst]
    snapshot["endpoints"] = snapshot["endpoints"][: request.worst]
    yield from _cut_to_size(snapshot)
    made = yield from _metrics_body(snapshot) if request.path == METRICS_PATH else _json_body(snapshot)
    return made


def _cut_to_size(snapshot: Snapshot) -> Generator[None, None, None]:
    """Remove the rows that would make either JSON or metrics too large.

    Names can be long, and each appears in several lines of the metrics.
    """
    left = MAX_RESPONSE_BYTES - RESERVED_BYTES
    pairs, endpoints = snapshot["pairs"], snapshot["endpoints"]
    for n in range(max(len(pairs), len(endpoints))):
        left -= _max_row_bytes(pairs[n]) if n < len(pairs) else 0
        left -= _max_row_bytes(endpoints[n]) if n < len(endpoints) else 0
        if left < 0:
            snapshot["cut"] = True
            del pairs[n:], endpoints[n:]
            return
        if n % ROWS_PER_STEP == ROWS_PER_STEP - 1:
            yield


def _max_row_bytes(row: PairRow | EndpointRow) -> int:
    """Return an upper bound on the bytes of a row in either format.

    JSON has the longest form of a name, up to six bytes a character, but only once; the metrics have it in up
    to five lines.
    """
    names = sum(len(json.dumps(value)) for value in row.values() if isinstance(value, str))
    return 5 * names + 400


def _json_body(snapshot: Snapshot) -> Generator[None, None, bytes]:
    parts: list[str] = []
    for key, value in cast(Mapping[str, Any], snapshot).items():
        made = (yield from _json_rows(value)) if key in ("pairs", "endpoints") else _dumps(value)
        parts.append(f'"{key}":{made}')
    return f"{{{','.join(parts)}}}\n".encode()


def _json_rows(rows: list[Any]) -> Generator[None, None, str]:
    made = []
    for start in range(0, len(rows), ROWS_PER_STEP):
        made.append(_dumps(rows[start : start + ROWS_PER_STEP])[1:-1])
        yield
    return f"[{','.join(made)}]"


def _dumps(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"), allow_nan=False)


def _metrics_body(snapshot: Snapshot) -> Generator[None, None, bytes]:
    parts = []
    for part in metrics.exposition(snapshot):
        parts.append(part)
        yield
    return "".join(parts).encode()
