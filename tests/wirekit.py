"""Test codec of the binary protocol of `balancing.simulator_adapter`; shares no code with it."""

from __future__ import annotations

import json
import struct
from typing import Any

from granitewell.balancing.interface import Effect, RequestClass, Scope, Settings

HOST_A = bytes.fromhex("0a124a072b23")
HOST_B = bytes.fromhex("0a9011f25423")


def settings(**changes: Any) -> Settings:
    """Settings with one class of each kind."""
    base: dict[str, Any] = {
        "classes": (
            RequestClass(200.0, 1000.0, Effect.SAFE),
            RequestClass(200.0, 1000.0, Effect.UNSAFE, worth=5.0),
            RequestClass(200.0, 1000.0, Effect.KEYED, worth=3.0, scope=Scope.CELL, window_ms=400.0),
        ),
        "proxies": 2,
        "max_attempts": 4,
        "drain_grace_ms": 500.0,
        "cold_from": 0.3,
        "ramp_ms": 8000.0,
        "fall_multiple": 3.0,
        "fall_ms": 2000.0,
    }
    return Settings(**(base | changes))


def boot(**changes: Any) -> bytes:
    """Return the settings in the JSON form of the protocol."""
    d: dict[str, Any] = {
        "allowed": {"maxAttempts": 4, "parallelTries": False, "cancel": True},
        "balancers": 2,
        "classes": [
            {"aimMs": 200.0, "giveUpMs": 1000.0, "effect": "pure", "name": "a"},
            {"aimMs": 200.0, "giveUpMs": 1000.0, "effect": "side_effect", "name": "b"},
            {
                "aimMs": 200.0,
                "giveUpMs": 1000.0,
                "effect": "token",
                "keyScope": "cell",
                "windowMs": 400.0,
            },
        ],
        "contract": {
            "drainGraceMs": 500.0,
            "coldFrom": 0.3,
            "rampTimeMs": 8000.0,
            "fallMultiple": 3.0,
            "fallMs": 2000.0,
        },
        "discovery": "pushed",
        "stats": {"how": "piggyback", "fields": ["pending", "new_thing"]},
        "something_new": {"x": 1},
    }
    d.update(changes)
    return json.dumps(d).encode()


def frame(now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IId", len(records), 16 + len(body), now) + body


def create(inst: int, seed: int, text: bytes) -> bytes:
    return struct.pack("<BIQI", 70, inst, seed, len(text)) + text


def entry(host: bytes, state: int = 1, zone: int = 0, cell: int = 0, started: float = 0.0) -> bytes:
    return struct.pack("<6sHBHBfd", host, zone, 0, cell, state, 1.0, started)


def catalog(number: int, *entries: bytes) -> bytes:
    return struct.pack("<BII", 40, number, len(entries)) + b"".join(entries)


def view(inst: int, form: int, number: int = 0) -> bytes:
    return struct.pack("<BIBQI", 100, inst, form, 1, number)


def inbound(inst: int, rid: int, cls: int, due: float, hint: float = 0.0) -> bytes:
    return struct.pack("<BIQBIQddH", 30, inst, rid, cls, 0, 0, due, hint, 1 if hint else 0)


def report_back(
    inst: int, rid: int, why: int, ms: float, leg: int, host: bytes, final: int, *load: float
) -> bytes:
    head = struct.pack("<BIQHdH6sBB", 10, inst, rid, why, ms, leg, host, final, len(load))
    return head + struct.pack(f"<{len(load)}f", *load)


def due(inst: int, mark: int) -> bytes:
    return struct.pack("<BIQ", 90, inst, mark)


def down(inst: int) -> bytes:
    return struct.pack("<BI", 50, inst)


_LAYOUTS = {
    60: ("assign", "<IQd6s"), 20: ("report_failure", "<IQ"), 40: ("disconnect", "<I6s"),
    110: ("watch", "<IB"),
    10: ("test", "<I6s"), 50: ("push_back", "<IQd"), 30: ("schedule", "<IdQ"),
    90: ("snapshot", "<I"),
    80: ("undo_send", "<IQH"), 120: ("journal_line", "<IH"), 70: ("internal_error", "<IH"),
    100: ("say", "<IIH"),
}  # fmt: skip


def read_reply(data: bytes) -> list[tuple[Any, ...]]:
    """Decode the records of one reply into tuples that begin with the action's name."""
    count, length = struct.unpack_from("<II", data)
    assert length == len(data)
    pos, out = 8, []
    for _ in range(count):
        name, layout = _LAYOUTS[data[pos]]
        values = struct.unpack_from(layout, data, pos + 1)
        pos += 1 + struct.calcsize(layout)
        if layout.endswith("H") and name != "undo_send":
            values = (*values[:-1], data[pos : pos + values[-1]])
            pos += len(values[-1])
        out.append((name, *values))
    assert pos == length
    return out
