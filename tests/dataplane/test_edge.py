"""Requests through a data plane over loopback: forwarding byte for byte, retries and statuses."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import pytest

from granitewell.dataplane.http_server import DefectLog
from granitewell.domain.servers import ModelDemand, ModelRef, ServerState
from tests.dataplane.standin import (
    Behaviour,
    ReceivedRequest,
    Scene,
    StandIn,
    answer_normally,
    configuration,
    read_message,
    route,
    run_scene,
    scene,
)


def test_response_is_forwarded_unchanged() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            answer = await s.call("/once/x", body=b"hello")
            (seen,) = s.stand_ins[0].seen
            assert (answer.status, answer.body, answer.complete) == (200, b"well", True)
            assert answer.header("Granitewell-Response-Seal") == "s.1"
            assert answer.header("Granitewell-Request-Id") == f"{1:016x}"
            assert (seen.first_line, seen.body) == ("POST /once/x HTTP/1.1", b"hello")
            assert seen.header("Granitewell-Expect-Instance") == "s0"
            assert 0 < int(seen.header("Granitewell-Deadline-Ms") or 0) < 2000
            assert seen.header("Priority") == "5"

    run_scene(run())


PATHS = [
    "/once/%2Fa", "/once//b", "/once/../c", "/once/./d", "/once/?", "/once/e?x=%20&y=+;z", "/once/;p=1",
    "/once/%c3%a9", "/once/%", "/once/%zz", "/once/a?b?c", "/once/|^`{}", "/once/a%00b", "/once/~!$&'()*,:@",
    "/once/\"<>", "/once/a\\b", "/once/[1]",
]  # fmt: skip


@pytest.mark.parametrize("target", PATHS)
def test_path_and_query_are_forwarded_byte_for_byte(target: str) -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            answer = await s.call(target)
            assert answer.status == 200, answer.body
            assert s.stand_ins[0].seen[0].target == target

    run_scene(run())


def test_only_end_to_end_headers_are_forwarded() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            await s.call("/once/x", X_Mine="1", Connection="keep-alive, X-Gone", X_Gone="1", TE="trailers",
                         Keep_Alive="timeout=5", Accept_Encoding="identity")  # fmt: skip
            (seen,) = s.stand_ins[0].seen
            assert (seen.header("X-Mine"), seen.header("Accept-Encoding")) == ("1", "identity")
            assert [seen.header(name) for name in ("X-Gone", "TE", "Keep-Alive", "Connection")] == [None] * 4

    run_scene(run())


def test_connection_header_can_not_remove_system_headers() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            await s.call("/once/x", body=b"1", Connection="Granitewell-Request-Id, Host, Content-Length")
            (seen,) = s.stand_ins[0].seen
            assert seen.header("Granitewell-Request-Id") and seen.header("Host") and seen.body == b"1"

    run_scene(run())


def test_server_receives_the_client_s_headers() -> None:
    """In any case, repeated, with odd spaces and bytes, named by a Connection header, retried or not."""
    given = [
        (b"granitewell-MODEL", b"m1/a1"),
        (b"Granitewell-Token-Usage", b"1460,80"),
        (b"GRANITEWELL-PROMPT-PREFIX", b"5c1e07a2:800,91bd3f06:410"),
        (b"Granitewell-Prompt-Prefix", b"e4402b7d:250 , \tx\xe9"),
        (b"Granitewell-Token-Usage", b""),
        (b"Granitewell-Request-Id", b"00AbC"),
    ]
    lines = b"".join(name + b": \t " + value + b" \r\n" for name, value in given)
    connection = b"Connection: Granitewell-Model, granitewell-token-usage, Granitewell-Prompt-Prefix\r\n"

    async def run() -> None:
        async with scene(ReceivedRequest.refuse, answer_normally) as s:
            s.fill_retry_budget()
            for _ in range(4):
                client = await s.connect()
                client.writer.write(
                    b"PUT /again//%7e?%41 HTTP/1.1\r\nhOST: shop.example\r\n" + connection + lines
                    + b"content-LENGTH: 3\r\n\r\n\x00\r\n"
                )  # fmt: skip
                answer = await client.answer()
                assert answer is not None and answer.status == 200
            assert all(stand_in.seen for stand_in in s.stand_ins)
            for seen in [*s.stand_ins[0].seen, *s.stand_ins[1].seen]:
                assert (seen.first_line, seen.body) == ("PUT /again//%7e?%41 HTTP/1.1", b"\x00\r\n")
                pairs = [(name.encode(), value.encode("latin-1")) for name, value in seen.headers]
                assert [pair for pair in pairs if pair in given] == given

    run_scene(run())


def test_request_with_two_ids_is_rejected() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            ids = b"Granitewell-Request-Id: 1\r\ngranitewell-request-ID: 2\r\n"
            client.writer.write(b"GET /once/x HTTP/1.1\r\nHost: shop.example\r\n" + ids + b"\r\n")
            answer = await client.answer()
            assert answer is not None and answer.status == 400
            assert s.stand_ins[0].seen == []

    run_scene(run())


def test_client_can_not_set_instance_or_priority() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            await s.call("/once/x", Granitewell_Expect_Instance="other", Priority="0")
            (seen,) = s.stand_ins[0].seen
            assert (seen.header("Granitewell-Expect-Instance"), seen.header("Priority")) == ("s0", "5")

    run_scene(run())


def test_chunked_request_body_is_forwarded_with_a_length() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            client.send("/once/x", Transfer_Encoding="chunked", Content_Length="", Granitewell_Request_Id="7")
            client.writer.write(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n")
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            (seen,) = s.stand_ins[0].seen
            assert (seen.body, seen.header("Content-Length")) == (b"abcde", "5")
            assert seen.header("Transfer-Encoding") is None

    run_scene(run())


def test_an_encoded_body_is_not_decoded() -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.answer(body=b"\x1f\x8bno", Content_Encoding="gzip")) as s:
            answer = await s.call("/once/x", body=b"\x1f\x8bgz", Content_Encoding="gzip")
            assert s.stand_ins[0].seen[0].body == b"\x1f\x8bgz"
            assert (answer.body, answer.header("Content-Encoding")) == (b"\x1f\x8bno", "gzip")

    run_scene(run())


def test_requests_without_a_body_and_head_requests() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        body = b"" if seen.request.first_line.startswith("HEAD") else b"well"
        seen.writer.write(seen.head(length=4) + body)

    async def run() -> None:
        async with scene(behaviour) as s:
            got = await s.call("/once/x", "GET")
            assert (got.status, got.body) == (200, b"well")
            assert s.stand_ins[0].seen[0].header("Content-Length") is None
            head = await s.call("/once/x", "HEAD")
            assert (head.status, head.header("Content-Length")) == (200, "4")
            again = await s.call("/once/x", "GET")
            assert again.body == b"well"

    run_scene(run())


@pytest.mark.parametrize("length", [0, 1, 70_000])
def test_bodies_of_any_length_are_forwarded(length: int) -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.answer(body=b"a" * length)) as s:
            assert (await s.call("/once/x", body=b"b" * length)).body == b"a" * length
            assert s.stand_ins[0].seen[0].body == b"b" * length

    run_scene(run())


def test_chunked_responses_are_forwarded() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.head())
        for part in (b"ab", b"cde", b""):
            seen.chunk(part)

    async def run() -> None:
        async with scene(behaviour) as s:
            for _ in range(2):
                answer = await s.call("/once/x")
                assert (answer.status, answer.body, answer.complete) == (200, b"abcde", True)
            assert s.stand_ins[0].connections == 1

    run_scene(run())


# --- Rejected requests ----------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
         b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"
         b"Content-Length: 4\r\n\r\nabcd", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: a\r\nHost: shop.example\r\n\r\n", 400),
        (b"POST /once/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /once/x HTTP/1.1\r\nHost : shop.example\r\n\r\n", 400),
        (b"POST http://shop.example/once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /once/x HTTP/1.0\r\nContent-Length: 0\r\n\r\n", 400),
        (b"rubbish\r\n\r\n", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX: " + b"a" * 5000 + b"\r\n\r\n", 431),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\n" + b"X: 12345678901234567890\r\n" * 200
         + b"\r\n", 431),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 200000\r\n\r\n", 413),
        (b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nGranitewell-Request-Id: 1\r\n"
         b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400),
    ],
)  # fmt: skip
def test_malformed_or_ambiguous_requests_are_rejected(raw: bytes, status: int) -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            client.writer.write(raw)
            answer = await client.answer()
            assert answer is not None and answer.status == status, answer
            assert await client.reader.read() == b""  # the connection is closed
            assert s.stand_ins[0].seen == []

    run_scene(run())


def test_bytes_after_a_request_are_not_part_of_it() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            client.send("/once/x", body=b"ab", Granitewell_Request_Id="1")
            client.send("/once/y", body=b"cd", Granitewell_Request_Id="2")
            answers = [await client.answer(), await client.answer()]
            assert [a.header("Granitewell-Request-Id") for a in answers if a] == ["1", "2"]
            seen = [(m.target, m.body) for m in s.stand_ins[0].seen]
            assert seen == [("/once/x", b"ab"), ("/once/y", b"cd")]

    run_scene(run())


def test_slow_heads_and_bodies_time_out() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            loop = asyncio.get_running_loop()
            began = loop.time()
            slow_head, slow_body = await s.connect(), await s.connect()
            slow_head.writer.write(b"POST /once/x HTTP/1.1\r\nHost")
            slow_body.writer.write(
                b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n\r\na"
            )
            answer = await slow_body.answer()
            assert answer is not None and answer.status == 408
            assert await slow_head.reader.read() == b""
            assert loop.time() - began < 8.0  # less than the idle timeout

    run_scene(run())


def test_status_without_configuration_or_route() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            assert (await s.call("/other/x")).status == 404
            assert (await s.call("/once")).status == 404
            assert (await s.call("/once/x", Host="elsewhere.example")).status == 404
            assert (await s.call("/once/x", Host="SHOP.example:80")).status == 200
            assert (await s.call("/once/x", Granitewell_Request_Id="")).status == 400
            s.plane._configuration = s.plane._routes = None
            answer = await s.call("/once/x")
            assert answer.status == 503 and answer.header("Retry-After")

    run_scene(run())


def without_configuration(s: Scene) -> None:
    s.plane._configuration = s.plane._routes = None
    s.plane._configured.clear()


def test_request_waits_for_the_first_configuration() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            without_configuration(s)
            call = asyncio.create_task(s.call("/once/x"))
            while not s.plane._waiting_for_configuration:
                await asyncio.sleep(0)
            s.plane.apply_configuration(configuration(2))
            assert (await call).status == 200
            assert s.plane._waiting_for_configuration == 0

    run_scene(run())


def test_wait_for_the_configuration_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            without_configuration(s)
            answer = await s.call("/once/x", Granitewell_Deadline_Ms="25")
            assert answer.status == 503 and answer.header("Retry-After")
            monkeypatch.setattr("granitewell.dataplane.edge.MAX_WAITING_FOR_CONFIGURATION", 0)
            monkeypatch.setattr("granitewell.dataplane.edge.MAX_CONFIGURATION_WAIT_S", 1e9)
            assert (await s.call("/once/x", Granitewell_Deadline_Ms="100000000")).status == 503

    run_scene(run())


def test_internal_error_is_a_500_and_logged_at_a_limited_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(*_: object) -> None:
        raise KeyError("planted")

    async def run() -> None:
        async with scene(answer_normally) as s:
            for _ in range(3):
                assert (await s.call("/once/x")).status == 500

    monkeypatch.setattr("granitewell.dataplane.edge.choose_service", fails)
    monkeypatch.setattr("granitewell.dataplane.http_server._defects", DefectLog())
    with logbook.TestHandler() as log:
        run_scene(run())
    assert len([r for r in log.records if "planted" in (r.formatted_exception or "")]) == 1


def test_newer_configuration_applies_and_an_older_one_does_not() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            s.plane.apply_configuration(configuration(3, [route("new")]))
            s.plane.apply_configuration(configuration(2))
            assert (await s.call("/new/x")).status == 200
            assert (await s.call("/once/x")).status == 404

    run_scene(run())


# --- Responses of servers -------------------------------------------------------------------------------
def test_response_to_another_request_is_not_forwarded() -> None:
    """The late response is dropped, the right one after it counts, and the connection is not reused."""

    def behaviour(seen: ReceivedRequest) -> None:
        if seen.connection == 1 and len(seen.server.seen) == 2:
            late = seen.head(length=5).replace(seen.id.encode(), b"%016x" % 1)
            seen.writer.write(late + b"wrong")
        seen.answer()

    async def run() -> None:
        async with scene(behaviour) as s:
            for k in range(3):
                answer = await s.call("/once/x")
                assert (answer.status, answer.body) == (200, b"well")
                assert answer.header("Granitewell-Request-Id") == f"{k + 1:016x}"
            assert s.stand_ins[0].connections == 2

    run_scene(run())


@pytest.mark.parametrize("split", [False, True])
def test_two_responses_to_other_requests_are_a_502(split: bool) -> None:
    async def behaviour(seen: ReceivedRequest) -> None:
        for name in (b"a", b"b"):
            seen.writer.write(seen.head(length=5).replace(seen.id.encode(), name) + b"wrong")
            if split:
                await asyncio.sleep(0.01)

    async def run() -> None:
        async with scene(behaviour) as s:
            assert (await s.call("/once/x")).status == 502

    run_scene(run())


def test_bytes_after_a_response_are_dropped() -> None:
    """In the same segment, and later on the idle connection."""

    async def behaviour(seen: ReceivedRequest) -> None:
        count = len(seen.server.seen)
        stray = seen.head(length=5).replace(seen.id.encode(), b"zz") + b"stray"
        if count == 1:
            seen.writer.write(seen.head(length=4, Keep_Alive="timeout=9") + b"well" + stray)
        elif count == 2:
            seen.writer.write(seen.head(length=4, Keep_Alive="timeout=9") + b"well" + b"\x00rubbish")
        elif count == 3:
            seen.answer(Keep_Alive="timeout=9")
            await seen.writer.drain()
            await asyncio.sleep(0.02)
            seen.writer.write(stray)
        else:
            seen.answer(Keep_Alive="timeout=9")

    async def run() -> None:
        async with scene(behaviour) as s:
            for _ in range(3):
                answer = await s.call("/once/x")
                assert (answer.status, answer.body) == (200, b"well")
            await asyncio.sleep(0.1)
            for _ in range(2):
                answer = await s.call("/once/x")
                assert (answer.status, answer.body) == (200, b"well")
            assert s.stand_ins[0].connections == 4

    run_scene(run())


@pytest.mark.parametrize("same_segment", [True, False])
def test_stray_response_in_two_parts_affects_no_other_request(same_segment: bool) -> None:
    """Its second part arrives while the next request is pending."""
    half, rest = b"HTTP/1.1 200 OK\r\nGranitewell-Req", b"uest-Id: zz\r\nContent-Length: 0\r\n\r\n"

    async def behaviour(seen: ReceivedRequest) -> None:
        first = seen.connection == 1 and len(seen.server.seen) == 1
        if not first:
            if seen.connection == 1:
                seen.writer.write(rest)
            return seen.answer(Keep_Alive="timeout=9")
        answer = seen.head(length=4, Keep_Alive="timeout=9") + b"well"
        seen.writer.write(answer + half if same_segment else answer)
        if not same_segment:
            await asyncio.sleep(0.02)
            seen.writer.write(half)
        return None

    async def run() -> None:
        async with scene(behaviour) as s:
            for _ in range(2):
                assert (await s.call("/once/x")).status == 200
                await asyncio.sleep(0.05)
            assert s.stand_ins[0].connections == 2

    run_scene(run())


def test_connections_are_reused_within_the_announced_timeout() -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.answer(Keep_Alive="timeout=9")) as s:
            for _ in range(5):
                await s.call("/once/x")
            assert s.stand_ins[0].connections == 1
        async with scene(lambda seen: seen.answer(Connection="close")) as s:
            for _ in range(2):
                await s.call("/once/x")
            assert s.stand_ins[0].connections == 2

    run_scene(run())


def test_expired_idle_connection_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("granitewell.dataplane.upstream.DEFAULT_KEEP_ALIVE_S", 0.0)

    async def run() -> None:
        async with scene(answer_normally) as s:
            for _ in range(3):
                assert (await s.call("/once/x")).status == 200
            assert s.stand_ins[0].connections == 3

    run_scene(run())


def test_expect_100_continue() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            client = await s.connect()
            client.send("/once/x", Content_Length="3", Expect="100-continue", Granitewell_Request_Id="1")
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(b"abc")
            answer = await client.answer()
            assert answer is not None and answer.status == 200
            (seen,) = s.stand_ins[0].seen
            assert (seen.body, seen.header("Expect")) == (b"abc", None)

    run_scene(run())


def breaks_off(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head(length=10) + b"well")
    seen.reset()


def hangs_up(seen: ReceivedRequest) -> None:
    seen.writer.close()


def rubbish(seen: ReceivedRequest) -> None:
    seen.writer.write(b"\x16\x03\x01 no answer\r\n\r\n")


def no_seal(seen: ReceivedRequest) -> None:
    seen.answer(Granitewell_Response_Seal="")


def no_id(seen: ReceivedRequest) -> None:
    seen.answer(Granitewell_Request_Id="")


def without_length(seen: ReceivedRequest, instead: bytes = b"") -> None:
    seen.writer.write(seen.head(length=0).replace(b"Content-Length: 0\r\n", instead) + b"well")


def reset_without_length(seen: ReceivedRequest) -> None:
    without_length(seen)
    seen.reset_by_kernel()


def other_coding(seen: ReceivedRequest) -> None:
    without_length(seen, b"Transfer-Encoding: gzip\r\n")
    seen.writer.close()


def switches(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head(101, length=0, Upgrade="x", Connection="upgrade"))


def two_ids(seen: ReceivedRequest) -> None:
    head = seen.head(length=4)
    seen.writer.write(head.replace(b"\r\n\r\n", b"\r\nGranitewell-Request-Id: zz\r\n\r\n") + b"well")


def bare_line_ends(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head(length=4).replace(b"\r\n", b"\n") + b"well")


def cut_chunks(seen: ReceivedRequest) -> None:
    seen.writer.write(seen.head())
    seen.chunk(b"well")
    seen.writer.close()


BROKEN = [
    breaks_off, hangs_up, rubbish, no_seal, no_id, reset_without_length, cut_chunks, other_coding, switches,
    two_ids, bare_line_ends,
]  # fmt: skip


@pytest.mark.parametrize("target", ["/once/x", "/stream/x"])
def test_response_without_length_is_complete_at_close(target: str) -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        without_length(seen)
        seen.writer.close()

    async def run() -> None:
        async with scene(behaviour) as s:
            for _ in range(2):
                answer = await s.call(target)
                assert (answer.status, answer.body, answer.complete) == (200, b"well", True)
                assert answer.header("Content-Length") == "4"
            assert s.stand_ins[0].connections == 2

    run_scene(run())


@pytest.mark.parametrize("reset", [False, True])
def test_stream_without_length_is_complete_at_close(reset: bool) -> None:
    event = b"id: 1\ndata: word\n\n"

    async def behaviour(seen: ReceivedRequest) -> None:
        head = seen.head(length=0, Content_Type="text/event-stream")
        seen.writer.write(head.replace(b"Content-Length: 0\r\n", b"") + event)
        await seen.writer.drain()
        await asyncio.sleep(0.02)
        if reset:
            seen.reset_by_kernel()
        else:
            seen.writer.close()

    async def run() -> None:
        async with scene(behaviour) as s:
            answer = await s.call("/stream/x")
            assert (answer.status, answer.body, answer.complete) == (200, event, not reset)

    run_scene(run())


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
def test_long_responses_are_forwarded_in_any_framing(form: str) -> None:
    body = bytes(range(256)) * 8_192

    async def behaviour(seen: ReceivedRequest) -> None:
        if form == "chunks":
            seen.writer.write(seen.head())
            for start in range(0, len(body), 50_000):
                seen.chunk(body[start : start + 50_000])
            seen.chunk(b"")
        elif form == "length":
            seen.answer(body=body)
        else:
            seen.writer.write(seen.head(length=0).replace(b"Content-Length: 0\r\n", b"") + body)
            seen.writer.close()
        await seen.writer.drain()

    async def run() -> None:
        async with scene(behaviour) as s:
            for _ in range(2):
                answer = await s.call("/once/x")
                assert answer.status == 200 and answer.body == body
            assert s.stand_ins[0].connections == (2 if form == "close" else 1)

    run_scene(run())


@pytest.mark.parametrize("behaviour", BROKEN)
def test_possibly_executed_request_is_not_retried(behaviour: Behaviour) -> None:
    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            s.fill_retry_budget()
            answer = await s.call("/once/x")
            assert answer.status == 502 and answer.header("Granitewell-Response-Seal") is None
            assert answer.header("Retry-After") is None
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 1

    run_scene(run())


@pytest.mark.parametrize("behaviour", BROKEN)
def test_idempotent_request_is_retried_elsewhere(behaviour: Behaviour) -> None:
    async def run() -> None:
        async with scene(behaviour, answer_normally) as s:
            s.fill_retry_budget()
            for _ in range(6):
                answer = await s.call("/again/x")
                assert (answer.status, answer.body) == (200, b"well")
            assert s.stand_ins[0].seen

    run_scene(run())


def test_attempts_are_bounded_by_the_route() -> None:
    async def run() -> None:
        async with scene(*[hangs_up] * 5) as s:
            s.fill_retry_budget()
            assert (await s.call("/again/x")).status == 502
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 3

    run_scene(run())


def test_no_retry_without_retry_budget() -> None:
    async def run() -> None:
        async with scene(hangs_up, hangs_up) as s:
            assert (await s.call("/again/x")).status == 502
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 1
        async with scene(ReceivedRequest.refuse, ReceivedRequest.refuse) as s:
            answer = await s.call("/again/x")
            assert answer.status == 503 and answer.header("Retry-After")
            assert answer.header("Granitewell-Response-Seal") is None

    run_scene(run())


@pytest.mark.parametrize("status", [503, 429, 421])
def test_rejected_request_is_retried_elsewhere(status: int) -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.refuse(status), answer_normally) as s:
            s.fill_retry_budget()
            for _ in range(6):
                assert (await s.call("/once/x")).status == 200
            assert s.stand_ins[0].seen

    run_scene(run())


def test_rejection_by_all_servers_is_a_503() -> None:
    async def run() -> None:
        async with scene(*[ReceivedRequest.refuse] * 3) as s:
            s.fill_retry_budget()
            answer = await s.call("/once/x")
            assert answer.status == 503 and float(answer.header("Retry-After") or 0) > 0
            assert answer.header("Granitewell-Not-Executed") is None
            # The attempts that the route allows.
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 2

    run_scene(run())


def test_rejection_then_reset_is_a_502() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        if sum(len(s.seen) for s in stand_ins) == 1:
            seen.refuse()
        else:
            hangs_up(seen)

    stand_ins: list[StandIn] = []

    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            stand_ins.extend(s.stand_ins)
            s.fill_retry_budget()
            assert (await s.call("/once/x")).status == 502

    run_scene(run())


@pytest.mark.parametrize("status", [503, 429, 408])
def test_unmarked_503_is_not_forwarded(status: int) -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.answer(status)) as s:
            answer = await s.call("/once/x")
            assert answer.status == 502 and answer.header("Granitewell-Response-Seal") is None

    run_scene(run())


@pytest.mark.parametrize("status", [500, 504, 404, 302, 400])
def test_server_error_is_forwarded_with_its_signature(status: int) -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.answer(status, b"mine")) as s:
            s.fill_retry_budget()
            loop = asyncio.get_running_loop()
            for target in ("/once/x", "/again/x"):
                began = loop.time()
                answer = await s.call(target)
                assert loop.time() - began < 0.8  # it doesn't wait for the unreachable server
                assert (answer.status, answer.body) == (status, b"mine")
                assert answer.header("Granitewell-Response-Seal") == "s.1"

    run_scene(run())


def test_client_error_is_forwarded() -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.refuse(400), answer_normally) as s:
            s.fill_retry_budget()
            s.plane.apply_servers([], ["s1"])
            answer = await s.call("/once/x")
            assert (answer.status, answer.body) == (400, b"full")

    run_scene(run())


def test_unreachable_server_costs_no_attempt() -> None:
    async def run() -> None:
        async with scene(answer_normally, answer_normally, answer_normally) as s:
            s.stand_ins[0].stop_listening()
            s.stand_ins[1].stop_listening()
            for _ in range(4):
                assert (await s.call("/once/x")).status == 200  # without any retry budget
        async with scene(answer_normally) as s:
            s.stand_ins[0].stop_listening()
            answer = await s.call("/once/x")
            assert answer.status == 503

    run_scene(run())


# --- Time -----------------------------------------------------------------------------------------------
def never_responds(seen: ReceivedRequest) -> None:
    pass


@pytest.mark.parametrize("target", ["/short/x", "/again-short/x"])
def test_unresponsive_server_is_a_504_at_the_route_timeout(target: str) -> None:
    async def run() -> None:
        async with scene(never_responds) as s:
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await s.call(target)
            assert answer.status == 504
            assert 0.1 < loop.time() - began < 1.5  # the client's deadline is 5 s

    run_scene(run())


def test_client_deadline_applies() -> None:
    async def run() -> None:
        async with scene(never_responds) as s:
            answer = await s.call("/once/x", Granitewell_Deadline_Ms="120")
            assert answer.status == 504
            assert int(s.stand_ins[0].seen[0].header("Granitewell-Deadline-Ms") or 0) < 110

    run_scene(run())


def test_client_disconnect_cancels_its_request() -> None:
    async def run() -> None:
        gone = asyncio.Event()

        async def behaviour(seen: ReceivedRequest) -> None:
            client.close()
            with contextlib.suppress(ConnectionError):
                await seen.reader.read()
            gone.set()

        async with scene(behaviour) as s:
            client = await s.connect()
            client.send("/once/x", Granitewell_Request_Id="1")
            loop = asyncio.get_running_loop()
            began = loop.time()
            await gone.wait()
            assert loop.time() - began < 1.5  # before the route's timeout
            record = s.plane._dispatcher._services["plain"].records["s0"]
            assert record.in_flight == record.unanswered == 0

    run_scene(run())


# --- Streams --------------------------------------------------------------------------------------------
def test_events_are_forwarded_immediately_and_complete() -> None:
    async def run() -> None:
        more = asyncio.Event()

        async def behaviour(seen: ReceivedRequest) -> None:
            seen.events(1)
            seen.chunk(b"id: 2\ndata: hal")
            await more.wait()
            seen.chunk(b"f\n\nid: 3\n")
            seen.chunk(b"data: x\n\n")
            seen.chunk(b"")

        async with scene(behaviour) as s:
            client = await s.connect()
            client.send("/stream/x", Granitewell_Request_Id="1")
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b"Granitewell-Response-Seal: s.1" in head
            first = await client.reader.readuntil(b"\n\n\r\n")
            assert first.endswith(b"id: 1\ndata: word\n\n\r\n")
            await asyncio.sleep(0.02)
            assert not client.reader._buffer  # type: ignore[attr-defined]
            more.set()
            rest = await client.reader.readuntil(b"0\r\n\r\n")
            assert b"id: 2\ndata: half\n\n" in rest and b"id: 3\ndata: x\n\n" in rest

    run_scene(run())


def test_broken_stream_is_seen_to_be_incomplete() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        seen.events(1, 2)
        seen.chunk(b"id: 3\nda")
        seen.writer.close()

    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            s.fill_retry_budget()
            answer = await s.call("/stream/x")
            assert not answer.complete and answer.body == b"id: 1\ndata: word\n\nid: 2\ndata: word\n\n"
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 1

    run_scene(run())


def test_unsigned_stream_is_not_forwarded() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        seen.writer.write(seen.head(Content_Type="text/event-stream", Granitewell_Response_Seal=""))
        seen.event(1)
        seen.chunk(b"")

    async def run() -> None:
        async with scene(behaviour) as s:
            assert (await s.call("/stream/x")).status == 502

    run_scene(run())


def test_stream_with_length_must_be_complete() -> None:
    event = b"id: 1\ndata: word\n\n"

    def behaviour(seen: ReceivedRequest) -> None:
        length = len(event) if len(seen.server.seen) == 1 else 30
        seen.writer.write(seen.head(length=length, Content_Type="text/event-stream") + event)
        if length == 30:
            seen.writer.close()

    async def run() -> None:
        async with scene(behaviour) as s:
            for complete in (True, False):
                answer = await s.call("/stream/x")
                assert (answer.status, answer.complete, answer.body) == (200, complete, event)

    run_scene(run())


def test_stream_broken_before_its_first_event() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        seen.events()
        seen.chunk(b"id: 1\n")
        seen.writer.close()

    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            s.fill_retry_budget()
            assert (await s.call("/stream/x")).status == 502

    run_scene(run())


def goes_on(seen: ReceivedRequest, last: int = 4, repeats: int = 0) -> None:
    """Send the events after the Last-Event-Id, up to `last`."""
    at = int(seen.request.header("Last-Event-Id") or 0)
    seen.writer.write(seen.head(Content_Type="text/event-stream", Granitewell_Response_Seal=seen.server.name))
    for number in range(max(at + 1 - repeats, 1), last + 1):
        seen.event(number)
    seen.chunk(b"")


@pytest.mark.parametrize("repeats", [0, 2])
def test_resumable_stream_continues_at_another_server(repeats: int) -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        if sum(len(s.seen) for s in stand_ins) > 1:
            return goes_on(seen, repeats=repeats)
        seen.writer.write(
            seen.head(Content_Type="text/event-stream", Granitewell_Response_Seal=seen.server.name)
        )
        seen.event(1)
        seen.event(2)
        seen.chunk(b"id: 3\nda")
        return seen.writer.close()

    stand_ins: list[StandIn] = []

    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            stand_ins.extend(s.stand_ins)
            s.fill_retry_budget()
            answer = await s.call("/resume/x")
            first = next(m for stand_in in stand_ins for m in stand_in.seen if not m.header("Last-Event-Id"))
            second = next(m for stand_in in stand_ins for m in stand_in.seen if m.header("Last-Event-Id"))
            assert second.header("Last-Event-Id") == "2"
            assert first.header("Granitewell-Expect-Instance") != second.header("Granitewell-Expect-Instance")
            assert answer.header("Granitewell-Response-Seal") == first.header("Granitewell-Expect-Instance")
            assert answer.complete
            assert answer.body == b"".join(b"id: %d\ndata: word\n\n" % k for k in (1, 2, 3, 4))

    run_scene(run())


def test_client_s_last_event_id_is_forwarded() -> None:
    async def run() -> None:
        async with scene(goes_on) as s:
            answer = await s.call("/resume/x", Last_Event_Id="2")
            assert answer.body == b"id: 3\ndata: word\n\nid: 4\ndata: word\n\n"
            assert s.stand_ins[0].seen[0].header("Last-Event-Id") == "2"

    run_scene(run())


def test_stream_without_event_ids_is_not_resumed() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        seen.events()
        seen.chunk(b"data: 1\n\n")
        seen.writer.close()

    async def run() -> None:
        async with scene(behaviour, behaviour) as s:
            s.fill_retry_budget()
            answer = await s.call("/resume/x")
            assert not answer.complete and answer.body == b"data: 1\n\n"
            assert sum(len(stand_in.seen) for stand_in in s.stand_ins) == 1

    run_scene(run())


@pytest.mark.parametrize("status", [500, 404, 200])
def test_failed_resumption_leaves_the_response_incomplete(status: int) -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        if seen.request.header("Last-Event-Id"):
            return seen.answer(status)
        seen.events(1)
        return seen.writer.close()

    async def run() -> None:
        async with scene(*[behaviour] * 4) as s:
            s.fill_retry_budget()
            answer = await s.call("/resume/x")
            assert (answer.status, answer.complete, answer.body) == (200, False, b"id: 1\ndata: word\n\n")

    run_scene(run())


def test_bytes_after_the_last_event_are_forwarded_at_the_end() -> None:
    def behaviour(seen: ReceivedRequest) -> None:
        seen.events(1)
        seen.chunk(b": bye")
        seen.chunk(b"")

    async def run() -> None:
        async with scene(behaviour) as s:
            answer = await s.call("/stream/x")
            assert answer.complete and answer.body == b"id: 1\ndata: word\n\n: bye"

    run_scene(run())


def test_stream_at_its_deadline_is_seen_to_be_incomplete() -> None:
    async def run() -> None:
        async with scene(lambda seen: seen.events(1)) as s:
            s.plane.apply_configuration(configuration(2, [route("stream", "streaming", timeout_ms=150.0)]))
            answer = await s.call("/stream/x")
            assert answer.status == 200 and not answer.complete

    run_scene(run())


def test_plain_response_on_a_streaming_route() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            assert (await s.call("/stream/x")).body == b"well"

    run_scene(run())


# --- Models ---------------------------------------------------------------------------------------------
def test_request_goes_to_a_server_with_its_model_and_adapter() -> None:
    async def run() -> None:
        async with scene(answer_normally, answer_normally) as s:
            one, two = s.stand_ins
            s.plane.apply_servers(
                [s.server(one, "engine", ["m1/a1"]), s.server(two, "engine", ["m1", "m2"])], []
            )
            for _ in range(4):
                assert (await s.call("/model/x", Granitewell_Model="m1/a1")).status == 200
                assert (await s.call("/model/x", Granitewell_Model="m2")).status == 200
            assert {m.header("Granitewell-Model") for m in one.seen} == {"m1/a1"}
            assert {m.header("Granitewell-Model") for m in two.seen} == {"m2"}
            assert two.seen[0].header("Priority") == "1"

    run_scene(run())


def test_request_waits_for_its_model() -> None:
    async def run() -> None:
        async with scene(answer_normally, service="engine") as s:
            call = asyncio.create_task(s.call("/model/x", Granitewell_Model="m1"))
            while not s.demands:
                await asyncio.sleep(0)
            (demand,) = s.plane.take_demand()
            assert (demand.service, demand.ref, demand.requests) == ("engine", ModelRef("m1"), 1)
            assert (demand.waiting, demand.in_flight, demand.priority) == (1, 0, 1)
            s.register_servers("engine", ["m1"])
            assert (await call).status == 200
            assert s.plane.take_demand() == [ModelDemand("engine", ModelRef("m1"), 0, 0, 0, 9)]
            assert s.plane.take_demand() == []

    run_scene(run())


def test_server_assigned_at_the_end_of_the_wait_is_released() -> None:
    async def run() -> None:
        async with scene(answer_normally, service="engine") as s:
            call = asyncio.create_task(s.call("/model/x", Granitewell_Model="m1"))
            while not s.demands:
                await asyncio.sleep(0)
            (exchange,) = s.plane._forwarders
            exchange.expire()
            s.register_servers("engine", ["m1"])
            assert (await call).status in (200, 503)
            record = s.plane._dispatcher._services["engine"].records["s0"]
            assert record.in_flight == record.unanswered == 0

    run_scene(run())


def test_wait_for_a_model_ends_before_half_the_time() -> None:
    async def run() -> None:
        async with scene(answer_normally, service="engine") as s:
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await s.call("/model-short/x", Granitewell_Model="m1")
            assert answer.status == 503 and answer.header("Retry-After")
            assert 0.4 < loop.time() - began < 0.9
            assert s.stand_ins[0].seen == []
            assert s.plane._dispatcher._services["engine"].queue._positions == []

    run_scene(run())


@pytest.mark.parametrize("model", ["m9", "m1/a3", "m1/b1", "m2/a1", "/"])
def test_unknown_model_is_rejected_at_once(model: str) -> None:
    async def run() -> None:
        async with scene(answer_normally, service="engine") as s:
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await s.call("/model/x", Granitewell_Model=model)
            assert answer.status == 503 and loop.time() - began < 0.7  # otherwise it waits 0.9 s

    run_scene(run())


def test_server_that_answers_421_is_not_asked_again() -> None:
    async def run() -> None:
        async with scene(
            lambda seen: seen.refuse(421), answer_normally, service="engine", models=["m1"]
        ) as s:
            s.fill_retry_budget("engine")
            for _ in range(6):
                assert (await s.call("/model/x", Granitewell_Model="m1")).status == 200
            assert len(s.stand_ins[0].seen) == 1

    run_scene(run())


def test_draining_and_removed_servers_get_no_requests() -> None:
    async def run() -> None:
        async with scene(answer_normally, answer_normally, answer_normally) as s:
            one, two, _ = s.stand_ins
            s.plane.apply_servers([s.server(one, state=ServerState.DRAINING)], ["s1"])
            for _ in range(6):
                assert (await s.call("/once/x")).status == 200
            assert one.seen == two.seen == []
            s.plane.apply_servers([s.server(two)], ["s0", "s2"])
            for _ in range(2):
                assert (await s.call("/once/x")).status == 200
            assert len(two.seen) == 2

    run_scene(run())


# --- Lifecycle ------------------------------------------------------------------------------------------
async def readiness(s: Scene, path: str = "/readyz") -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", s.plane.ready_port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = await read_message(reader)
    writer.close()
    assert answer is not None
    return answer.status


def test_readiness_needs_configuration_and_servers() -> None:
    async def run() -> None:
        async with scene(answer_normally) as s:
            assert (await readiness(s), await readiness(s, "/other")) == (200, 404)
            s.plane._servers_known = False
            assert await readiness(s) == 503
            s.plane.apply_servers([], [])
            assert await readiness(s) == 200
            s.plane.begin_drain()
            assert await readiness(s) == 503
            answer = await s.call("/once/x")
            assert answer.status == 200 and answer.header("Connection") == "close"

    run_scene(run())


def test_drain_answers_all_accepted_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("granitewell.dataplane.edge.LISTEN_AFTER_DRAIN_S", 0.1)

    async def run() -> None:
        release = asyncio.Event()

        async def behaviour(seen: ReceivedRequest) -> None:
            await release.wait()
            seen.answer()

        async with scene(behaviour) as s:
            idle = await s.connect()
            early = asyncio.create_task(s.call("/once/x"))
            s.plane.begin_drain()
            late = asyncio.create_task(s.call("/once/y"))
            while len(s.stand_ins[0].seen) < 2:
                await asyncio.sleep(0.005)
            end = asyncio.create_task(s.plane.finish(3.0))
            assert await idle.reader.read() == b""  # closed together with the listener
            with pytest.raises(ConnectionError):
                await s.connect()
            assert not end.done()
            release.set()
            assert [(await early).status, (await late).status] == [200, 200]
            await end

    run_scene(run())


def test_drain_answers_all_within_the_grace_period(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request at a server may have been executed; a waiting one was not and gets a 503."""
    monkeypatch.setattr("granitewell.dataplane.edge.LISTEN_AFTER_DRAIN_S", 0.05)
    monkeypatch.setattr("granitewell.dataplane.edge.SHUTDOWN_MARGIN_S", 1.2)
    monkeypatch.setattr("granitewell.dataplane.edge.EXPIRE_MARGIN_S", 0.1)

    async def run() -> None:
        async with scene(never_responds) as s:
            client, waits = await s.connect(), await s.connect()
            client.send("/once/x", Granitewell_Request_Id="1")
            waits.send("/model/x", Granitewell_Request_Id="2", Granitewell_Model="m1")
            while not s.stand_ins[0].seen or not s.demands:
                await asyncio.sleep(0.005)
            loop = asyncio.get_running_loop()
            began = loop.time()
            await s.plane.finish(1.5)
            assert loop.time() - began < 1.5
            answer, promise = await client.answer(), await waits.answer()
            assert answer is not None and answer.status == 504 and answer.complete
            assert promise is not None and promise.status == 503 and promise.complete

    run_scene(run())
