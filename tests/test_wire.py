"""Tests the codec against the byte examples of the protocol's page, and its handling of malformed input."""

import math

import pytest

from granitewell.balancing import interface as t
from granitewell.balancing import simulator_protocol
from tests import wirekit as w

HEX_EVENTS = """
03000000 56000000 00000000206ec040
1e 03000000 c4913a5d825b0300 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 0100
5a 03000000 4d00000000000000
50 05000000 192b6f0e5e380100
"""
HEX_REPLY = """
03000000 50000000
3c 03000000 c4913a5d825b0300 0000000000005440 0a124a07 2b23
1e 03000000 000000002068c140 4d00000000000000
78 05000000 1100 74776f2073657276657273206b6e6f776e
"""
HEX_LISTS = """
02000000 00000000 00000000206ec040
28 00000000 02000000
    0a124a07 2b23 0000 00 0000 01 0000803f 0000000000000000
    0a9011f2 5423 0100 00 0000 01 0000c03f 0000000000d4b740
64 03000000 00 2900000000000000 00000000
"""
RID = 0x35B825D3A91C4


def unhex(text: str) -> bytes:
    return bytes.fromhex("".join(text.split()))


def sized(data: bytes) -> bytes:
    return data[:4] + len(data).to_bytes(4, "little") + data[8:]


def test_events_of_the_documentation() -> None:
    now, events = simulator_protocol.Decoder().batch(unhex(HEX_EVENTS))
    assert now == 8412.25
    assert events == [
        (3, t.Request(RID, 0, 0, 0x91F03B7C55D20A64, 8652.25, 12.0)),
        (3, t.Timer(77)),
        (5, t.Abandoned(0x1385E0E6F2B19)),
    ]


def test_reply_of_the_documentation() -> None:
    actions = [
        simulator_protocol.encode_action(3, t.Send(RID, w.HOST_A, 80.0)),
        simulator_protocol.encode_action(3, t.SetTimer(8912.25, 77)),
        simulator_protocol.encode_action(5, t.Log("two servers known")),
    ]
    assert simulator_protocol.encode_reply(actions) == unhex(HEX_REPLY)


def test_empty_batch_of_the_documentation() -> None:
    now, events = simulator_protocol.Decoder().batch(unhex("00000000 10000000 00000000206ec040"))
    assert (now, events) == (8412.25, [])
    assert simulator_protocol.encode_reply([]) == unhex("00000000 08000000")


def test_host_list_of_the_documentation() -> None:
    _, events = simulator_protocol.Decoder().batch(sized(unhex(HEX_LISTS)))
    ((inst, hosts),) = events
    assert inst == 3
    assert hosts == t.Hosts(
        t.View.CACHED,
        (
            t.Host(w.HOST_A, 0, 0, 0, t.State.READY, 1.0, 0.0),
            t.Host(w.HOST_B, 1, 0, 0, t.State.READY, 1.5, 6100.0),
        ),
    )


@pytest.mark.parametrize(
    ("text", "event"),
    [
        (
            "0a 03000000 c4913a5d825b0300 0000 0000000000803240 0000 0a124a07 2b23 01 00",
            t.Ended(RID, 0, w.HOST_A, t.Outcome.OK, 18.5, True),
        ),
        (
            "14 03000000 c4913a5d825b0300 0000 0a124a07 2b23 0000000000802240",
            t.FirstByte(RID, 0, 9.25),
        ),
        ("6e 03000000 0a9011f2 5423 0000 666666666666f63f 00", t.ProbeEnded(w.HOST_B, t.Outcome.OK, 1.4)),
        ("3c 03000000 0200 0400 68692037", t.PeerMessage(2, b"hi 7")),
        ("32 03000000", simulator_protocol.Stop()),
    ],
)
def test_other_events_of_the_documentation(text: str, event: simulator_protocol.Incoming) -> None:
    assert simulator_protocol.Decoder().batch(w.frame(1.0, unhex(text)))[1] == [(3, event)]


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (t.Fail(0x1385E0E6F2B19), "14 03000000 192b6f0e5e380100"),
        (t.Close(w.HOST_B), "28 03000000 0a9011f2 5423"),
        (t.Watch(True), "6e 03000000 01"),
        (t.Probe(w.HOST_B), "0a 03000000 0a9011f2 5423"),
        (t.SendPeerMessage(None, b"hi 7"), "64 03000000 ffffffff 0400 68692037"),
        (t.Refuse(0x1385E0E6F2B19, 250.0), "32 03000000 192b6f0e5e380100 0000000000406f40"),
        (t.Fetch(), "5a 03000000"),
        (t.Cancel(RID, 0), "50 03000000 c4913a5d825b0300 0000"),
    ],
)
def test_other_actions_of_the_documentation(action: t.Action, text: str) -> None:
    assert simulator_protocol.encode_action(3, action) == unhex(text)


