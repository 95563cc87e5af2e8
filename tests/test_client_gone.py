"""Clients that have gone: what has not begun for them never begins, and nothing is held for them."""

from __future__ import annotations

from caperdrift.interface import Outcome

from cloverkeel.hosts.attempt import Attempt
from cloverkeel.http1 import Reply
from tests.sockets import configuration, host_id, on_loop, peer, request, running, until


@on_loop
async def test_an_attempt_that_nobody_wants_is_not_written_and_leaves_its_connection_to_the_next() -> None:
    async with peer() as host, running(configuration(host)) as run:
        pools, ends = run.gateway.pools, []

        def on_end(attempt: Attempt, outcome: Outcome, reply: Reply | None) -> None:
            ends.append(outcome)

        known = pools.hosts[host_id(0)]
        for _ in range(2):  # on a new connection, and on a kept one
            pools.send(Attempt(known, request(), on_end, is_wanted=lambda: False), 20_000_000)
            await until(lambda: known.idle)
        assert ends == [Outcome.MOOT, Outcome.MOOT]
        pools.send(Attempt(known, request(), on_end), 20_000_000)
        await until(lambda: len(ends) == 3)
        assert ends[2] is Outcome.OK and len(host.seen) == 1 and host.opened == 1
