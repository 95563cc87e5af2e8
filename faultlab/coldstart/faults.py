"""The faults of a cold start by name: what is done while the gateways start, and once all of them serve."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cloverkeel.fleet.lists.relays import Peer
from faultlab.child import Child
from faultlab.coldstart.liar import relay_name
from faultlab.coldstart.site import FIRST_TRAFFIC_S, ColdStartSite

DOWN_S = 8.0  # the list service does not answer
SLOW_S = 1.0  # added to each response of the list service
COLLAPSE_S = 20.0  # the list service is short of capacity
DRAIN_S = 4.0  # duration of a drain: twice the time within which gateways have to stop sending
CUT_DELAY_S = 1.0  # from the start to the partition
SEEDS_DOWN_S = 5.0  # from the kill of the seeds to their restart
MASS_KILL_SHARE = 0.7  # share of the gateways that are killed at once
SETTLE_S = 1.0  # between the end of a fault and the next step

FaultStep = Callable[[ColdStartSite], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class Fault:
    """The steps of a fault.

    `during_start` begins with the start of the gateways, `after_start` once each has had its first seconds of
    traffic.
    """

    during_start: FaultStep | None = None
    after_start: FaultStep | None = None
    through_relay: bool = False  # member traffic goes through `faultlab.relay`


async def drain_once(site: ColdStartSite) -> None:
    """Drain one host and end the drain."""
    drain = await site.drain()
    await asyncio.sleep(DRAIN_S)
    await site.undrain(drain)


async def service_down(site: ColdStartSite) -> None:
    """The list service does not answer for DOWN_S."""
    await site.service.call("mode", down=True)
    await asyncio.sleep(DOWN_S)
    await site.service.call("mode")


async def service_slow(site: ColdStartSite) -> None:
    """The list service answers with a delay."""
    await site.service.call("mode", slow_s=SLOW_S)


async def service_collapse(site: ColdStartSite) -> None:
    """The list service has a fifth of its rate for COLLAPSE_S."""
    await site.service.call("mode", rate_per_s=site.plan.calls_per_s / 5)
    await asyncio.sleep(COLLAPSE_S)
    await site.service.call("mode", rate_per_s=site.plan.calls_per_s)


async def service_restart(site: ColdStartSite) -> None:
    """The list service restarts at an index far below the one known, and reports a drain soon after."""
    await drain_three_times(site)  # raises the index first, so that it can fall
    await site.service.call("restart", index=1)
    await asyncio.sleep(SETTLE_S)
    await drain_once(site)


async def seeds_killed(site: ColdStartSite) -> None:
    """Kill the seeds once a tenth of the gateways are ready, and start them again after SEEDS_DOWN_S."""
    while len(await site.poll_ready()) < site.plan.gateways / 10:
        await asyncio.sleep(0.02)
    seeds = list(range(site.plan.seeds))
    await site.kill(seeds)
    await asyncio.sleep(SEEDS_DOWN_S)
    await site.restart_gateways(seeds)


async def mass_kill(site: ColdStartSite) -> None:
    """Kill 70 % of the gateways and start them again at one moment."""
    count = round(MASS_KILL_SHARE * site.plan.gateways)
    victims = sorted(site.random.sample(range(site.plan.gateways), count))
    began_s = time.monotonic()
    await site.kill(victims)
    await site.restart_gateways(victims)
    await site.wait_ready_again(victims)
    ready = await site.poll_ready()
    again = {number: ready[number] for number in victims if number in ready}
    await asyncio.sleep(max(0.0, max(again.values(), default=began_s) + FIRST_TRAFFIC_S - time.monotonic()))
    site.restart_record = (began_s, again, victims)
    await drain_once(site)


async def zone_cut(site: ColdStartSite) -> None:
    """Cut the members of the last zone off from the others while all start, until `zone_heal`."""
    if site.relay is None:  # no members
        return
    await asyncio.sleep(CUT_DELAY_S)
    zones = {f"gw-{n}": n % 3 for n in range(site.plan.gateways)}
    site.relay.cut([n for n, z in zones.items() if z == 2], [n for n, z in zones.items() if z != 2])


async def zone_heal(site: ColdStartSite) -> None:
    """Drain a host while the zone is cut off, heal, and drain a host again."""
    await drain_once(site)
    if site.relay is not None:
        site.relay.heal()
    await asyncio.sleep(SETTLE_S)
    await drain_once(site)


async def relay_stop(site: ColdStartSite) -> None:
    """Stop a relay (SIGSTOP) while a drain is being passed on, three times."""
    for _ in range(3):
        relays = await site.watchers()
        if not relays:
            return
        victim = site.random.choice(relays)
        drain = await site.drain()
        site.gateways.signal(victim, signal.SIGSTOP)
        await asyncio.sleep(DRAIN_S)
        await site.undrain(drain)
        site.gateways.signal(victim, signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)


async def bad_peer(site: ColdStartSite) -> None:
    """Add a member that is a relay and sends bad lists from the start."""
    if not site.shared:
        return
    plan, cluster = site.plan, site.plan.cluster(site.seeds)
    members = [Peer(f"gw-{n}", plan.zone(n)) for n in range(plan.gateways)]
    name = relay_name(cluster["name"], members, plan.relays, plan.zone(0))
    settings = {"cluster": cluster | {"bind": "127.0.0.1:0"}, "name": name, "zone": plan.zone(0),
                "entries": site.endpoints(), "oldest": 1}  # fmt: skip
    site.children.append(await Child.start("faultlab.coldstart.liar", settings))


async def drain_three_times(site: ColdStartSite) -> None:
    """Drain a host three times, one drain after the other."""
    for _ in range(3):
        await drain_once(site)


FAULTS: dict[str, Fault] = {
    "none": Fault(after_start=drain_once),
    "service-down": Fault(service_down, drain_once),
    "service-slow": Fault(service_slow, drain_once),
    "service-collapse": Fault(service_collapse, drain_once),
    "service-restart": Fault(after_start=service_restart),
    "seeds-killed": Fault(seeds_killed, drain_once),
    "mass-kill": Fault(after_start=mass_kill),
    "zone-cut": Fault(zone_cut, zone_heal, through_relay=True),
    "relay-stop": Fault(after_start=relay_stop),
    "bad-peer": Fault(bad_peer, drain_three_times),
}
