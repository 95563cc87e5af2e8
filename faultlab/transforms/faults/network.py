"""What a network does: loss and reordering, partitions at each step, payloads flipped and torn on their way;
and two developers who publish one name at once."""

from __future__ import annotations

import asyncio
from typing import Any

from faultlab.relay import Rule
from faultlab.transforms.faults.field import CLEAN, REST_S, Field
from faultlab.gateways import POLL_S

LOSSY = Rule(drop=0.05, duplicate=0.02, reorder=0.1, delay_s=(0.0, 0.01))
ROUNDS = 3
PAD = 24 * 1024  # so that a payload is fetched by the pieces, not told with its head


async def lossy(field: Field) -> None:
    """5 % loss, doubles, reordering, delays on each path, and streams reset, while versions come and go."""
    field.fleet.relay.set(LOSSY)
    field.count("lossy network")
    try:
        for number in range(ROUNDS):
            await field.publish(field.fleet.names[number], field.source(pad=PAD))
            field.reset()
            await field.rest()
    finally:
        field.fleet.relay.set(CLEAN)


async def partitions(field: Field) -> None:
    """A third cut off, the member that proposes among them, during a publication on each side, an activation
    and a rollback, each healed."""
    fleet = field.fleet
    few = fleet.names[: max(1, len(fleet.names) // 3)]
    most = [name for name in fleet.names if name not in few]
    # During a publication: at both sides, as the cut comes.
    orders = [asyncio.create_task(field.publish(at, field.source())) for at in (few[-1], most[-1])]
    await _cut(field, few, most)
    await asyncio.gather(*orders)
    await _heal(field)
    # During an activation: cut while a candidate is out.
    id = await field.publish(most[-1], field.source())
    async with asyncio.timeout(REST_S):
        while not candidate_or_active(await fleet.status(most[-1]), id):
            await asyncio.sleep(POLL_S)
    await _cut(field, few, most)
    await _heal(field)
    # During a rollback.
    order = asyncio.create_task(field.rollback(most[0]))
    await _cut(field, few, most)
    await order
    await _heal(field)


def candidate_or_active(status: dict[str, Any], id: str) -> bool:
    entry = status["versions"].get("mark", {}) if status else {}
    return any((entry.get(key) or {}).get("id") == id for key in ("active", "candidate"))


async def _cut(field: Field, few: list[str], most: list[str]) -> None:
    """Cut off until the others have come to rest: the few take no epoch that the others do not know."""
    field.cut(few)
    await field.rest(most)
    seen = await field.look()
    top = max(status["epoch"] for at, status in seen.items() if at in most)
    ahead = [at for at in few if at in seen and seen[at]["epoch"] > top]
    if ahead:
        field.broken.append(f"{', '.join(ahead)}: a minority is ahead of epoch {top}")


async def _heal(field: Field) -> None:
    field.fleet.relay.heal()
    await field.rest()


async def together(field: Field) -> None:
    """Two developers publish one name at once, at two gateways: one is taken, on all."""
    names = field.fleet.names
    for number in range(ROUNDS):
        field.count("two at once")
        pair = names[number % len(names)], names[-1 - number % len(names)]
        await asyncio.gather(*(field.publish(at, field.source()) for at in pair))
        await field.rest()


async def flipped(field: Field) -> None:
    """A byte of a payload flipped on its way, or its stream torn in it: fetched again, and never run."""
    relay, left = field.fleet.relay, 0

    def mangle(source: str, target: str, data: bytes) -> bytes:
        nonlocal left
        at = data.find(b"~" * 64)
        if at < 0 or not left:
            return data
        left -= 1
        if left % 2:
            field.count("payload flipped")
            return data[:at] + b"!" + data[at + 1 :]
        field.count("payload torn")
        for stream in list(relay.places[target].streams.open | relay.places[source].streams.open):
            if {stream.source, stream.target} == {source, target}:
                stream.reset()
        return data[:at]

    for number in range(ROUNDS):
        left = 2
        relay.mangle = mangle
        try:
            await field.publish(field.fleet.names[number], field.source(pad=PAD))
            await field.rest()
        finally:
            relay.mangle = None
    if not field.injected["payload flipped"] or not field.injected["payload torn"]:
        field.broken.append("no payload was hurt on its way: the case shows nothing")
