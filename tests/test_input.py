"""Bad input on each door: malformed, cut at every byte, oversized, endless, one byte at a time. Traffic gets its 4xx or
a close, files a line that names file and field; memory stays within a figure."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from granitewell.config import load
from granitewell.net.console import CallParser, No
from granitewell.net.http1 import Ask, Bad, InboundParser, Names, ResponseParser, outcome
from tests.test_config import write
from tiderelay.interface import Outcome

PIECE = 8192
MOST_FED = 400_000  # bytes that a parser may take of something endless before it says no
MOST_HELD = 600_000  # and what may be held of it meanwhile
ASK = b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout-Ms: 2000\r\n%s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def endless(feed: Callable[[bytes], object], pieces: Iterator[bytes]) -> int:
    """Feed it until `feed` says that it is enough; how many bytes that took."""
    fed = 0
    tracemalloc.start()
    try:
        for piece in pieces:
            fed += len(piece)
            if feed(piece) or fed > MOST_FED:
                break
        assert tracemalloc.get_traced_memory()[1] < MOST_HELD
    finally:
        tracemalloc.stop()
    return fed


def ever(head: bytes, more: bytes) -> Iterator[bytes]:
    yield head
    while True:
        yield more


ENDLESS = {
    "one trailer": (b"1\r\nx\r\n0\r\nX: ", b"y" * PIECE),
    "many trailers": (b"1\r\nx\r\n0\r\n", b"".join(b"X%d: y\r\n" % k for k in range(900))),
    "a chunk's extension": (b"1;", b"e" * PIECE),
}


@pytest.mark.parametrize("what", ENDLESS)
def test_what_never_ends_behind_a_body_is_refused_from_clients(tmp_path: Path, what: str) -> None:
    """Only the body was counted: what stands between its chunks or behind it could grow without bound."""
    parser, (begin, more) = InboundParser(Names(load(write(tmp_path)))), ENDLESS[what]
    got: list[object] = []
    fed = endless(lambda data: got.extend(parser.feed(data)) or got, ever(ASK % CHUNKED + begin, more))
    assert [x.status for x in got if isinstance(x, Bad)] in ([431], [400]) and fed <= MOST_FED


@pytest.mark.parametrize("what", ENDLESS)
def test_and_from_endpoints_and_discovery(what: str) -> None:
    begin, more = ENDLESS[what]
    for most in (65536, 4 * 1024 * 1024):
        parser, said = ResponseParser(most), list[str]()

        def feed(data: bytes, parser: ResponseParser = parser, said: list[str] = said) -> object:
            try:
                return parser.feed(data)
            except ValueError as error:
                return said.append(str(error)) or said

        fed = endless(feed, ever(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n" + begin, more))
        assert said and fed <= MOST_FED


@pytest.mark.parametrize("what", ENDLESS)
def test_and_from_operators(what: str) -> None:
    begin, more = ENDLESS[what]
    parser = CallParser()

    def feed(data: bytes) -> bool:
        try:
            return parser.feed(data)
        except No:
            return True

    head = b"POST /dispatch-servers/disable HTTP/1.1\r\n" + CHUNKED + b"\r\n"
    assert endless(feed, ever(head + begin, more)) <= 40_000


def test_a_trailer_is_no_header(tmp_path: Path) -> None:
    """One named like a header took its place: a request was refused as one that came twice, or got another's key;
    and an endpoint's error that ended in Not-Started counted as one that never ran, which may be sent again."""
    parser = InboundParser(Names(load(write(tmp_path))))
    (ask,) = parser.feed(ASK % CHUNKED + b"1\r\nx\r\n0\r\nRequest-Id: r2\r\nAffinity-Key: 7\r\n\r\n")
    assert isinstance(ask, Ask) and ask.message.request_id == b"r1" and ask.key == 0
    answer = ResponseParser()
    assert answer.feed(b"HTTP/1.1 503 X\r\n" + CHUNKED + b"\r\n1\r\nx\r\n0\r\nNot-Started: 1\r\n\r\n")
    assert outcome(answer) is Outcome.ERROR
