"""Codec of the simulator's binary protocol: decodes frames into events and encodes actions.

Record codes and the protocol's field names appear in this module only.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from granitewell.balancing import interface as t
from granitewell.balancing.settings_validation import validate


class WireError(Exception):
    """A frame or settings document is malformed; the message says where."""


@dataclass(frozen=True, slots=True)
class Start:
    """A new instance starts, without any state."""

    settings: t.Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance was killed."""


Incoming = Start | Stop | t.Event

HEADER = struct.Struct("<IId")
_REPLY = struct.Struct("<II")
_ENTRY = struct.Struct("<6sHBHBfd")
_CREATE = struct.Struct("<BIQI")
_CATALOG = struct.Struct("<BII")
_VIEW = struct.Struct("<BIBQI")
_INBOUND = struct.Struct("<BIQBIQddH")
_ID = struct.Struct("<BIQ")
_REPORT = struct.Struct("<BIQHdH6sBB")
_FIRST = struct.Struct("<BIQH6sd")
_HEALTH = struct.Struct("<BI6sHdB")
_INST = struct.Struct("<BI")
_PEER = struct.Struct("<BIHH")
_ASSIGN = struct.Struct("<BIQd6s")
_HOST = struct.Struct("<BI6s")
_FLAG = struct.Struct("<BIB")
_TEXT = struct.Struct("<BIH")
_SAY = struct.Struct("<BIIH")
_PUSH = struct.Struct("<BIQd")
_SCHEDULE = struct.Struct("<BIdQ")
_UNDO = struct.Struct("<BIQH")
_LOADS = tuple(struct.Struct(f"<{n}f") for n in range(256))

_VIEWS = {0: t.View.CACHED, 1: t.View.FAILED, 2: t.View.FULL, 3: t.View.DELTA}
_STATES = {0: t.State.GONE, 1: t.State.READY, 2: t.State.DRAINING}
_OUTCOMES = {
    0: t.Outcome.OK, 13: t.Outcome.ERROR, 8: t.Outcome.FULL, 4: t.Outcome.TIMEOUT,
    14: t.Outcome.UNCONNECTED, 10: t.Outcome.RESET, 1: t.Outcome.CANCELLED, 9: t.Outcome.MOOT,
}  # fmt: skip
_FIELDS = {
    "busy_reqs": t.Field.INFLIGHT, "pending": t.Field.QUEUE, "cpu_share": t.Field.UTIL,
    "svc_ms": t.Field.SERVICE_MS, "served_ps": t.Field.SERVED_PER_S,
    "failed_ps": t.Field.FAILED_PER_S,
}  # fmt: skip
_EFFECTS = {"pure": t.Effect.SAFE, "token": t.Effect.KEYED, "side_effect": t.Effect.UNSAFE}
_SCOPES = {"all": t.Scope.ALL, "zone": t.Scope.ZONE, "cell": t.Scope.CELL}


def _finite_or_zero(value: float) -> float:
    """Return a number, or 0 if it is negative, not finite or absurdly large."""
    return value if 0.0 <= value < 1e15 else 0.0


