"""The two sockets of a member: datagrams and streams at one host and port."""

from __future__ import annotations

import errno
import socket

BIND_ATTEMPTS = 50
UDP_BUFFER_BYTES = 1024 * 1024  # a whole fleet that joins at once answers within a millisecond


def open_sockets(host: str, port: int, any_port_if_taken: bool = False) -> tuple[socket.socket, socket.socket]:
    """A UDP socket and a TCP socket, bound to one address, not yet listening.

    Port 0: one that the system chooses, tried anew until it is free for both. `any_port_if_taken`: where the port
    is held (by the old process of an upgrade), one that the system chooses serves. Raises OSError.
    """
    try:
        if port:
            return _bind_pair(host, port)
    except OSError as error:
        if not any_port_if_taken or error.errno != errno.EADDRINUSE:
            raise
    for left in reversed(range(BIND_ATTEMPTS)):
        try:
            return _bind_pair(host, 0)
        except OSError as error:
            if not left or error.errno != errno.EADDRINUSE:
                raise
    raise AssertionError("not reached")


def bind_udp(host: str, port: int) -> socket.socket:
    """A bound UDP socket. Raises OSError."""
    udp = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UDP_BUFFER_BYTES)
        udp.bind((host, port))
        udp.setblocking(False)
    except BaseException:
        udp.close()
        raise
    return udp


def _bind_pair(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    udp = bind_udp(host, port)
    tcp = socket.socket(udp.family, socket.SOCK_STREAM)
    try:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # despite past ones' TIME_WAIT
        tcp.bind((host, udp.getsockname()[1]))
        tcp.listen(1024)  # two sockets with SO_REUSEADDR are told apart no earlier than here
        tcp.setblocking(False)
    except BaseException:
        udp.close()
        tcp.close()
        raise
    return udp, tcp
