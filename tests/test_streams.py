"""Streamed bodies in both directions: splits at any byte, memory use, and the balancer's bookkeeping."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from caperdrift.interface import BodyEnded, BodyPassing, Outcome, SettingsChanged, StreamStarted, TimerFired
from caperdrift.policy.choice import is_unresponsive
from cloverkeel.http1 import ReplyError, ReplyReader
from cloverkeel.memory import MIN_PIECE_BYTES, MemoryBudget
from cloverkeel.streams import PIECE_BYTES, ReadBuffer, PIECES_HELD
from tests.helpers import SETTINGS, Driver, finals, sends
from tests.sockets import Client, configuration, on_loop, peer, request, running, silent, until
from tests.test_gateway_process import program
from tests.streaming import BODY, chunked, chunked_request, raw_host

# Splits at any byte


@on_loop
async def test_a_request_may_be_split_at_every_byte() -> None:
    async with peer() as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        length = len(chunked_request(chunked(b"abcdefg", 3)))
        for at in range(1, length):
            data = chunked_request(chunked(b"abcdefg", 3), x_blank=" \t padded \t")
            before = len(host.seen)
            client.send(data[:at])
            await asyncio.sleep(0.001)
            client.send(data[at:])
            assert (await client.answer()).status == 200
            assert host.seen[before].message.body == b"abcdefg"
            assert host.seen[before].message.headers["x-blank"] == "padded"
        client.close()


@on_loop
async def test_trailing_whitespace_of_header_values_is_stripped() -> None:
    """With trailing whitespace kept, the class was unknown and the budget invalid."""
    async with peer() as host, running(configuration(host)) as gateway:
        data = request("search", x_call_class="search \t", x_budget_ms="20000  ", x_call_cost="5 ")
        assert (await gateway.ask(data)).status == 200


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_a_response_may_be_split_anywhere(size: int) -> None:
    body = BODY[:100_000] if size > 100 else BODY[:3_000]
    reader = ReplyReader(1_000, allows_streaming=True)
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b \r\n\r\n" + chunked(
        body, 777, b";e", b"T: v\r\n"
    )
    for _ in range(2):  # two responses on one connection
        received, ended = b"", None
        for at in range(0, len(data), size):
            assert ended is None
            ended = reader.feed(data[at : at + size])
            if reader.streamed_head is not None:
                received += reader.take_body()
        assert ended is not None and ended.keep_alive and ended.body == b""
        assert received == body
        assert ended.headers == [(b"Transfer-Encoding", b"chunked"), (b"A", b"b")]


def test_extra_input_after_a_streamed_response_closes_the_connection() -> None:
    reader = ReplyReader(10, allows_streaming=True)
    ended = reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b"x" * 20 + b"HTTP/1.1 200 OK\r\n")
    assert ended is not None and not ended.keep_alive
    assert reader.take_body() == b"x" * 20


def test_a_response_of_framing_alone_is_an_error() -> None:
    reader = ReplyReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;")
    with pytest.raises(ReplyError):
        for _ in range(100):
            reader.feed(b"x" * 1_000)


# Memory


def test_piece_size_falls_with_the_number_of_streamed_bodies() -> None:
    memory = MemoryBudget(memory_mb=64)
    buffer = ReadBuffer(memory)
    assert buffer.piece_bytes() == PIECE_BYTES
    buffer.streamed_bodies = 512
    assert MIN_PIECE_BYTES < buffer.piece_bytes() == memory.free // PIECES_HELD // 512
    assert 512 * buffer.piece_bytes() <= 64 * 1024 * 1024 // 8
    memory.open_account().add(memory.free)  # all that is left is in use
    assert buffer.piece_bytes() == MIN_PIECE_BYTES
    buffer = ReadBuffer(MemoryBudget(memory_mb=64))
    buffer.streamed_bodies = 1_000_000
    assert buffer.piece_bytes() == MIN_PIECE_BYTES


def resident_kb(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


@on_loop
async def test_memory_is_bounded_while_streamed_bodies_are_stalled(tmp_path: Path) -> None:
    """Streams 40 bodies of 32 MB, together 40 times the memory limit of the process."""
    started = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal started
        head = await reader.readuntil(b"\r\n\r\n")
        started += 1
        if b"POST" in head:
            await asyncio.Event().wait()  # stops reading
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n")
        while True:
            writer.write(BODY[:64_000])
            await writer.drain()

    async def upload(client: Client) -> None:
        client.send(request("transfer", b"", content_length="32000000"))
        while True:
            client.send(BODY[:64_000])
            await client.writer.drain()

    async with raw_host(serve, receive_buffer=8_192) as host:
        config = configuration(host)
        config["limits"]["memory_mb"] = 32
        async with program(tmp_path, config) as (process, port):
            before = resident_kb(process.pid)
            uploads = []
            clients = [
                Client(*await asyncio.open_connection("127.0.0.1", port, limit=1024)) for _ in range(40)
            ]
            for number, client in enumerate(clients):
                if number % 2:
                    client.send(request("search"))
                else:
                    uploads.append(asyncio.create_task(upload(client)))
            await until(lambda: started == 40)
            await asyncio.sleep(0.5)
            assert resident_kb(process.pid) - before < 16_000
            for task in uploads:
                task.cancel()
            for client in clients:
                client.close()


# The balancer


def test_a_request_whose_body_is_being_streamed_is_not_hedged() -> None:
    driver = Driver()
    name, actions = driver.arrive(body_incomplete=True)
    driver.handle(BodyPassing(name, 0))
    driver.now_us += 100_000
    for timer in list(driver.timers):
        assert not sends(driver.handle(TimerFired(timer.token)))
    ended = driver.end(name, sends(actions)[0].server, Outcome.CONNECT_FAILED)
    assert not sends(ended) and len(finals(ended)) == 1


def test_deadlines_run_from_the_last_byte_of_a_request() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive(body_incomplete=True)
    server = driver.balancer.servers[0]
    request_ = driver.balancer.requests[name]
    deadline_us, aim_us = request_.deadline_us, request_.aim_us
    driver.now_us += 10_000_000  # a slow body
    assert not is_unresponsive(driver.balancer, server) and not server.in_flight
    driver.handle(BodyEnded(name))
    assert (request_.deadline_us, request_.aim_us) == (deadline_us + 10_000_000, aim_us + 10_000_000)
    assert list(server.in_flight.values()) == [driver.now_us]
    driver.end(name, 0)
    assert driver.balancer.in_flight == 0 and not server.in_flight


def test_a_response_that_begins_before_the_body_ends_is_not_counted_in_flight_again() -> None:
    """From the end of the body to the end of the response, its server counted as unresponsive."""
    driver = Driver(servers=1)
    name, _ = driver.arrive(body_incomplete=True)
    driver.handle(StreamStarted(name, 0))
    driver.handle(BodyEnded(name))
    assert driver.balancer.in_flight == 0 and not driver.balancer.servers[0].in_flight
    driver.end(name, 0)
    assert driver.balancer.in_flight == 0 and not driver.balancer.requests


def test_a_streamed_response_counts_by_its_first_bytes_not_its_reader() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive()
    server = driver.balancer.servers[0]
    driver.now_us += 20_000
    driver.handle(StreamStarted(name, 0))
    assert list(server.breaker.ring) == [False] and driver.balancer.served[0] == 1
    driver.now_us += 60_000_000
    assert not is_unresponsive(driver.balancer, server)
    driver.end(name, 0, latency_us=60_020_000)
    assert list(server.breaker.ring) == [False] and driver.balancer.served[0] == 1
    assert driver.balancer.in_flight == 0 and not driver.balancer.requests


def test_an_aborted_streamed_response_counts_against_its_server() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    driver.end(name, 0, Outcome.RESET)
    assert list(driver.balancer.servers[0].breaker.ring) == [False, True]


def test_settings_may_change_while_a_body_is_streamed() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive(body_incomplete=True)
    driver.handle(SettingsChanged(SETTINGS))
    driver.handle(BodyEnded(name))
    driver.end(name, 0)
    assert driver.balancer.in_flight == 0 and not driver.balancer.requests


@on_loop
async def test_the_sent_part_of_a_body_is_released() -> None:
    """Each streamed body was held in memory three times until its request ended."""
    async with peer(silent) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", BODY, content_length="1000000"))
        await until(lambda: gateway.gateway.buffer.streamed_bodies == 1)
        pending = next(iter(gateway.gateway.pending.values()))
        attempt = pending.attempts[0]
        assert attempt is not None and pending.call.body == b"" and BODY[:100] not in attempt.payload()
        client.close()
