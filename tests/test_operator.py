"""The operators' HTTP server: valid and invalid requests, and clients that hold their connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cloverkeel import operator as operator_module
from cloverkeel.memory import MEBIBYTE, MemoryBudget
from cloverkeel.operator import POST_LIMIT, Answer, OperatorServer
from tests.sockets import Client, Message, on_loop, until

READY = b"GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n"


@asynccontextmanager
async def operators(
    status: int = 200, memory: MemoryBudget | None = None
) -> AsyncIterator[tuple[OperatorServer, int]]:
    async def post_handler(query: bytes, body: bytes) -> Answer:
        if query == b"never":
            await asyncio.Event().wait()
        if query == b"faulty":
            raise LookupError("a fault of the program")
        return Answer(200, query + b" %d" % len(body))

    async def get_handler(query: bytes) -> Answer:
        return await post_handler(query, b"")

    get_handlers = {b"/api/ready": lambda: Answer(status, b"so\n")}
    server = OperatorServer(
        ("127.0.0.1", 0), get_handlers, {b"/api/take": post_handler}, {b"/api/tell": get_handler}, memory
    )
    await server.start()
    assert server.listener is not None
    try:
        yield server, server.listener.sockets[0].getsockname()[1]
    finally:
        server.close()


async def connect(port: int) -> Client:
    return Client(*await asyncio.open_connection("127.0.0.1", port))


async def call(port: int, data: bytes) -> Message:
    """The response, once the server has closed the connection."""
    client = await connect(port)
    answer = await client.ask(data)
    assert await client.reader.read() == b""
    assert answer.headers["connection"] == "close"
    client.close()
    return answer


@on_loop
async def test_a_request_is_answered_and_closed_however_it_is_split() -> None:
    async with operators() as (_, port):
        assert (await call(port, READY)).body == b"so\n"
        client = await connect(port)
        for byte in READY:
            client.send(bytes([byte]))
            await asyncio.sleep(0)
        assert (await client.answer()).status == 200
        client.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (READY.replace(b"ready", b"ready?x=1"), 200),
        (READY.replace(b"ready", b"other"), 404),
        (READY.replace(b"GET", b"POST"), 405),
        (READY.replace(b"GET", b"DELETE"), 405),
        (b"nonsense\r\n\r\n", 400),
        (b"\x16\x03\x01" + bytes(40), 400),
        (READY[:-2] + b"Content-Length: x\r\n\r\n", 400),
        (READY[:-2] + b"A: " + b"a" * 200_000, 413),
    ],
)
@on_loop
async def test_requests_get_the_http_status_that_applies(data: bytes, status: int) -> None:
    async with operators() as (_, port):
        assert (await call(port, data)).status == status


def post(size: int, query: str = "a=b", content_type: str = "application/octet-stream") -> bytes:
    head = (
        f"POST /api/take?{query} HTTP/1.1\r\nContent-Type: {content_type}\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + bytes(size)


@on_loop
async def test_a_body_is_accepted_up_to_its_limit_and_only_by_post_handlers() -> None:
    async with operators() as (_, port):
        for size in (0, 1, POST_LIMIT):
            answer = await call(port, post(size))
            assert (answer.status, answer.body) == (200, b"a=b %d" % size)
        assert (await call(port, post(POST_LIMIT + 1))).status == 413
        assert (
            await call(port, post(1, content_type="text/plain"))
        ).status == 415  # a web form sends this type
        assert (await call(port, READY.replace(b"ready", b"take"))).status == 405


@on_loop
async def test_an_async_get_handler_gets_the_query_and_only_get_and_head() -> None:
    async with operators() as (_, port):
        got = READY.replace(b"ready", b"tell?x=y")
        assert (await call(port, got)).body == b"x=y 0"
        head = Client(*await asyncio.open_connection("127.0.0.1", port))
        head.send(got.replace(b"GET", b"HEAD"))
        answer = await head.reader.read()
        assert b" 200 " in answer and answer.endswith(b"\r\n\r\n")
        head.close()
        assert (await call(port, got.replace(b"GET", b"DELETE"))).status == 405


@on_loop
async def test_a_handler_that_never_ends_gives_504(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_module, "HANDLER_TIMEOUT_S", 0.05)
    async with operators() as (server, port):
        assert (await call(port, post(1, "never"))).status == 504 and not server.tasks


@on_loop
async def test_an_exception_in_a_handler_gives_500_and_is_reported() -> None:
    """Guards against a client that gets no response on a connection that stays open."""
    faults: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
    async with operators() as (server, port):
        assert (await call(port, post(1, "faulty"))).status == 500 and not server.tasks
        assert [type(fault["exception"]) for fault in faults] == [LookupError]


@on_loop
async def test_one_request_per_connection() -> None:
    async with operators() as (_, port):
        assert (await call(port, READY + READY)).status == 200


@on_loop
async def test_held_connections_are_closed_for_others_and_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_module, "MAX_CONNECTIONS", 3)
    monkeypatch.setattr(operator_module, "REQUEST_TIMEOUT_S", 0.2)
    async with operators() as (server, port):
        holding = [await connect(port) for _ in range(5)]
        for client in holding:
            client.send(READY[:9])
        assert (await call(port, READY)).status == 200  # although other clients hold connections
        assert len(server.connections) <= 3
        assert (await holding[-1].answer()).status == 408
        for client in holding:
            client.close()
        await until(lambda: not server.connections)


@on_loop
async def test_calls_do_not_take_more_memory_than_is_left() -> None:
    """Guards against operators' bodies and fields that nothing counts against the memory limit."""
    memory = MemoryBudget(32, own_bytes=31 * MEBIBYTE)
    head = b"POST /api/take HTTP/1.1\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n"
    unfinished = head % POST_LIMIT + bytes(100_000)
    async with operators(memory=memory) as (server, port):
        clients = [await connect(port) for _ in range(20)]
        for client in clients:
            client.send(unfinished)
        refused = asyncio.gather(*(client.answer() for client in clients[10:]))
        assert all(answer.status == 503 for answer in await refused)
        assert memory.used <= memory.capacity
        assert (await call(port, READY)).status == 200  # still answered
        for client in clients:
            client.close()
        await until(lambda: not server.connections)
        assert memory.used == 0
