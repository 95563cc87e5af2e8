"""Fault cases of the network: loss and reordering, partitions at each step, payloads corrupted or cut short
on the way, and two publications of one name at once."""

from __future__ import annotations

import asyncio
from typing import Any

from faultlab.relay import Rule
from faultlab.transforms.faults.harness import PASS_THROUGH, QUIESCENCE_TIMEOUT_S, FaultHarness
from faultlab.gateway_fleet import POLL_S

LOSSY_RULE = Rule(drop=0.05, duplicate=0.02, reorder=0.1, delay_s=(0.0, 0.01))
ROUNDS = 3
PAD_BYTES = 24 * 1024  # makes a payload too long to be sent with its head: it is fetched in pieces


async def lossy(harness: FaultHarness) -> None:
    """Publish versions under 5 % loss, duplicates, reordering and delays on each path, and stream resets."""
    harness.fleet.relay.set_rule(LOSSY_RULE)
    harness.count_fault("lossy network")
    try:
        for number in range(ROUNDS):
            await harness.publish(harness.fleet.names[number], harness.make_source(pad=PAD_BYTES))
            harness.reset_streams()
            await harness.wait_quiescent()
    finally:
        harness.fleet.relay.set_rule(PASS_THROUGH)


async def partitions(harness: FaultHarness) -> None:
    """Cut off a third of the members, among them the proposing one, during a publication on each side, an
    activation and a rollback; heal each partition."""
    fleet = harness.fleet
    minority = fleet.names[: max(1, len(fleet.names) // 3)]
    majority = [name for name in fleet.names if name not in minority]
    # During a publication on each side, as the cut begins.
    orders = [
        asyncio.create_task(harness.publish(at, harness.make_source())) for at in (minority[-1], majority[-1])
    ]
    await _cut_until_quiescent(harness, minority, majority)
    await asyncio.gather(*orders)
    await _heal_and_wait(harness)
    # During an activation, while there is a candidate.
    id = await harness.publish(majority[-1], harness.make_source())
    async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
        while not is_candidate_or_active(await fleet.status(majority[-1]), id):
            await asyncio.sleep(POLL_S)
    await _cut_until_quiescent(harness, minority, majority)
    await _heal_and_wait(harness)
    # During a rollback.
    order = asyncio.create_task(harness.rollback(majority[0]))
    await _cut_until_quiescent(harness, minority, majority)
    await order
    await _heal_and_wait(harness)


def is_candidate_or_active(status: dict[str, Any], id: str) -> bool:
    """Whether a version of `mark` is the candidate or active in a gateway's status."""
    entry = status["versions"].get("mark", {}) if status else {}
    return any((entry.get(key) or {}).get("id") == id for key in ("active", "candidate"))


async def _cut_until_quiescent(
    harness: FaultHarness, minority_names: list[str], majority_names: list[str]
) -> None:
    """Cut off `minority_names` and wait until `majority_names` are quiescent; check that the minority is not
    at a later epoch."""
    harness.cut(minority_names)
    await harness.wait_quiescent(majority_names)
    seen = await harness.check_statuses()
    max_epoch = max(status["epoch"] for at, status in seen.items() if at in majority_names)
    ahead = [at for at in minority_names if at in seen and seen[at]["epoch"] > max_epoch]
    if ahead:
        harness.violations.append(f"{', '.join(ahead)}: a minority is ahead of epoch {max_epoch}")


async def _heal_and_wait(harness: FaultHarness) -> None:
    harness.fleet.relay.heal()
    await harness.wait_quiescent()


async def together(harness: FaultHarness) -> None:
    """Publish one name at two gateways at once: all members activate the same version."""
    names = harness.fleet.names
    for number in range(ROUNDS):
        harness.count_fault("two at once")
        pair = names[number % len(names)], names[-1 - number % len(names)]
        await asyncio.gather(*(harness.publish(at, harness.make_source()) for at in pair))
        await harness.wait_quiescent()


async def flipped(harness: FaultHarness) -> None:
    """Flip a byte of a payload on the way, or reset its stream within it: it is fetched again, never run."""
    relay, remaining = harness.fleet.relay, 0

    def mangle(source: str, target: str, data: bytes) -> bytes:
        nonlocal remaining
        at = data.find(b"~" * 64)
        if at < 0 or not remaining:
            return data
        remaining -= 1
        if remaining % 2:
            harness.count_fault("payload flipped")
            return data[:at] + b"!" + data[at + 1 :]
        harness.count_fault("payload torn")
        for stream in list(
            relay.members[target].streams.open_streams | relay.members[source].streams.open_streams
        ):
            if {stream.source, stream.target} == {source, target}:
                stream.reset()
        return data[:at]

    for number in range(ROUNDS):
        remaining = 2
        relay.mangle = mangle
        try:
            await harness.publish(harness.fleet.names[number], harness.make_source(pad=PAD_BYTES))
            await harness.wait_quiescent()
        finally:
            relay.mangle = None
    if not harness.injected["payload flipped"] or not harness.injected["payload torn"]:
        harness.violations.append("no payload was flipped or none was cut short: the case tested nothing")
