"""Hosts and clients whose streamed bodies are written and read under a test's control."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from tests.sockets import request


BODY = b"".join(hashlib.sha256(b"%d" % n).digest() for n in range(12_000))  # 384,000 bytes without repetition
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_host(serve: Serve, receive_buffer: int = 0) -> AsyncIterator[str]:
    """A host that runs `serve` for each connection."""
    tasks: set[asyncio.Task[None]] = set()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    listener = socket.create_server(("127.0.0.1", 0))
    if receive_buffer:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    server = await asyncio.start_server(run, sock=listener, limit=1024)
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


def single_response(head: str, *pieces: bytes, reset: bool = False) -> Serve:
    """A host that answers the first request of a connection with this head and body, and then closes it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head.replace("\n", "\r\n").encode() + b"\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if reset:
            await asyncio.sleep(0.05)
            zero_linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
            writer.transport.abort()

    return serve


def chunked(data: bytes, size: int = 50_000, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    """The body in chunked transfer coding, with an optional extension on each chunk and a trailer."""
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n%s\r\n" % trailer


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """Reads a body in chunked transfer coding; fails at a trailer."""
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Reads a response head; returns its status and headers."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return int(first.split(" ")[1]), {name.lower(): value.strip() for name, _, value in fields}


def head_with_length(body: bytes) -> str:
    """A response head with the body's Content-Length, for `single_response`."""
    return f"HTTP/1.1 200 OK\nContent-Length: {len(body)}\n"


def chunked_request(body: bytes, x_blank: str = "") -> bytes:
    """A chunked request with this body, which is already in chunks."""
    head = request("transfer", content_length="", transfer_encoding="chunked", x_blank=x_blank)
    return head + body