class Decoder:
    """Decodes frames; keeps the numbered host lists, which all instances of the process share."""

    def __init__(self) -> None:
        self._catalogs: dict[int, tuple[t.Host, ...]] = {}
        self._settings: dict[bytes, t.Settings] = {}

    def batch(self, frame: bytes) -> tuple[float, list[tuple[int, Incoming]]]:
        """Decode one complete frame into its time and its events in order, each with its instance."""
        count, length, now = HEADER.unpack_from(frame)
        if length != len(frame):
            raise WireError(f"byte 4: the frame says {length} bytes and has {len(frame)}")
        if not math.isfinite(now):
            raise WireError("byte 8: the clock is not a number")
        pos, events = HEADER.size, []
        try:
            for _ in range(count):
                at = pos
                pos, item = self._record(frame, pos)
                if pos > length:
                    raise WireError(f"byte {at}: record code {frame[at]} is cut off")
                if item is not None:
                    events.append(item)
        except (struct.error, IndexError):
            raise WireError(f"byte {pos}: a record is cut off") from None
        if pos != length:
            raise WireError(f"byte {pos}: {length - pos} bytes follow the last record")
        return now, events

    def _record(self, b: bytes, pos: int) -> tuple[int, tuple[int, Incoming] | None]:
        code = b[pos]
        if code == 10:
            _, i, rid, why, ms, leg, host, final, n = _REPORT.unpack_from(b, pos)
            end = pos + 33 + 4 * n
            load = _LOADS[n].unpack_from(b, pos + 33) if n else ()
            if why not in _OUTCOMES:
                raise WireError(f"byte {pos + 13}: unknown outcome {why}")
            return end, (i, t.Ended(rid, leg, host, _OUTCOMES[why], _finite_or_zero(ms), final != 0, load))
        if code == 30:
            _, i, rid, cls, tenant, key, due, hint, bits = _INBOUND.unpack_from(b, pos)
            work = _finite_or_zero(hint) if bits & 1 else 0.0
            return pos + 44, (i, t.Request(rid, cls, tenant, key, due, work, bits & 2 != 0))
        if code == 90:
            _, i, mark = _ID.unpack_from(b, pos)
            return pos + 13, (i, t.Timer(mark))
        if code == 80:
            _, i, rid = _ID.unpack_from(b, pos)
            return pos + 13, (i, t.Abandoned(rid))
        if code == 100:
            _, i, form, _, number = _VIEW.unpack_from(b, pos)
            if form not in _VIEWS:
                raise WireError(f"byte {pos + 5}: unknown view form {form}")
            view = _VIEWS[form]
            if view is t.View.FAILED:
                return pos + 18, (i, t.Hosts(view, ()))
            if number not in self._catalogs:
                raise WireError(f"byte {pos + 14}: catalog {number} was never sent")
            return pos + 18, (i, t.Hosts(view, self._catalogs[number]))
        if code == 40:
            _, number, n = _CATALOG.unpack_from(b, pos)
            end = pos + 9 + 24 * n
            if end > len(b):
                raise WireError(f"byte {pos}: catalog of {n} entries is cut off")
            self._catalogs[number] = tuple(
                _host(pos + 9 + 24 * k, *e) for k, e in enumerate(_ENTRY.iter_unpack(b[pos + 9 : end]))
            )
            return end, None
        if code == 110:
            _, i, host, why, ms, n = _HEALTH.unpack_from(b, pos)
            load = _LOADS[n].unpack_from(b, pos + 22) if n else ()
            if why not in _OUTCOMES:
                raise WireError(f"byte {pos + 11}: unknown outcome {why}")
            return pos + 22 + 4 * n, (i, t.ProbeEnded(host, _OUTCOMES[why], _finite_or_zero(ms), load))
        if code == 20:
            _, i, rid, leg, _, ms = _FIRST.unpack_from(b, pos)
            return pos + 29, (i, t.FirstByte(rid, leg, _finite_or_zero(ms)))
        if code == 70:
            _, i, seed, n = _CREATE.unpack_from(b, pos)
            end = pos + 17 + n
            if end > len(b):
                raise WireError(f"byte {pos}: settings of {n} bytes are cut off")
            return end, (i, Start(parse_settings(b[pos + 17 : end]), seed))
        if code == 50:
            _, i = _INST.unpack_from(b, pos)
            return pos + 5, (i, Stop())
        if code == 60:
            _, i, author, n = _PEER.unpack_from(b, pos)
            return pos + 9 + n, (i, t.PeerMessage(author, b[pos + 9 : pos + 9 + n]))
        raise WireError(f"byte {pos}: unknown record code {code}")


def _host(
    at: int, hid: bytes, zone: int, kind: int, cell: int, state: int, scale: float, started: float
) -> t.Host:
    if state not in _STATES:
        raise WireError(f"byte {at + 11}: unknown host state {state}")
    return t.Host(hid, zone, kind, cell, _STATES[state], _finite_or_zero(scale), _finite_or_zero(started))


def _require(obj: Any, key: str, path: str = "") -> Any:
    if not isinstance(obj, dict) or key not in obj:
        raise WireError(f"settings: {path}{key} is missing")
    return obj[key]


def _number(obj: Any, key: str, path: str, default: float | None = None) -> float:
    """Read a number. Without a default the key is required; with one it may be missing or null.

    Raises:
        WireError: The key is missing, or its value is not a number.
    """
    value = _require(obj, key, path) if default is None else obj.get(key)
    value = default if value is None else value
    try:
        return float(value)
    except (TypeError, ValueError):
        raise WireError(f"settings: {path}{key}: {str(value)[:40]!r} is not a number") from None


def _class(c: Any, path: str) -> t.RequestClass:
    effect, scope = _require(c, "effect", path), c.get("keyScope", "all")
    if effect not in _EFFECTS:
        raise WireError(f"settings: {path}effect {effect!r} is unknown")
    if effect == "token" and scope not in _SCOPES:
        raise WireError(f"settings: {path}keyScope {scope!r} is unknown")
    return t.RequestClass(
        _number(c, "aimMs", path), _number(c, "giveUpMs", path), _EFFECTS[effect],
        _number(c, "value", path, 1.0), _number(c, "lateShare", path, 0.0),
        _SCOPES.get(scope, t.Scope.CELL), _number(c, "windowMs", path, 0.0), bool(c.get("stream")),
    )  # fmt: skip


