"""A fault case of rounds of random faults of all kinds, while versions of several names are published."""

from __future__ import annotations

import asyncio

from faultlab.transforms.faults.harness import PASS_THROUGH, FaultHarness
from faultlab.transforms.faults.network import LOSSY_RULE, PAD_BYTES

TRANSFORM_NAMES = [f"t{number}" for number in range(6)]
FAULTS_PER_ROUND = 10
ROUND_SPREAD_S = 2.0  # a round's faults and orders begin at random times within this span
DOWNTIME_RANGE_S = (0.0, 0.5)  # between a kill and the restart


async def mixed(harness: FaultHarness, rounds: int) -> None:
    """Each round: send an order for each name, at random gateways, during FAULTS_PER_ROUND random faults;
    then heal all, wait until the fleet is quiescent and check the acknowledged orders."""
    for _ in range(rounds):
        faults = [asyncio.create_task(_inject_fault(harness)) for _ in range(FAULTS_PER_ROUND)]
        orders = [asyncio.create_task(_send_order(harness, name)) for name in TRANSFORM_NAMES]
        await asyncio.gather(*orders)
        await asyncio.gather(*faults)
        harness.fleet.relay.heal()
        harness.fleet.relay.set_rule(PASS_THROUGH)
        await harness.wait_quiescent()


async def _send_order(harness: FaultHarness, name: str) -> None:
    rng = harness.rng
    await asyncio.sleep(rng.uniform(0.0, ROUND_SPREAD_S))
    at = rng.choice(harness.fleet.names)
    wait = rng.choice(("quorum", "quorum", "all"))
    if rng.random() < 0.1:
        await harness.rollback(at, name, wait)
    else:
        await harness.publish(at, harness.make_source(name, pad=rng.choice((0, 0, PAD_BYTES))), wait, name)


async def _inject_fault(harness: FaultHarness) -> None:
    rng, fleet = harness.rng, harness.fleet
    await asyncio.sleep(rng.uniform(0.0, ROUND_SPREAD_S))
    victim, kind = rng.choice(fleet.names), rng.randrange(5)
    if kind == 0:
        gateway = fleet.gateways[victim]
        if gateway.process is None or gateway.process.returncode is not None or victim in harness.unavailable:
            harness.reset_streams()
            return
        harness.unavailable.add(victim)
        try:
            await harness.kill(victim)
            await asyncio.sleep(rng.uniform(*DOWNTIME_RANGE_S))
            await fleet.start(victim)
        finally:
            harness.unavailable.discard(victim)
    elif kind == 1:
        if victim not in harness.unavailable:
            harness.unavailable.add(victim)
            await harness.stop_for(victim, rng.uniform(0.1, 1.5))
            harness.unavailable.discard(victim)
    elif kind == 2:
        harness.cut(rng.sample(fleet.names, rng.randint(1, len(fleet.names) // 2)))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        fleet.relay.heal()
    elif kind == 3:
        harness.reset_streams()
    else:
        harness.count_fault("lossy network")
        fleet.relay.set_rule(LOSSY_RULE)
