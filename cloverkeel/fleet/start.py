"""The fleet's parts beside one gateway, started and ended together; imported only where the configuration has
a `cluster`.

Membership comes first, for all else rests on it. What is built on it (lists by peers, warm starts) begins in
`FleetParts.start` after `membership.start()`, which is before clients are let in, and ends in `close`.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from cloverkeel.config import Config
from cloverkeel.fleet import events
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.operator import Answer

if TYPE_CHECKING:
    from cloverkeel.fleet.state import Keeper
    from cloverkeel.gateway import Gateway

NUMBER_S = 1.0  # for the store to hand out an incarnation
TAKEN_OVER_S = 0.2  # the same, where the process before may still hold the store
COUNTER = "incarnation"


class FleetParts:
    """`start` before the gateway serves, `leave` at the signal to end, `close` at the end."""

    def __init__(
        self,
        config: Config,
        cluster: ClusterSettings,
        gateway: Gateway,
        keeper: Keeper | None,
        take_over: bool,
    ) -> None:
        events.setup()
        self.config, self.cluster, self.gateway = config, cluster, gateway
        self.keeper, self.take_over = keeper, take_over
        self.membership: Membership | None = None

    async def start(self) -> None:
        """Raises OSError where `cluster.bind` cannot be had."""
        incarnation = await incarnation_of(self.keeper, self.take_over)
        zones = {number: name for name, number in self.config.names.zones.items()}
        zone = zones.get(self.config.settings.zone, "")
        self.membership = Membership(self.cluster, self.config.name, zone, incarnation, self.take_over)
        await self.membership.start()

    def answer(self) -> Answer:
        """`GET /api/members`."""
        membership = self.membership
        if membership is None:
            return Answer(503, b"membership has not started yet\n")
        body = {
            "cluster": self.cluster.name,
            "name": membership.name,
            "address": membership.address,
            "state": membership.state,
            "members": membership.table(),
        }
        return Answer(200, json.dumps(body).encode(), (b"Content-Type", b"application/json"))

    def counters(self) -> dict[str, int]:
        """For telemetry."""
        if self.membership is None:
            return {}
        return {f"members_{name}_total": number for name, number in self.membership.counters().items()}

    def gauges(self) -> dict[str, int]:
        return {"members_live": len(self.membership.live())} if self.membership is not None else {}

    def descriptors(self) -> int:
        """Sockets that this process has open beside those of its clients and hosts."""
        return self.membership.descriptors() if self.membership is not None else 0

    async def leave(self) -> None:
        if self.membership is not None:
            await self.membership.leave()

    def close(self) -> None:
        if self.membership is not None:
            self.membership.close()


async def incarnation_of(keeper: Keeper | None, take_over: bool) -> int:
    """A number higher than any that this gateway's name had: the store's counter, raised and written before
    it is used; without a store, or where it does not answer in time, the wall clock in milliseconds.

    In an upgrade the process before may hold the store until it ends: its number is read, and the next one
    used; the counter follows once the store is this process's.
    """
    clock = time.time_ns() // 1_000_000
    if keeper is None:
        return clock
    number = asyncio.wrap_future(keeper.number(COUNTER))
    number.add_done_callback(lambda late: late.cancelled() or late.exception())  # it may come after the wait
    done, _ = await asyncio.wait([number], timeout=TAKEN_OVER_S if take_over else NUMBER_S)
    if done and number.exception() is None:
        return number.result()
    last = await asyncio.to_thread(keeper.peek, COUNTER) if take_over else 0
    if last:
        return last + 1
    events.event("members.incarnation", source="clock", incarnation=clock, reason="the store gave none")
    return clock
