"""The count of open connections to hosts stays exact, whatever ends a connection."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable

import pytest

from caperdrift.interface import Outcome, Settings
from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.pool import Pools
from cloverkeel.http1 import Reply
from cloverkeel.memory import MemoryBudget
from cloverkeel.streams import ReadBuffer
from cloverkeel.telemetry import Telemetry
from tests.helpers import SAFE
from tests.raw_host import descriptors_to
from tests.sockets import Exchange, on_loop, peer, reply, until

ROUNDS = 150
REPLY = reply()
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def random_script(rng: random.Random) -> Callable[[Exchange], None]:
    """A script that handles each request by one of many behaviours, chosen at random."""

    def closing(exchange: Exchange, data: bytes) -> None:
        exchange.answer(data)
        exchange.writer.close()

    behaviours: list[Callable[[Exchange], None]] = [
        lambda exchange: exchange.answer(REPLY),
        lambda exchange: exchange.answer(REPLY),
        lambda exchange: exchange.answer(REPLY + REPLY),
        lambda exchange: exchange.answer(REPLY + b"HTTP"),
        lambda exchange: exchange.answer(b"none\r\n\r\n"),
        lambda exchange: exchange.answer(reply(200, bytes(100_000))),
        lambda exchange: exchange.answer(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
        lambda exchange: closing(exchange, REPLY),
        lambda exchange: closing(exchange, b"HTTP/1.1 200 X\r\n\r\nall"),
        lambda exchange: closing(exchange, REPLY[:-2]),
        lambda exchange: exchange.reset(),
        lambda exchange: None,
    ]
    return lambda exchange: rng.choice(behaviours)(exchange)


@pytest.mark.parametrize("seed", range(4))
@on_loop
async def test_the_connection_count_matches_the_open_descriptors(seed: int) -> None:
    rng = random.Random(seed)
    pools = Pools(
        Settings(classes=(SAFE,), connect_timeout_us=30_000, stop_sending_within_us=10_000),
        Telemetry(),
        ReadBuffer(MemoryBudget(192)),
    )
    with socket.socket() as full_listener:
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # with a full backlog no further connection is established
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
        async with peer(random_script(rng)) as first, peer(random_script(rng)) as second:
            serving_addresses = [
                ("127.0.0.1", int(host.address.rpartition(":")[2])) for host in (first, second)
            ]
            addresses = [*serving_addresses, full_listener.getsockname(), ("127.0.0.1", 1)]
            ports, hosts, attempts, ended = (
                {port for _, port in serving_addresses},
                set(),
                list[Attempt](),
                list[Attempt](),
            )

            def on_end(attempt: Attempt, outcome: Outcome, answer: Reply | None) -> None:
                ended.append(attempt)

            def list_host(id_: int, ready: bool = True) -> None:
                pools.update_host(id_, f"h{id_}", rng.choice(addresses), ready, rng.randrange(2))
                hosts.add(pools.hosts[id_])

            def send() -> None:
                attempt = Attempt(rng.choice(list(pools.hosts.values())), lambda: REQUEST, on_end)
                if rng.random() < 0.5:
                    attempt.on_response_begin = lambda attempt, head: lambda piece: None
                attempts.append(attempt)
                pools.send(attempt, rng.choice((0, 1_000, 20_000, 60_000)))

            for id_ in range(4):
                list_host(id_)
            actions: list[Callable[[], object]] = [
                lambda: list_host(rng.randrange(4), rng.random() < 0.8),
                lambda: pools.remove_host(rng.randrange(1, 4)),
                lambda: pools.close_idle(rng.randrange(4)),
                pools.close_longest_idle,
                lambda: pools.cancel(rng.choice(attempts)),
            ]
            for _ in range(ROUNDS):
                for _ in range(rng.randrange(1, 6)):
                    send()
                if rng.random() < 0.3 and attempts:
                    rng.choice(actions)()
                for _ in range(rng.randrange(4)):
                    await asyncio.sleep(0)
                if rng.random() < 0.1:
                    await until(lambda: len(ended) == len(attempts))
                    await until(lambda: pools.open_connections == descriptors_to(ports))
                    assert pools.open_connections == sum(host.open_connections for host in hosts)
            await until(lambda: len(ended) == len(attempts))
            assert len({id(attempt) for attempt in ended}) == len(attempts)  # each ended exactly once
            pools.close()
            await until(lambda: pools.open_connections == descriptors_to(ports) == 0)
            assert (
                not any(host.open_connections or host.idle for host in hosts) and not pools.bodies.streaming
            )
        for filler in fillers:
            filler.close()
