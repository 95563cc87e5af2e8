"""Starts and stops the fleet's parts of one gateway; imported only if the configuration has a `cluster`.

Membership comes first, as the others depend on it: the number of gateways that share the hosts, lists from
peers, and warm starts from neighbours (docs/coldstart.md). A start waits for other members for at most
COLD_START_WAIT_S, and only without a usable state file.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from caperdrift.interface import LearnedState, Restore

from cloverkeel.config import Config
from cloverkeel.fleet import events, needs
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.snapshot import Snapshot
from cloverkeel.fleet.lists.sharing import ListSharing
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.fleet_size import FleetSizeReporter
from cloverkeel.fleet.warm.neighbours import Neighbours
from cloverkeel.operator import Answer, AsyncGetHandler, GetHandlers, PostHandler

if TYPE_CHECKING:
    from cloverkeel.fleet.ledger.part import LedgerPart
    from cloverkeel.fleet.duties.part import DutiesPart
    from cloverkeel.fleet.rollout.part import RolloutPart
    from cloverkeel.fleet.routes.part import RoutesPart
    from cloverkeel.fleet.state import StateWriter
    from cloverkeel.gateway import Gateway
    from cloverkeel.transforms.activation.part import TransformsPart

INCARNATION_TIMEOUT_S = 1.0  # for the store to return an incarnation
TAKE_OVER_TIMEOUT_S = 0.2  # the same in an upgrade, when the older process may still hold the store
INCARNATION_COUNTER = "incarnation"  # name of the counter in the store
COLD_START_WAIT_S = 0.3  # for other members to answer at a cold start
LEARNED_MAX_AGE_S = 60.0  # learned state is discarded if no list of hosts has arrived by then


class FleetParts:
    """The fleet's parts of one gateway.

    Call `start` before the gateway serves, `leave` at the signal to stop, and `close` at the end.
    """

    def __init__(
        self,
        config: Config,
        cluster: ClusterSettings,
        gateway: Gateway,
        keeper: StateWriter | None,
        take_over: bool,
    ) -> None:
        events.setup_logging()
        self.config, self.cluster, self.gateway = config, cluster, gateway
        self.keeper, self.take_over = keeper, take_over
        self.membership: Membership | None = None
        self.size_reporter: FleetSizeReporter | None = None
        self.sharing: ListSharing | None = None
        self.neighbours: Neighbours | None = None
        self.restore_task: asyncio.Task[None] | None = None
        self.transforms: TransformsPart | None = None
        self.ledger = make_ledger(config, cluster, keeper)  # shared by all parts that keep records in it
        published = config.transforms.fleet if config.transforms is not None else None
        if published is not None and self.ledger is not None:
            from cloverkeel.transforms.activation.part import TransformsPart

            self.transforms = TransformsPart(published, gateway, self.ledger)
        self.routes: RoutesPart | None = None
        if config.routes is not None and self.ledger is not None:
            from cloverkeel.fleet.routes.part import RoutesPart
            from cloverkeel.fleet.routes.serving import RouteTable

            serving = gateway.routes = RouteTable(gateway)
            self.routes = RoutesPart(config.routes, gateway, self.ledger, self.transforms, serving.update)
        self.rollout: RolloutPart | None = None
        if config.rollout is not None and self.ledger is not None:
            from cloverkeel.fleet.rollout.part import RolloutPart
            from cloverkeel.fleet.routes.serving import RouteTable

            self.rollout = RolloutPart(gateway, self.ledger, gateway.routes or RouteTable(gateway))

    def attach_duties(self, duties: DutiesPart) -> None:
        """Let the rollout part use the duties, under which a gateway may conduct a rollout."""
        if self.rollout is not None:
            self.rollout.attach_duties(duties)

    async def start(self) -> None:
        """Start membership, then the other parts. Raises OSError if `cluster.bind` cannot be bound."""
        incarnation = await next_incarnation(self.keeper, self.take_over)
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
        self.size_reporter = FleetSizeReporter(self.membership, gateway)
        if self.cluster.lists:
            must_ask_s = gateway.settings.must_ask_within_us / 1e6
            self.sharing = ListSharing(
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
            await self._wait_for_members(self.membership)
        elif gateway.warm.known.get("endpoints"):
            gateway.known = gateway.warm.known  # newer than the list in the configuration

    async def _wait_for_members(self, membership: Membership) -> None:
        """At a cold start, wait up to COLD_START_WAIT_S for a list and learned state from members."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + COLD_START_WAIT_S
        try:
            async with asyncio.timeout_at(end_s):
                await membership.joined.wait()
        except TimeoutError:
            return
        left_s = end_s - loop.time()
        waits = []
        if self.sharing is not None:
            waits.append(loop.create_task(self.sharing.wait_for_first_list(left_s)))
        if self.neighbours is not None:
            learned = await self.neighbours.gather(left_s)
            if learned is not None:
                self._restore(learned)
        for wait in waits:
            await wait

    def _restore(self, learned: LearnedState) -> None:
        """Restore learned state at the start if a list is there, else once one arrives."""
        assert self.neighbours is not None
        events.event("warm.restored", neighbours=self.neighbours.answer_count, hosts=len(learned.servers))
        if self.sharing is None or self.gateway.known.get("endpoints"):
            classes = self.gateway.names.class_names
            # Restored together with the list, when the gateway starts.
            self.gateway.warm = Snapshot(time.time(), learned, classes=classes)
        else:
            self.restore_task = asyncio.get_running_loop().create_task(self._restore_when_listed(learned))

    async def _restore_when_listed(self, learned: LearnedState) -> None:
        """Restore learned state once a list has arrived: the module accepts it for listed hosts only."""
        assert self.sharing is not None
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(LEARNED_MAX_AGE_S):
                await self.sharing.has_hosts.wait()
        except TimeoutError:
            return
        restore = Restore(learned, int((time.monotonic() - started_s) * 1e6))
        self.gateway.post(lambda: restore)

    def calls(self) -> GetHandlers:
        """Handlers of the operators' GET requests, by path."""
        calls: GetHandlers = {b"/api/members": self.members_answer}
        if self.transforms is not None:
            calls[b"/api/transforms"] = self.transforms.status
        if self.rollout is not None:
            calls[b"/api/rollout"] = self.rollout.status
        return calls

    def posts(self) -> dict[bytes, PostHandler]:
        """Handlers of the operators' POST requests, by path."""
        posts: dict[bytes, PostHandler] = {}
        if self.transforms is not None:
            posts[b"/api/transforms/publish"] = self.transforms.publish
            posts[b"/api/transforms/rollback"] = self.transforms.rollback
        if self.rollout is not None:
            posts[b"/api/rollout/order"] = self.rollout.submit_order
        if self.routes is not None:
            posts[b"/api/routes/apply"] = self.routes.apply
            posts[b"/api/routes/resolve"] = self.routes.resolve
            posts[b"/api/routes/accept"] = self.routes.accept
        return posts

    def asks(self) -> dict[bytes, AsyncGetHandler]:
        """Handlers of the operators' GET requests that are answered asynchronously, by path."""
        return {b"/api/routes": self.routes.show} if self.routes is not None else {}

    def members_answer(self) -> Answer:
        """Answer of `GET /api/members`."""
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
        """Counters for telemetry, by metric name without prefix."""
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
        """Gauges for telemetry, by metric name without prefix."""
        if self.membership is None:
            return {}
        gauges = {"members_live": len(self.membership.live())}
        if self.sharing is not None:
            gauges |= self.sharing.gauges()
        if self.neighbours is not None:
            gauges["warm_neighbours"] = self.neighbours.answer_count
        if self.transforms is not None:
            gauges |= self.transforms.gauges()
        if self.routes is not None:
            gauges |= self.routes.gauges()
        if self.rollout is not None:
            gauges |= self.rollout.gauges()
        return gauges

    def descriptors(self) -> int:
        """Number of open sockets other than those to clients and hosts."""
        return self.membership.descriptors() if self.membership is not None else 0

    async def leave(self) -> None:
        """Close the parts that need membership, then leave the cluster."""
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
        """Stop all parts and close their sockets."""
        if self.restore_task is not None:
            self.restore_task.cancel()
        if self.size_reporter is not None:
            self.size_reporter.close()
        if self.sharing is not None:
            self.sharing.close()
        if self.membership is not None:
            self.membership.close()


