"""Opens a member's two sockets, UDP and TCP, on the same host and port."""

from __future__ import annotations

import errno
import socket

BIND_ATTEMPTS = 50  # ports tried until one is free for both UDP and TCP
UDP_BUFFER_BYTES = 1024 * 1024  # when a whole fleet joins at once, the replies arrive within 1 ms


def open_sockets(
    host: str, port: int, any_port_if_taken: bool = False
) -> tuple[socket.socket, socket.socket]:
    """Open a UDP and a TCP socket bound to the same address.

    Port 0: the system chooses a port, again until it is free for both. `any_port_if_taken`: if the port is in
    use (by the old process of an upgrade), bind to a port that the system chooses. Raises OSError.
    """
    try:
        if port:
            return _bind_pair(host, port)
    except OSError as error:
        if not any_port_if_taken or error.errno != errno.EADDRINUSE:
            raise
    for attempts_left in reversed(range(BIND_ATTEMPTS)):
        try:
            return _bind_pair(host, 0)
        except OSError as error:
            if not attempts_left or error.errno != errno.EADDRINUSE:
                raise
    raise AssertionError("not reached")


def bind_udp(host: str, port: int) -> socket.socket:
    """Open a non-blocking UDP socket bound to `host` and `port`. Raises OSError."""
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
        # Allows the bind while earlier connections are in TIME_WAIT.
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tcp.bind((host, udp.getsockname()[1]))
        tcp.listen(1024)  # with SO_REUSEADDR, a port in use fails only here, not in bind
        tcp.setblocking(False)
    except BaseException:
        udp.close()
        tcp.close()
        raise
    return udp, tcp
