"""The storm's run of the decision module: balancers in random worlds, one after another."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from random import Random

from caperdrift import Balancer, LearnedState
from caperdrift.checks import attach_checks
from faultlab.storm.world.draws import draw_settings
from faultlab.storm.world.world import World

MAX_EVENTS_PER_WORLD = 12_000  # after this many events, a new world and a new balancer are started


@dataclass(slots=True)
class ModuleRun:
    """The result of one run: `events` until its end or its first violation."""

    seed: int
    events: int
    actions_sha256: str  # of repr() of each event's actions
    violations: list[str] = field(default_factory=list)


def run_module(seed: int, events: int, check: bool) -> ModuleRun:
    """Run `events` events from `seed`; the first exception ends the run.

    With `check`, the invariants are checked after each event; a violated one raises an exception.
    Worlds of even seeds have route plans. Worlds of odd seeds have none, so that their hash shows whether the
    module's decisions without a plan have changed.
    The same arguments give the same events, hash and violation.
    """
    rng = Random(seed)
    digest = hashlib.sha256()
    event_count = 0
    learned: LearnedState | None = None
    while event_count < events:
        settings = draw_settings(rng)
        if learned is not None and rng.random() < 0.5:
            learned = None
        balancer = Balancer(settings, rng.getrandbits(32))
        if check:
            attach_checks(balancer, seed, event_number=event_count)
        world = World(
            rng, settings, learned, Random(f"plans {seed} {event_count}") if seed % 2 == 0 else None
        )
        for _ in range(min(rng.randint(500, MAX_EVENTS_PER_WORLD), events - event_count)):
            now_us, event = world.next_event()
            if rng.random() < 0.002:
                now_us -= 1_000  # the clock steps back by 1 ms
            event_count += 1
            try:
                actions = balancer.handle(now_us, event)
            except Exception as error:
                violation = f"seed {seed} event {event_count}: {error!r}"
                return ModuleRun(seed, event_count, digest.hexdigest(), [violation])
            digest.update(repr(actions).encode())
            world.handle_actions(actions)
            if rng.random() < 0.002:
                digest.update(repr((balancer.count_skipped(now_us), balancer.learned_state())).encode())
        learned = balancer.learned_state()
    return ModuleRun(seed, event_count, digest.hexdigest())
