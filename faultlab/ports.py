"""Allocates ports for the processes that the lab and the tests start, and checks who listens on one.

A port that the system chooses (`bind` to port 0) is free again once that socket is closed: the system may
give it to another socket or use it for an outgoing connection before the process that it was meant for binds
it. So ports are drawn below the system's ephemeral range, and no port is allocated twice, also not by runs at
the same time: each process locks one byte of a common file for every port that it allocates, until it exits.
"""

from __future__ import annotations

import contextlib
import fcntl
import functools
import os
import random
import socket
import tempfile
from pathlib import Path

LOOPBACK = "127.0.0.1"
MIN_PORT = 15_000
TRIES_PER_PORT = 200
LISTEN_STATE = "0A"  # state of a listening socket in /proc/net/tcp
LOCK_FILE = Path(tempfile.gettempdir()) / f"firledge-ports-{os.getuid()}"
_allocated: set[tuple[str, int]] = set()
_random = random.SystemRandom()  # not seeded: runs at the same time must not draw the same ports


def _ephemeral_start() -> int:
    """The first port of the system's ephemeral range (ip(7), `ip_local_port_range`)."""
    return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])


def _is_free(host: str, port: int) -> bool:
    """Whether the port can be bound for both TCP and UDP."""
    with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
        try:
            stream.bind((host, port))
            datagram.bind((host, port))
        except OSError:
            return False
    return True


@functools.cache
def _lock_file() -> int:
    """The descriptor of the lock file, open until the process exits: closing it would release the locks."""
    return os.open(LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _lock_port(port: int) -> bool:
    """Lock the port for this process; False if another process has the lock.

    The locks belong to the process and end with it (fcntl(2), record locks).
    """
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port(host: str = LOOPBACK) -> int:
    """Allocate a port of `host` that is free for TCP and UDP and that no other call returns.

    Raises OSError if none is found in TRIES_PER_PORT draws.
    """
    end = _ephemeral_start()
    for _ in range(TRIES_PER_PORT):
        port = _random.randrange(MIN_PORT, end)
        if (host, port) not in _allocated and _lock_port(port) and _is_free(host, port):
            _allocated.add((host, port))
            return port
    raise OSError(f"no port of {host} from {MIN_PORT} to {end} is free")


def free_ports(count: int) -> list[int]:
    """Allocate `count` ports of the loopback address."""
    return [free_port() for _ in range(count)]


def _listening_sockets(host: str, port: int) -> set[str]:
    """The sockets that listen at the address, as the links in /proc/PID/fd name them (proc(5))."""
    address = f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{port:04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {f"socket:[{row[9]}]" for row in rows if row[1] == address and row[3] == LISTEN_STATE}


def listens(pid: int, port: int, host: str = LOOPBACK) -> bool:
    """Whether process `pid` has a socket that listens at this address; False if the process has exited."""
    listening = _listening_sockets(host, port)
    with contextlib.suppress(OSError):
        for link in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if os.readlink(link) in listening:
                    return True
    return False
