"""What a network does: loss and reordering, partitions at each step, payloads flipped and torn on their way;
and two developers who publish one name at once."""

from __future__ import annotations

import asyncio
from typing import Any

from faultlab.relay import Rule
from faultlab.transforms.faults.harness import PASS_THROUGH, QUIESCENCE_TIMEOUT_S, FaultHarness
from faultlab.gateway_fleet import POLL_S

LOSSY_RULE = Rule(drop=0.05, duplicate=0.02, reorder=0.1, delay_s=(0.0, 0.01))
ROUNDS = 3
PAD_BYTES = 24 * 1024  # so that a payload is fetched by the pieces, not told with its head


async def lossy(field: FaultHarness) -> None:
    """5 % loss, doubles, reordering, delays on each path, and streams reset, while versions come and go."""
    field.fleet.relay.set_rule(LOSSY_RULE)
    field.count_fault("lossy network")
    try:
        for number in range(ROUNDS):
            await field.publish(field.fleet.names[number], field.make_source(pad=PAD_BYTES))
            field.reset_streams()
            await field.wait_quiescent()
    finally:
        field.fleet.relay.set_rule(PASS_THROUGH)


async def partitions(field: FaultHarness) -> None:
    """A third cut off, the member that proposes among them, during a publication on each side, an activation
    and a rollback, each healed."""
    fleet = field.fleet
    few = fleet.names[: max(1, len(fleet.names) // 3)]
    most = [name for name in fleet.names if name not in few]
    # During a publication: at both sides, as the cut comes.
    orders = [asyncio.create_task(field.publish(at, field.make_source())) for at in (few[-1], most[-1])]
    await _cut_until_quiescent(field, few, most)
    await asyncio.gather(*orders)
    await _heal_and_wait(field)
    # During an activation: cut while a candidate is out.
    id = await field.publish(most[-1], field.make_source())
    async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
        while not is_candidate_or_active(await fleet.status(most[-1]), id):
            await asyncio.sleep(POLL_S)
    await _cut_until_quiescent(field, few, most)
    await _heal_and_wait(field)
    # During a rollback.
    order = asyncio.create_task(field.rollback(most[0]))
    await _cut_until_quiescent(field, few, most)
    await order
    await _heal_and_wait(field)


def is_candidate_or_active(status: dict[str, Any], id: str) -> bool:
    entry = status["versions"].get("mark", {}) if status else {}
    return any((entry.get(key) or {}).get("id") == id for key in ("active", "candidate"))


async def _cut_until_quiescent(field: FaultHarness, few: list[str], most: list[str]) -> None:
    """Cut off until the others have come to rest: the few take no epoch that the others do not know."""
    field.cut(few)
    await field.wait_quiescent(most)
    seen = await field.check_statuses()
    top = max(status["epoch"] for at, status in seen.items() if at in most)
    ahead = [at for at in few if at in seen and seen[at]["epoch"] > top]
    if ahead:
        field.violations.append(f"{', '.join(ahead)}: a minority is ahead of epoch {top}")


async def _heal_and_wait(field: FaultHarness) -> None:
    field.fleet.relay.heal()
    await field.wait_quiescent()


async def together(field: FaultHarness) -> None:
    """Two developers publish one name at once, at two gateways: one is taken, on all."""
    names = field.fleet.names
    for number in range(ROUNDS):
        field.count_fault("two at once")
        pair = names[number % len(names)], names[-1 - number % len(names)]
        await asyncio.gather(*(field.publish(at, field.make_source()) for at in pair))
        await field.wait_quiescent()


async def flipped(field: FaultHarness) -> None:
    """A byte of a payload flipped on its way, or its stream torn in it: fetched again, and never run."""
    relay, left = field.fleet.relay, 0

    def mangle(source: str, target: str, data: bytes) -> bytes:
        nonlocal left
        at = data.find(b"~" * 64)
        if at < 0 or not left:
            return data
        left -= 1
        if left % 2:
            field.count_fault("payload flipped")
            return data[:at] + b"!" + data[at + 1 :]
        field.count_fault("payload torn")
        for stream in list(
            relay.members[target].streams.open_streams | relay.members[source].streams.open_streams
        ):
            if {stream.source, stream.target} == {source, target}:
                stream.reset()
        return data[:at]

    for number in range(ROUNDS):
        left = 2
        relay.mangle = mangle
        try:
            await field.publish(field.fleet.names[number], field.make_source(pad=PAD_BYTES))
            await field.wait_quiescent()
        finally:
            relay.mangle = None
    if not field.injected["payload flipped"] or not field.injected["payload torn"]:
        field.violations.append("no payload was hurt on its way: the case shows nothing")