def parse_settings(text: bytes) -> t.Settings:
    """Parse the settings of a create record.

    Raises:
        WireError: A key is missing or wrong; the message names it.
    """
    try:
        d = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: not JSON: {error}") from None
    allowed, rules = _require(d, "allowed"), _require(d, "contract")
    price = d.get("penalties", {})
    stats = d.get("stats", {})
    if not isinstance(stats, dict):
        raise WireError(f"settings: stats {stats!r} is no object")
    fields = stats.get("fields", []) if stats.get("how") != "silent" else []
    try:
        settings = t.Settings(
            classes=tuple(_class(c, f"classes[{k}].") for k, c in enumerate(_require(d, "classes"))),
            proxies=int(_number(d, "balancers", "")),
            max_attempts=int(_number(allowed, "maxAttempts", "allowed.")),
            drain_grace_ms=_number(rules, "drainGraceMs", "contract."),
            cold_from=_number(rules, "coldFrom", "contract."),
            ramp_ms=_number(rules, "rampTimeMs", "contract."),
            fall_multiple=_number(rules, "fallMultiple", "contract."),
            fall_ms=_number(rules, "fallMs", "contract."),
            tenants=tuple(
                t.Tenant(_number(x, "share", f"tenants[{k}]."), _number(x, "allowancePerS", f"tenants[{k}]."))
                for k, x in enumerate(d.get("tenants", []))
                if _require(x, "allowancePerS", f"tenants[{k}].") is not None
            ),
            index=int(d.get("selfIndex", 0)),
            zone=int(d.get("zone", 0)),
            must_ask=d.get("discovery") == "on_request",
            must_ask_in_ms=_number(rules, "mustAskInMs", "contract.", 10000.0),
            parallel_tries=bool(allowed.get("parallelTries", False)),
            may_cancel=bool(allowed.get("cancel", False)),
            may_probe=bool(allowed.get("probes", False)),
            retry_after=bool(allowed.get("retryAfter", False)),
            max_retry_after_ms=_number(allowed, "maxRetryAfterMs", "allowed.", 0.0),
            over_share_worth=_number(d, "overShareWorth", "", 1.0),
            worth_by_work=d.get("worthBy") == "work",
            report_fields=tuple(_FIELDS.get(f, t.Field.UNKNOWN) for f in fields),
            warm_keys=bool(d.get("familyInfo", {}).get("warmKeys", False)),
            cross_zone_price=_number(price, "crossZone", "penalties.", 0.0),
            handshake_price=_number(price, "handshake", "penalties.", 0.0),
            connection_price=_number(price, "connection", "penalties.", 0.0),
            weights_live=d.get("weightKind") == "live",
        )
        validate(settings)
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"settings: {error}") from None
    return settings


def encode_fault(inst: int, text: str) -> bytes:
    """Encode the internal_error record."""
    raw = text.encode()[:65535]
    return _TEXT.pack(70, inst, len(raw)) + raw


def encode_action(inst: int, a: t.Action) -> bytes:
    """Encode one action as a record."""
    kind = type(a)
    if kind is t.Send:
        return _ASSIGN.pack(60, inst, a.id, a.timeout_ms, a.host)  # type: ignore[union-attr]
    if isinstance(a, t.SetTimer):
        return _SCHEDULE.pack(30, inst, a.at_ms, a.mark)
    if isinstance(a, t.Refuse):
        return _PUSH.pack(50, inst, a.id, a.retry_after_ms)
    if isinstance(a, t.Fail):
        return _ID.pack(20, inst, a.id)
    if isinstance(a, t.Cancel):
        return _UNDO.pack(80, inst, a.id, a.attempt)
    if isinstance(a, t.Probe):
        return _HOST.pack(10, inst, a.host)
    if isinstance(a, t.Close):
        return _HOST.pack(40, inst, a.host)
    if isinstance(a, t.Watch):
        return _FLAG.pack(110, inst, 1 if a.active else 0)
    if isinstance(a, t.Fetch):
        return _INST.pack(90, inst)
    if isinstance(a, t.SendPeerMessage):
        return _SAY.pack(100, inst, 0xFFFFFFFF if a.target is None else a.target, len(a.data)) + a.data
    assert isinstance(a, t.Log)
    raw = a.line.encode()[:65535]
    return _TEXT.pack(120, inst, len(raw)) + raw


def encode_reply(records: Iterable[bytes]) -> bytes:
    """Encode a reply frame."""
    parts = list(records)
    body = b"".join(parts)
    return _REPLY.pack(len(parts), _REPLY.size + len(body)) + body
