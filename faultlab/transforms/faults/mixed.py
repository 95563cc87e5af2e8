"""Faults of all kinds at once and at random, round by round, while versions of several names come and go."""

from __future__ import annotations

import asyncio

from faultlab.transforms.faults.harness import PASS_THROUGH, FaultHarness
from faultlab.transforms.faults.network import LOSSY_RULE, PAD_BYTES

TRANSFORM_NAMES = [f"t{number}" for number in range(6)]
FAULTS_PER_ROUND = 10  # a round
ROUND_SPREAD_S = 2.0  # of a round's faults
DOWNTIME_RANGE_S = (0.0, 0.5)


async def mixed(field: FaultHarness, rounds: int) -> None:
    """Each round: an order for each of the names, at random gateways, among FAULTS random faults; then all is
    healed, and what was acknowledged has to have come to its end."""
    for _ in range(rounds):
        faults = [asyncio.create_task(_inject_fault(field)) for _ in range(FAULTS_PER_ROUND)]
        orders = [asyncio.create_task(_send_order(field, name)) for name in TRANSFORM_NAMES]
        await asyncio.gather(*orders)
        await asyncio.gather(*faults)
        field.fleet.relay.heal()
        field.fleet.relay.set_rule(PASS_THROUGH)
        await field.wait_quiescent()


async def _send_order(field: FaultHarness, name: str) -> None:
    rng = field.rng
    await asyncio.sleep(rng.uniform(0.0, ROUND_SPREAD_S))
    at = rng.choice(field.fleet.names)
    wait = rng.choice(("quorum", "quorum", "all"))
    if rng.random() < 0.1:
        await field.rollback(at, name, wait)
    else:
        await field.publish(at, field.make_source(name, pad=rng.choice((0, 0, PAD_BYTES))), wait, name)


async def _inject_fault(field: FaultHarness) -> None:
    rng, fleet = field.rng, field.fleet
    await asyncio.sleep(rng.uniform(0.0, ROUND_SPREAD_S))
    victim, kind = rng.choice(fleet.names), rng.randrange(5)
    if kind == 0:
        gateway = fleet.gateways[victim]
        if gateway.process is None or gateway.process.returncode is not None or victim in field.unavailable:
            field.reset_streams()
            return
        field.unavailable.add(victim)
        try:
            await field.kill(victim)
            await asyncio.sleep(rng.uniform(*DOWNTIME_RANGE_S))
            await fleet.start(victim)
        finally:
            field.unavailable.discard(victim)
    elif kind == 1:
        if victim not in field.unavailable:
            field.unavailable.add(victim)
            await field.stop_for(victim, rng.uniform(0.1, 1.5))
            field.unavailable.discard(victim)
    elif kind == 2:
        field.cut(rng.sample(fleet.names, rng.randint(1, len(fleet.names) // 2)))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        fleet.relay.heal()
    elif kind == 3:
        field.reset_streams()
    else:
        field.count_fault("lossy network")
        fleet.relay.set_rule(LOSSY_RULE)
