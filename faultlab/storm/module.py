"""The module half of the storm: balancers in random worlds, one after another."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from random import Random

from caperdrift import Balancer, Learned
from faultlab.storm.events import World, draw_settings

EPISODE = 12_000  # events at most before a world and its balancer give way to the next


@dataclass(slots=True)
class ModuleRun:
    seed: int
    events: int
    actions_sha256: str  # of repr() of each event's actions
    violations: list[str] = field(default_factory=list)


def run_module(seed: int, events: int, check: bool) -> ModuleRun:
    rng = Random(seed)
    digest = hashlib.sha256()
    done = 0
    learned: Learned | None = None
    while done < events:
        settings = draw_settings(rng)
        if learned is not None and rng.random() < 0.5:
            learned = None
        balancer = Balancer(settings, rng.getrandbits(32))
        world = World(rng, settings, learned)
        for _ in range(min(rng.randint(500, EPISODE), events - done)):
            now_us, event = world.next()
            if rng.random() < 0.002:
                now_us -= 1_000
            done += 1
            actions = balancer.handle(now_us, event)
            digest.update(repr(actions).encode())
            world.take(actions)
            if rng.random() < 0.002:
                digest.update(repr((balancer.skipped(now_us), balancer.learned())).encode())
        learned = balancer.learned()
    return ModuleRun(seed, done, digest.hexdigest())
