"""Clients in numbers: hundreds of connections that write slowly, stop half-way or read slowly."""

from __future__ import annotations

import contextlib
import itertools
import os
import select
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

SEND_BYTES = 1 << 18
ID_FIELD = b"X-Call-Id: "
_numbers = itertools.count(1)


def next_id() -> str:
    """An id that no other request has."""
    return f"peer-{os.getpid():x}-{next(_numbers):08x}"


def request_head(method: str, target: str, *fields: str, length: int | None = None) -> bytes:
    """A request's head with an id of its own."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: lab",
        f"{ID_FIELD.decode()}{next_id()}",
        *fields,
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def with_new_id(data: bytes) -> bytes:
    """The same request with another id of the same length."""
    at = data.find(ID_FIELD)
    if at < 0:
        return data
    at += len(ID_FIELD)
    return data[:at] + next_id().encode() + data[data.index(b"\r\n", at) :]


def many_fields(size: int, unfinished: bool) -> bytes:
    """A head of `size` bytes made of the shortest fields; `unfinished` leaves out the blank line."""
    head = request_head("POST", "/transfer/many", length=0)[:-2]
    head += b"".join(b"a:\r\n" for _ in range((size - len(head)) // 4))
    return head if unfinished else head + b"\r\n"


def chunked_request(body: bytes, size: int, pace: str = "chunks") -> bytes:
    """A request whose body comes in chunks of `size` bytes."""
    pieces = (body[at : at + size] for at in range(0, len(body), size))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return request_head("POST", f"/transfer/{pace}", "Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"


@dataclass
class Peer:
    """One connection and what is still to be written to it."""

    socket: socket.socket
    data: bytes
    sent: int = 0
    ended: bool = False  # the other side has closed or reset the connection


@dataclass
class Crowd:
    """Peers that all write the same kind of request; `step` moves each as far as it goes without waiting."""

    port: int
    peers: list[Peer] = field(default_factory=list)
    reads_bytes: int = 1 << 16  # read of each connection at a step; 0: they do not read
    leaves: bool = False  # a peer that has written all of its data closes, and comes back
    writes_bytes: int = SEND_BYTES  # written to each connection at a step

    def connect(self, count: int, data: bytes | list[bytes], receive_buffer: int = 0) -> None:
        """Open `count` connections that are to write `data`."""
        for number in range(count):
            one = socket.socket()
            if receive_buffer:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            one.connect(("127.0.0.1", self.port))
            one.setblocking(False)
            self.peers.append(Peer(one, data[number] if isinstance(data, list) else data))

    def step(self) -> None:
        """Write and read what the system takes and has."""
        for peer in self.peers:
            if not peer.ended:
                self._write(peer)
                self._read(peer)
            if self.leaves and (peer.ended or peer.sent == len(peer.data)):
                self._come_back(peer)

    def _come_back(self, peer: Peer) -> None:
        peer.socket.close()
        peer.socket = socket.create_connection(("127.0.0.1", self.port))
        peer.socket.setblocking(False)
        peer.data = with_new_id(peer.data)
        peer.sent, peer.ended = 0, False

    def _write(self, peer: Peer) -> None:
        if peer.sent == len(peer.data):
            return
        try:
            peer.sent += peer.socket.send(peer.data[peer.sent : peer.sent + self.writes_bytes])
        except BlockingIOError:
            return
        except OSError:
            peer.ended = True

    def _read(self, peer: Peer) -> None:
        if not self.reads_bytes:
            return
        try:
            data = peer.socket.recv(self.reads_bytes)
        except BlockingIOError:
            return
        except OSError:
            peer.ended = True
            return
        peer.ended = not data

    def run(self, seconds: float, interval_s: float = 0.01) -> None:
        """Move all peers for some time. Blocks: the gateway and its hosts are other processes."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            self.step()
            select.select([], [], [], interval_s)

    def close(self) -> None:
        """Close all connections."""
        for peer in self.peers:
            peer.socket.close()


@contextlib.contextmanager
def crowd(port: int) -> Iterator[Crowd]:
    """A crowd whose connections are closed at the end."""
    one = Crowd(port)
    try:
        yield one
    finally:
        one.close()
