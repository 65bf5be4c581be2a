"""Measures the load tool itself: whether requests leave on time, and the CPU cost of different event loops.

    python benchmarks/load_tool.py claim [TIMES]    20,000 a second from two processes, bare stand-ins
    python benchmarks/load_tool.py options [TIMES]  the same, pinned and not, with and without a priority
    python benchmarks/load_tool.py loops [TIMES]    three ways to write the loop, in their barest form
    python benchmarks/load_tool.py most [TIMES]     higher rates, until the tool says that it is the limit

Each prints a Markdown table with the machine's load average beside every run. The loops are trials and no
part of the tool: `sock` is asyncio's socket calls on uvloop with a task a request, `protocol` is asyncio's
Protocols on uvloop with a tick that asks to be called again, `epoll` is a bare loop that never sleeps. All
three count a departure's lateness just ahead of its write, draw the same arrivals and parse by httptools.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import resource
import select
import socket
import subprocess
import sys
from collections.abc import Iterator
from functools import partial
from typing import Any, cast

import httptools
import uvloop

from granitewell.lab.engine import stream
from granitewell.lab.load.processes import Stands
from granitewell.lab.load.worker import now_us

RATE, SECONDS, PROCESSES = 20_000, 5, 2
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\nRequest-Timeout-Ms: 2000\r\n\r\n"
NO_MORE_REQUESTS = 1 << 62


def tool(*options: str) -> dict[str, Any]:
    """Run the tool once; return the figures of its first step."""
    program = "from granitewell.cli.lab_load import load; load()"
    args = ["--against-bare", "2", "--processes", str(PROCESSES), "--duration", str(SECONDS), "--json"]
    done = subprocess.run([sys.executable, "-c", program, *args, *options], capture_output=True, text=True)
    return cast(dict[str, Any], json.loads(done.stdout)["steps"][0])


def tool_rows(variants: list[list[str]], times: int) -> None:
    """Run the variants in turn, so that other load on the machine affects all alike."""
    print("| options | load average | due | served | late over 1 ms | lateness p99, p99.9, max (ms) | "
          "latency p50, p99 (ms) | busy | void |\n|" + " --- |" * 9)  # fmt: skip
    for _ in range(times):
        for options in variants:
            load = os.getloadavg()[0]
            step = tool(*options)
            late, latency = step["departure_lateness_ms"], step["latency_ms"]
            cells = [
                " ".join(options), f"{load:.1f}", step["due"], step["served"], f"{step['late_part']:.3%}",
                ", ".join(str(late[name]) for name in ("p99", "p99.9", "max")),
                f"{latency['p50']}, {latency['p99']}", ", ".join(f"{part:.0%}" for part in step["busy"]),
                "; ".join(reason.split(":")[0] for reason in step["void"]) or "no",
            ]  # fmt: skip
            print("| " + " | ".join(map(str, cells)) + " |", flush=True)


# --- The loops ---
class Trial:
    """The schedule and the measurements of one process of a trial."""

    def __init__(self, port: int, seed: int) -> None:
        self.address = ("127.0.0.1", port)
        self.late: list[int] = []
        self.answered = 0
        self._dues = self._draw(seed)
        self.start = now_us() + 100_000
        self.next = self._next()

    def _draw(self, seed: int) -> Iterator[int]:
        rng, at = stream(seed, "trial"), 0.0
        while at < SECONDS * 1e6:
            yield int(at)
            at += rng.expovariate(RATE / PROCESSES / 1e6)

    def _next(self) -> int:
        due = next(self._dues, None)
        return NO_MORE_REQUESTS if due is None else self.start + due

    def leave(self) -> bytes:
        """Record the departure of the next request and return its bytes."""
        self.late.append(now_us() - self.next)
        request = REQUEST % self.next
        self.next = self._next()
        return request

    def report(self) -> None:
        """Print the measurements as one line of JSON."""
        took, late = (now_us() - self.start) / 1e6, sorted(self.late)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps({
            "due": len(late), "answered": self.answered, "late": sum(us > 1000 for us in late) / len(late),
            "p99": late[len(late) * 99 // 100] / 1000, "max": late[-1] / 1000,
            "cpu": (usage.ru_utime + usage.ru_stime) / took,
        }))  # fmt: skip


def open_socket() -> socket.socket:
    """Return a non-blocking TCP socket without delay."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class ResponseListener:
    """Listener of httptools for one answer."""

    def __init__(self) -> None:
        self.done = False

    def on_message_complete(self) -> None:
        """Note that the answer is complete."""
        self.done = True


async def by_sock(trial: Trial) -> None:
    """Play a trial with the socket calls of asyncio."""
    loop, idle, tasks = asyncio.get_running_loop(), list[tuple[socket.socket, bytearray]](), list[Any]()

    async def send_one(request: bytes) -> None:
        if idle:
            sock, space = idle.pop()
        else:
            sock, space = open_socket(), bytearray(65536)
            await loop.sock_connect(sock, trial.address)
        await loop.sock_sendall(sock, request)
        listener = ResponseListener()
        parser = httptools.HttpResponseParser(listener)
        while not listener.done:
            parser.feed_data(memoryview(space)[: await loop.sock_recv_into(sock, space)])
        trial.answered += 1
        idle.append((sock, space))

    while trial.next < NO_MORE_REQUESTS:
        while (wait_us := trial.next - now_us()) > 0:
            await asyncio.sleep(0 if wait_us < 2000 else (wait_us - 1500) / 1e6)
        tasks.append(loop.create_task(send_one(trial.leave())))
    await asyncio.gather(*tasks)


