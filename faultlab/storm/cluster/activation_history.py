"""Random histories of activation: concurrent publishers and proposers, and members that fail at any step.

Some members cannot stage some versions, and breakers open on some versions. Then all faults are healed.
"""

from __future__ import annotations

import random

from cloverkeel.fleet.ledger.interface import Level

from faultlab.storm.cluster.activation import ActivationCluster
from faultlab.storm.cluster.ledger import TICK_S
from faultlab.storm.cluster.history_result import HistoryResult, run_history

# Members of a large history, and the fewer steps and longer ticks that keep its run time short. The cost
# grows with the square of the members: each vote and report goes to every other member through ledger cores,
# at 0.1 ms each, which takes minutes with 200 members.
LARGE_MEMBERS, LARGE_STEPS, LARGE_TICK_S = 200, 8, 0.5


def play_seed(seed: int) -> HistoryResult:
    """Run the history of a seed; one in 200 has LARGE_MEMBERS members."""
    if random.Random(f"size {seed}").random() < 1 / 200:
        return play(seed, LARGE_MEMBERS, LARGE_STEPS, LARGE_TICK_S)
    return play(seed)


def play(seed: int, members: int | None = None, steps: int = 50, tick_s: float = TICK_S) -> HistoryResult:
    """Run a random history of `members` members, 3 to 7 if not given."""
    rng = random.Random(seed)
    cluster = ActivationCluster(seed, members or rng.choice((3, 4, 5, 7)), tick_s)
    names = [f"t{i}" for i in range(rng.randint(1, 2))]
    cluster.drop_rate, cluster.duplicate_rate = rng.choice((0.0, 0.05, 0.2)), rng.choice((0.0, 0.1))
    cluster.run(1.0)
    if random.Random(f"begun {seed}").random() < 0.75:  # the first epoch needs all members
        cluster.submit_order(cluster.members["m0"], names[0], "publish", Level.QUORUM)
        cluster.run(
            30.0,
            lambda: bool(
                cluster.activation_reference.epochs[max(cluster.activation_reference.epochs)].number
            ),
        )

    def step() -> None:
        for _ in range(rng.choice((1, 1, 3, 10))):
            cluster.run(rng.choice((0.01, 0.05, 0.2, 0.6)))
            cluster.check()
        running = cluster.running_members()
        if running and rng.random() < 0.4:
            _random_order(cluster, rng, names)
        else:
            _random_fault(cluster, rng)

    return run_history(cluster, steps, step)


def _random_order(cluster: ActivationCluster, rng: random.Random, names: list[str]) -> None:
    """Publish or roll back at a random member; the version may be bad or impossible to stage."""
    name = rng.choice(names)
    for _ in range(rng.choice((1, 1, 2))):  # one or two developers at once
        member = rng.choice(cluster.running_members())
        level = rng.choice(tuple(Level))
        if rng.random() < 0.2:
            cluster.submit_order(member, name, "rollback", level)
            continue
        id = cluster.submit_order(member, name, "publish", level)
        if rng.random() < 0.3:
            cluster.bad_versions.add(id)
        elif rng.random() < 0.3:
            count = rng.choice((1, 1, len(cluster.members) // 2 + 1, len(cluster.members)))
            cluster.cannot_stage[id] = set(rng.sample(sorted(cluster.members), count))
    if rng.random() < 0.3 and len(cluster.running_members()) > 1:
        life = member.life

        def kill() -> None:  # kills the publisher before its disk, its quorum or the epoch, or after
            if member.life == life and not cluster.healed:
                cluster.stop(member)

        cluster.call_later(rng.choice((0.0, 0.02, 0.3, 3.0)) * rng.random(), kill)


def _random_fault(cluster: ActivationCluster, rng: random.Random) -> None:
    """Apply a random fault to a random member or to all."""
    members = list(cluster.members.values())
    member = rng.choice(members)
    match rng.randrange(10):
        case 0:
            cluster.stop(member)
        case 1 | 2 | 3:
            for other in members:
                if other.core is None and rng.random() < 0.8:
                    cluster.start(other)
        case 4:
            for other in members:
                other.side = rng.randrange(2)
        case 5 | 6:
            for other in members:
                other.side = 0
        case 7:
            member.side = 9  # isolated for a while
            cluster.run(rng.choice((0.3, 2.0, 9.0)))
            member.side = 0
        case 8:
            member.disk_full = not member.disk_full
        case 9:
            if cluster.can_lose_disk(member):
                cluster.lose_disk(member)
