"""The fleet's parts beside one gateway, started and ended together; imported only where the configuration has
a `cluster`.

Membership comes first, for all else rests on it: the number of gateways that share the hosts, lists by peers,
warm starts by neighbours (docs/coldstart.md). A start waits for other members' words FIRST_S at most, and
only without a state file that can be used.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from caperdrift.interface import Learned, Restore

from cloverkeel.config import Config
from cloverkeel.fleet import events, needs
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.kept import Snapshot
from cloverkeel.fleet.lists.sharing import Sharing
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.sharers import Sharers
from cloverkeel.fleet.warm.neighbours import Neighbours
from cloverkeel.operator import Answer, Ask, Calls, Post

if TYPE_CHECKING:
    from cloverkeel.fleet.ledger.part import LedgerPart
    from cloverkeel.fleet.duties.part import DutiesPart
    from cloverkeel.fleet.rollout.part import RolloutPart
    from cloverkeel.fleet.routes.part import RoutesPart
    from cloverkeel.fleet.state import Keeper
    from cloverkeel.gateway import Gateway
    from cloverkeel.transforms.activation.parts import TransformParts

NUMBER_S = 1.0  # for the store to hand out an incarnation
TAKEN_OVER_S = 0.2  # the same, where the process before may still hold the store
COUNTER = "incarnation"
FIRST_S = 0.3  # for members to say what they know
LEARNED_S = 60.0  # what they learned is used if there is a list of hosts by then


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
        self.sharers: Sharers | None = None
        self.sharing: Sharing | None = None
        self.neighbours: Neighbours | None = None
        self.restoring: asyncio.Task[None] | None = None
        self.transforms: TransformParts | None = None
        self.ledger = ledger_of(config, cluster, keeper)  # one, whatever parts keep records in it
        published = config.transforms.fleet if config.transforms is not None else None
        if published is not None and self.ledger is not None:
            from cloverkeel.transforms.activation.parts import TransformParts

            self.transforms = TransformParts(published, gateway, self.ledger)
        self.routes: RoutesPart | None = None
        if config.routes is not None and self.ledger is not None:
            from cloverkeel.fleet.routes.part import RoutesPart
            from cloverkeel.fleet.routes.serving import Serving

            serving = gateway.routes = Serving(gateway)
            self.routes = RoutesPart(config.routes, gateway, self.ledger, self.transforms, serving.take)
        self.rollout: RolloutPart | None = None
        if config.rollout is not None and self.ledger is not None:
            from cloverkeel.fleet.rollout.part import RolloutPart
            from cloverkeel.fleet.routes.serving import Serving

            self.rollout = RolloutPart(gateway, self.ledger, gateway.routes or Serving(gateway))

    def conduct_by(self, duties: DutiesPart) -> None:
        """The duties under which this gateway may conduct a rollout."""
        if self.rollout is not None:
            self.rollout.conduct_by(duties)

    async def start(self) -> None:
        """Raises OSError where `cluster.bind` cannot be had."""
        incarnation = await incarnation_of(self.keeper, self.take_over)
        zones = {number: name for name, number in self.config.names.zones.items()}
        zone = zones.get(self.config.settings.zone, "")
        self.membership = Membership(self.cluster, self.config.name, zone, incarnation, self.take_over)
        await self.membership.start()
        if self.ledger is not None:
            self.ledger.start(self.membership)
        if self.transforms is not None:
            await self.transforms.start(self.membership.name)
        if self.routes is not None:
            await self.routes.start(self.take_over)
        if self.rollout is not None:
            self.rollout.start(self.membership)
        gateway = self.gateway
        self.sharers = Sharers(self.membership, gateway)
        if self.cluster.lists:
            must_ask_s = gateway.settings.must_ask_within_us / 1e6
            self.sharing = Sharing(
                self.cluster,
                self.membership,
                gateway.discovery,
                gateway.on_list,
                self.config.sockets,
                must_ask_s,
                gateway.settings.proxies,
            )
            gateway.lists = self.sharing
            self.sharing.start()
        if self.cluster.warm:
            self.neighbours = Neighbours(self.membership, gateway)
        if gateway.warm is None:
            await self._hear_members(self.membership)
        elif gateway.warm.known.get("endpoints"):
            gateway.known = gateway.warm.known  # newer than the configuration's

    async def _hear_members(self, membership: Membership) -> None:
        """A cold start: what members have, a list and what they learned, as far as it comes in FIRST_S."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FIRST_S
        try:
            async with asyncio.timeout_at(end_s):
                await membership.joined.wait()
        except TimeoutError:
            return
        left_s = end_s - loop.time()
        waits = []
        if self.sharing is not None:
            waits.append(loop.create_task(self.sharing.first(left_s)))
        if self.neighbours is not None:
            learned = await self.neighbours.within(left_s)
            if learned is not None:
                self._restore(learned)
        for wait in waits:
            await wait

    def _restore(self, learned: Learned) -> None:
        assert self.neighbours is not None
        events.event("warm.restored", neighbours=self.neighbours.answers, hosts=len(learned.servers))
        if self.sharing is None or self.gateway.known.get("endpoints"):
            classes = self.gateway.names.by_class
            self.gateway.warm = Snapshot(time.time(), learned, classes=classes)  # with the list, at the start
        else:
            self.restoring = asyncio.get_running_loop().create_task(self._restore_when_listed(learned))

    async def _restore_when_listed(self, learned: Learned) -> None:
        """The module takes up what was learned of listed hosts alone."""
        assert self.sharing is not None
        begun_s = time.monotonic()
        try:
            async with asyncio.timeout(LEARNED_S):
                await self.sharing.listed.wait()
        except TimeoutError:
            return
        restore = Restore(learned, int((time.monotonic() - begun_s) * 1e6))
        self.gateway.post(lambda: restore)

    def calls(self) -> Calls:
        """Operators' calls, by path; `posts` and `asks` as well."""
        calls: Calls = {b"/api/members": self.answer}
        if self.transforms is not None:
            calls[b"/api/transforms"] = self.transforms.status
        if self.rollout is not None:
            calls[b"/api/rollout"] = self.rollout.status
        return calls

    def posts(self) -> dict[bytes, Post]:
        posts: dict[bytes, Post] = {}
        if self.transforms is not None:
            posts[b"/api/transforms/publish"] = self.transforms.publish
            posts[b"/api/transforms/rollback"] = self.transforms.rollback
        if self.rollout is not None:
            posts[b"/api/rollout/order"] = self.rollout.order
        if self.routes is not None:
            posts[b"/api/routes/apply"] = self.routes.apply
            posts[b"/api/routes/resolve"] = self.routes.resolve
            posts[b"/api/routes/accept"] = self.routes.accept
        return posts

    def asks(self) -> dict[bytes, Ask]:
        return {b"/api/routes": self.routes.show} if self.routes is not None else {}

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
            "lists": self.sharing.status() if self.sharing is not None else None,
            "members": [
                {**row, "relay": self.sharing is not None and self.sharing.is_relay(row["name"])}
                for row in membership.table()
            ],
        }
        return Answer(200, json.dumps(body).encode(), (b"Content-Type", b"application/json"))

    def counters(self) -> dict[str, int]:
        """For telemetry."""
        if self.membership is None:
            return {}
        counts = {f"members_{name}_total": n for name, n in self.membership.counters().items()}
        if self.sharing is not None:
            counts |= self.sharing.counters()
        if self.ledger is not None:
            counts |= self.ledger.counters()
        if self.routes is not None:
            counts |= self.routes.counters()
        return counts

    def gauges(self) -> dict[str, int]:
        if self.membership is None:
            return {}
        figures = {"members_live": len(self.membership.live())}
        if self.sharing is not None:
            figures |= self.sharing.gauges()
        if self.neighbours is not None:
            figures["warm_neighbours"] = self.neighbours.answers
        if self.transforms is not None:
            figures |= self.transforms.gauges()
        if self.routes is not None:
            figures |= self.routes.gauges()
        if self.rollout is not None:
            figures |= self.rollout.gauges()
        return figures

    def descriptors(self) -> int:
        """Sockets that this process has open beside those of its clients and hosts."""
        return self.membership.descriptors() if self.membership is not None else 0

    async def leave(self) -> None:
        if self.rollout is not None:
            self.rollout.close()
        if self.routes is not None:
            self.routes.close()
        if self.transforms is not None:
            self.transforms.close()
        if self.ledger is not None:
            await self.ledger.close()
        if self.membership is not None:
            await self.membership.leave()

    def close(self) -> None:
        if self.restoring is not None:
            self.restoring.cancel()
        if self.sharers is not None:
            self.sharers.close()
        if self.sharing is not None:
            self.sharing.close()
        if self.membership is not None:
            self.membership.close()


def ledger_of(config: Config, cluster: ClusterSettings, keeper: Keeper | None) -> LedgerPart | None:
    """The ledger's part, where another part keeps records in it and there is a state store; equal sizes are
    the configuration's check (needs.py)."""
    sizes = needs.ledger_sizes(config)
    if not sizes or keeper is None:
        return None
    from cloverkeel.fleet.ledger.interface import Settings
    from cloverkeel.fleet.ledger.part import LedgerPart

    size = max(sizes.values())
    return LedgerPart(keeper, Settings(size=size, reap_after_s=cluster.reap_after_s))


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
