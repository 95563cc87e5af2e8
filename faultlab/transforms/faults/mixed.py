"""Faults of all kinds at once and at random, round by round, while versions of several names come and go."""

from __future__ import annotations

import asyncio

from faultlab.transforms.faults.field import CLEAN, Field
from faultlab.transforms.faults.network import LOSSY, PAD

NAMES = [f"t{number}" for number in range(6)]
FAULTS = 10  # a round
SPREAD_S = 2.0  # of a round's faults
DOWN_S = (0.0, 0.5)


async def mixed(field: Field, rounds: int) -> None:
    """Each round: an order for each of the names, at random gateways, among FAULTS random faults; then all is
    healed, and what was acknowledged has to have come to its end."""
    for _ in range(rounds):
        faults = [asyncio.create_task(_fault(field)) for _ in range(FAULTS)]
        orders = [asyncio.create_task(_order(field, name)) for name in NAMES]
        await asyncio.gather(*orders)
        await asyncio.gather(*faults)
        field.fleet.relay.heal()
        field.fleet.relay.set(CLEAN)
        await field.rest()


async def _order(field: Field, name: str) -> None:
    rng = field.rng
    await asyncio.sleep(rng.uniform(0.0, SPREAD_S))
    at = rng.choice(field.fleet.names)
    wait = rng.choice(("quorum", "quorum", "all"))
    if rng.random() < 0.1:
        await field.rollback(at, name, wait)
    else:
        await field.publish(at, field.source(name, pad=rng.choice((0, 0, PAD))), wait, name)


async def _fault(field: Field) -> None:
    rng, fleet = field.rng, field.fleet
    await asyncio.sleep(rng.uniform(0.0, SPREAD_S))
    victim, kind = rng.choice(fleet.names), rng.randrange(5)
    if kind == 0:
        gateway = fleet.gateways[victim]
        if gateway.process is None or gateway.process.returncode is not None or victim in field.down:
            field.reset()
            return
        field.down.add(victim)
        try:
            await field.kill(victim)
            await asyncio.sleep(rng.uniform(*DOWN_S))
            await fleet.start(victim)
        finally:
            field.down.discard(victim)
    elif kind == 1:
        if victim not in field.down:
            field.down.add(victim)
            await field.stop(victim, rng.uniform(0.1, 1.5))
            field.down.discard(victim)
    elif kind == 2:
        field.cut(rng.sample(fleet.names, rng.randint(1, len(fleet.names) // 2)))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        fleet.relay.heal()
    elif kind == 3:
        field.reset()
    else:
        field.count("lossy network")
        fleet.relay.set(LOSSY)
