"""The bytes of the status socket: HTTP/1.1 (RFC 9112) in, JSON or metrics out. One request a connection.

It owns paths, query, status codes and the bound on an answer's size. It must never touch a socket. Only GET
is known, bodies are not read, and each answer closes its connection.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

from granitewell.status import metrics
from granitewell.status.types import MAX_RESPONSE_BYTES, MAX_TABLE_ROWS, EndpointRow, PairRow, Snapshot

MAX_HEAD_BYTES = 4096  # bytes of a request's head
ROWS_PER_STEP = 25  # rows made into bytes in one step
RESERVED_BYTES = 64 * 1024  # bytes of an answer for all that is no row
STATUS_PATH, METRICS_PATH = "/status", "/metrics"
CONTENT_TYPES = {STATUS_PATH: "application/json", METRICS_PATH: metrics.CONTENT_TYPE}
MEMBERS_PATH, EXPLAIN_PATH, FORGET_PATH = "/cluster", "/cluster/explain", "/cluster/forget"
COUNTS_PATH = "/cluster/counts"
CLUSTER_PATHS = (
    MEMBERS_PATH,
    EXPLAIN_PATH,
    FORGET_PATH,
    COUNTS_PATH,
)  # of the other nodes; without any they are not found
LOCAL_HOSTS = ("127.0.0.1", "localhost")  # names in Host by which a port of this machine is asked
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           405: "Method Not Allowed", 409: "Conflict", 421: "Misdirected Request",
           431: "Request Header Fields Too Large", 500: "Internal Server Error"}  # fmt: skip
_REQUEST_LINE = re.compile(rb"([!-~]{1,32}) (/[!-~]{0,1000}) HTTP/1\.[01]")


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A request that can be answered: which path, and how many rows of each table."""

    path: str
    worst: int
    name: str = ""  # of a member


class RejectedQueryError(Exception):
    """A request that can't be; `raw` is what it gets."""

    def __init__(self, status: int, why: str, extra_headers: str = "") -> None:
        super().__init__(why)
        self.response = text_response(why, status, extra_headers)


def text_response(why: str, status: int, extra_headers: str = "") -> bytes:
    """An answer that is one line for a person."""
    return response(why.encode() + b"\n", "text/plain; charset=utf-8", status, extra_headers)


def response(body: bytes, kind: str, status: int = 200, extra_headers: str = "") -> bytes:
    """A whole answer, after which the connection ends."""
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
        f"{extra_headers}Cache-Control: no-store\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def parse_request(head: bytes, worst: int, local: bool) -> StatusRequest:
    """What a request's head, whole or not, asks for; Refused says why it gets nothing.

    `worst`: rows where it does not say. `local`: it came to a port, so a page in a browser can have sent it
    under a name of its own (DNS rebinding), and Host must name this machine.
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
    """What is asked of the fleet: all members, one of them by name, or that one is gone for good."""
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
    """Whoever answers for the fleet."""

    def view(self) -> dict[str, Any]: ...

    def explain(self, name: str) -> dict[str, Any]: ...

    def forget(self, name: str) -> str: ...

    def counted(self, key: str) -> dict[str, Any] | None: ...


def cluster_response(request: StatusRequest, fleet: ClusterView | None, own_user: bool) -> bytes:
    """The whole answer of a node in a fleet.

    Args:
        own_user: Nobody but the node's own user can have asked.
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


# --- Answers, a step at a time --------------------------------------------------------------------------
def response_body(request: StatusRequest, snapshot: Snapshot) -> Generator[None, None, bytes]:
    """The body of an answer, of MAX_ANSWER bytes at most.

    Where it would be more, rows are left out from the best ones on, and `cut` says so. The snapshot stays as
    it is, for other forms of it.
    """
    snapshot = snapshot.copy()
    snapshot["worst"] = request.worst
    snapshot["pairs"] = snapshot["pairs"][: request.worst]
    snapshot["endpoints"] = snapshot["endpoints"][: request.worst]
    yield from _cut_to_size(snapshot)
    made = yield from _metrics_body(snapshot) if request.path == METRICS_PATH else _json_body(snapshot)
    return made


def _cut_to_size(snapshot: Snapshot) -> Generator[None, None, None]:
    """Leave out the rows for which there is no room in either form.

    Names can be long, and each stands in several lines of the metrics.
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
    """At most so many bytes in either form.

    In JSON a name is the longest, up to six bytes a character, and stands once; in the metrics it stands in
    up to five lines.
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