def make_ledger(config: Config, cluster: ClusterSettings, keeper: StateWriter | None) -> LedgerPart | None:
    """Create the ledger part, if another part keeps records in it and there is a state store.

    That all parts have the same size is checked with the configuration (needs.py).
    """
    sizes = needs.ledger_sizes(config)
    if not sizes or keeper is None:
        return None
    from cloverkeel.fleet.ledger.interface import Settings
    from cloverkeel.fleet.ledger.part import LedgerPart

    size = max(sizes.values())
    return LedgerPart(keeper, Settings(size=size, reap_after_s=cluster.reap_after_s))


async def next_incarnation(keeper: StateWriter | None, take_over: bool) -> int:
    """An incarnation higher than any that this gateway's name had.

    It is the store's counter, incremented and written before use. Without a store, or if the store does not
    answer in time, it is the wall clock in milliseconds. In an upgrade the older process may hold the store
    until it ends: then its number is read and the next one used, and the counter catches up once this process
    has the store.
    """
    clock = time.time_ns() // 1_000_000
    if keeper is None:
        return clock
    number = asyncio.wrap_future(keeper.request_increment(INCARNATION_COUNTER))
    # Marks an exception that comes after the wait as retrieved.
    number.add_done_callback(lambda future: future.cancelled() or future.exception())
    done, _ = await asyncio.wait(
        [number], timeout=TAKE_OVER_TIMEOUT_S if take_over else INCARNATION_TIMEOUT_S
    )
    if done and number.exception() is None:
        return number.result()
    last = await asyncio.to_thread(keeper.read_counter, INCARNATION_COUNTER) if take_over else 0
    if last:
        return last + 1
    events.event("members.incarnation", source="clock", incarnation=clock, reason="the state store gave none")
    return clock