class Client(asyncio.Protocol):
    """One connection of the `protocol` loop."""

    def __init__(self, trial: Trial, idle: list[Client], first: bytes) -> None:
        self.trial, self.idle, self.first = trial, idle, first
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.first)

    def data_received(self, data: bytes) -> None:
        """Parse a piece of the answer."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Count the answer and return the connection."""
        self.trial.answered += 1
        self.idle.append(self)


async def by_protocol(trial: Trial) -> None:
    """Play a trial with protocols of asyncio."""
    loop, idle, over = asyncio.get_running_loop(), list[Client](), asyncio.Event()
    tasks = list[Any]()

    def tick() -> None:
        while trial.next <= now_us():
            request = trial.leave()
            if idle:
                idle.pop().transport.write(request)
            else:
                connection = loop.create_connection(partial(Client, trial, idle, request), *trial.address)
                tasks.append(loop.create_task(connection))
        wait_us = trial.next - now_us()
        if trial.next == NO_MORE_REQUESTS:
            over.set()
        elif wait_us < 2000:
            loop.call_soon(tick)
        else:
            loop.call_later((wait_us - 1500) / 1e6, tick)

    tick()
    await over.wait()
    while trial.answered < len(trial.late):
        await asyncio.sleep(0.01)


class EpollConnection:
    """One connection of the `epoll` loop."""

    def __init__(self, trial: Trial, idle: list[EpollConnection]) -> None:
        self.trial, self.idle = trial, idle
        self.sock = socket.create_connection(trial.address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Count the answer and return the connection."""
        self.trial.answered += 1
        self.idle.append(self)


def by_epoll(trial: Trial) -> None:
    """Play a trial with epoll."""
    epoll, conns, idle = select.epoll(), dict[int, EpollConnection](), list[EpollConnection]()

    def leave() -> None:
        request = trial.leave()
        if not idle:
            connection = EpollConnection(trial, idle)
            conns[connection.sock.fileno()] = connection
            epoll.register(connection.sock.fileno(), select.EPOLLIN)
            idle.append(connection)
        idle.pop().sock.send(request)

    while trial.next < NO_MORE_REQUESTS or trial.answered < len(trial.late):
        for fd, _ in epoll.poll(0):
            conns[fd].parser.feed_data(conns[fd].sock.recv(65536))
            if trial.next <= now_us():
                leave()
        while trial.next <= now_us():
            leave()


def client(mode: str, port: int, seed: int) -> None:
    """Run one process of a trial."""
    gc.disable()
    trial = Trial(port, seed)
    if mode == "epoll":
        by_epoll(trial)
    else:
        uvloop.run({"sock": by_sock, "protocol": by_protocol}[mode](trial))
    trial.report()


def loops(times: int) -> None:
    """Run all three loops in turn, two processes each, each with its own bare server."""
    print("| loop | load average | due | late over 1 ms | lateness p99 (ms) | max (ms) | CPU of a process |")
    print("|" + " --- |" * 7)
    for turn in range(times):
        for mode in ("sock", "protocol", "epoll"):
            load, stands = os.getloadavg()[0], Stands(PROCESSES, [None] * PROCESSES)
            args = [[mode, str(t.port), str(turn * 10 + k)] for k, t in enumerate(stands.targets)]
            run = [sys.executable, __file__, "client"]
            children = [
                subprocess.Popen([*run, *a], stdout=subprocess.PIPE, stderr=subprocess.PIPE) for a in args
            ]
            outputs = [child.communicate() for child in children]
            stands.close()
            print(f"| {mode} | {load:.1f} | {loop_cells(outputs)} |", flush=True)


def loop_cells(outputs: list[tuple[bytes, bytes]]) -> str:
    """Format the results of both processes as the last cells of a row."""
    errors = [err.decode().strip().splitlines()[-1] for out, err in outputs if not out]
    if errors:
        return f"broke: {errors[0]} | | | |"
    reports = [json.loads(out) for out, _ in outputs]
    due = sum(t["due"] for t in reports)
    late = sum(t["late"] * t["due"] for t in reports) / due
    p99, most, cpu = (max(t[name] for t in reports) for name in ("p99", "max", "cpu"))
    return f"{due} | {late:.3%} | {p99} | {most} | {cpu:.0%}"


def main() -> None:
    """Run one client, or compare all of them."""
    what, rest = sys.argv[1] if len(sys.argv) > 1 else "", sys.argv[2:]
    if what == "client":
        client(rest[0], int(rest[1]), int(rest[2]))
        return
    times, rate = int(rest[0]) if rest else 3, ["--rate", str(RATE)]
    if what == "claim":
        tool_rows([rate], times)
    elif what == "options":
        variants = [[], ["--pin"], ["--nice", "-10"], ["--pin", "--nice", "-10"]]
        tool_rows([[*rate, *options] for options in variants], times)
    elif what == "most":
        tool_rows([["--rate", str(RATE * k // 4)] for k in range(4, 13, 2)], times)
    elif what == "loops":
        loops(times)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