def test_fault_of_the_documentation() -> None:
    expected = unhex("46 03000000 1200 696e646578206f7574206f662072616e6765")
    assert simulator_protocol.encode_fault(3, "index out of range") == expected


def test_catalog_number_reused_within_a_batch() -> None:
    frame = w.frame(
        1.0,
        w.catalog(4, w.entry(w.HOST_A)),
        w.view(0, 2, 4),
        w.catalog(4, w.entry(w.HOST_B, 2)),
        w.view(1, 3, 4),
        w.view(2, 1, 9),
    )
    events = simulator_protocol.Decoder().batch(frame)[1]
    seen = [(i, e.view, [h.id for h in e.hosts]) for i, e in events if isinstance(e, t.Hosts)]
    assert seen == [
        (0, t.View.FULL, [w.HOST_A]),
        (1, t.View.DELTA, [w.HOST_B]),
        (2, t.View.FAILED, []),
    ]


def test_report_and_outcomes() -> None:
    for code, outcome in {0: "OK", 13: "ERROR", 8: "FULL", 4: "TIMEOUT", 14: "UNCONNECTED", 10: "RESET",
                          1: "CANCELLED", 9: "MOOT"}.items():  # fmt: skip
        raw = w.report_back(7, 5, code, 2.0, 1, w.HOST_A, 0, 0.5, 3.0)
        expected = t.Ended(5, 1, w.HOST_A, t.Outcome[outcome], 2.0, False, (0.5, 3.0))
        assert simulator_protocol.Decoder().batch(w.frame(1.0, raw))[1] == [(7, expected)]


def test_impossible_numbers_count_as_absent() -> None:
    raw = w.inbound(0, 1, 0, 50.0, math.nan), w.inbound(0, 2, 0, 50.0, -4.0)
    events = simulator_protocol.Decoder().batch(w.frame(1.0, *raw))[1]
    assert [e.work_hint for _, e in events if isinstance(e, t.Request)] == [0.0, 0.0]


@pytest.mark.parametrize(
    ("frame", "says"),
    [
        (w.frame(1.0, b"\xff\0\0\0\0"), "byte 16: unknown record code 255"),
        (w.frame(1.0, w.inbound(0, 1, 0, 5.0)[:-3]), "byte 16"),
        (w.frame(1.0, w.down(0) + b"xx"), "2 bytes follow"),
        (w.frame(1.0, w.view(0, 2, 3)), "catalog 3 was never sent"),
        (w.frame(1.0, w.catalog(1, w.entry(w.HOST_A))[:-1]), "cut off"),
        (w.frame(1.0, w.down(0))[:-1], "byte 4"),
        (w.frame(math.nan), "byte 8"),
        (w.frame(1.0, w.report_back(0, 1, 77, 1.0, 0, w.HOST_A, 0)), "unknown outcome 77"),
        (w.frame(1.0, w.catalog(1, w.entry(w.HOST_A, 9))), "unknown host state 9"),
    ],
)
def test_malformed_frame_is_reported_with_its_position(frame: bytes, says: str) -> None:
    with pytest.raises(simulator_protocol.WireError, match=says):
        simulator_protocol.Decoder().batch(frame)


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    s = simulator_protocol.parse_settings(w.boot())
    assert (s.proxies, s.max_attempts, s.fall_ms) == (2, 4, 2000.0)
    assert s.classes[2].effect is t.Effect.KEYED and s.classes[2].scope is t.Scope.CELL
    assert s.report_fields == (t.Field.QUEUE, t.Field.UNKNOWN)
    assert not s.must_ask and s.may_cancel


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (b"{", "not JSON"),
        (b"[]", "allowed is missing"),
        (w.boot(contract={}), "contract.drainGraceMs is missing"),
        (w.boot(classes=[{"effect": "odd"}]), r"classes\[0\].effect 'odd'"),
        (w.boot(classes=[]), "classes: empty"),
        (w.boot(balancers=0), "proxies"),
        (w.boot(balancers="x"), "settings:"),
        (w.boot(stats=[]), r"stats \[\] is no object"),
    ],
)
def test_invalid_settings_are_reported_with_their_key(text: bytes, says: str) -> None:
    with pytest.raises(simulator_protocol.WireError, match=says):
        simulator_protocol.parse_settings(text)
