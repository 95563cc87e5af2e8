"""The module half of the storm: balancers in random worlds, one after another."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from random import Random

from caperdrift import Balancer, LearnedState
from caperdrift.checks import attach_checks
from faultlab.storm.world.draws import draw_settings
from faultlab.storm.world.world import World

MAX_EVENTS_PER_WORLD = 12_000  # events at most before a world and its balancer give way to the next


@dataclass(slots=True)
class ModuleRun:
    seed: int
    events: int
    actions_sha256: str  # of repr() of each event's actions
    violations: list[str] = field(default_factory=list)


def run_module(seed: int, events: int, check: bool) -> ModuleRun:
    """Run `events` events from `seed`; with `check`, the first broken invariant or exception ends the run.

    Worlds of even seeds have plans of routes: odd ones go on as they did before there were any, so that their
    hash tells whether the module's decisions without a plan are what they were.
    The same arguments give the same events, hash and violation.
    """
    rng = Random(seed)
    digest = hashlib.sha256()
    done = 0
    learned: LearnedState | None = None
    while done < events:
        settings = draw_settings(rng)
        if learned is not None and rng.random() < 0.5:
            learned = None
        balancer = Balancer(settings, rng.getrandbits(32))
        if check:
            attach_checks(balancer, seed, event_number=done)
        world = World(rng, settings, learned, Random(f"plans {seed} {done}") if seed % 2 == 0 else None)
        for _ in range(min(rng.randint(500, MAX_EVENTS_PER_WORLD), events - done)):
            now_us, event = world.next_event()
            if rng.random() < 0.002:
                now_us -= 1_000  # a clock that steps back
            done += 1
            try:
                actions = balancer.handle(now_us, event)
            except Exception as error:
                what = f"seed {seed} event {done}: {error!r}"
                return ModuleRun(seed, done, digest.hexdigest(), [what])
            digest.update(repr(actions).encode())
            world.handle_actions(actions)
            if rng.random() < 0.002:
                digest.update(repr((balancer.count_skipped(now_us), balancer.learned_state())).encode())
        learned = balancer.learned_state()
    return ModuleRun(seed, done, digest.hexdigest())
