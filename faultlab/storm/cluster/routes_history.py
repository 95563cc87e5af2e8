"""Random histories of routes: teams commit under current, old and exported plans at members that fail.

Commits contain edits of fields, deletes, routes created again, resolutions and acceptances of conflicts, new
owners, overlapping prefixes, orders between routes, and values that block a route. Messages are dropped,
duplicated and delayed; there are partitions, crashes between any two events, full, lost and restored disks,
members away for long, and transforms that some members learn of later. Then all faults are healed, and all
members must agree.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from cloverkeel.fleet.ledger.interface import Level
from cloverkeel.fleet.routes.interface import Environment
from cloverkeel.fleet.routes.merge import Merge

from faultlab.routes.random_edits import NamePool, random_commit
from faultlab.storm.cluster.ledger import TICK_S, Disk
from faultlab.storm.cluster.ledger_history import apply_fault
from faultlab.storm.cluster.history_result import HistoryResult, run_history
from faultlab.storm.cluster.routes import MAX_EXPORTS, RoutesCluster

# Members of a large history, and the fewer steps and longer ticks that keep its run time short: each member
# merges each change.
LARGE_MEMBERS, LARGE_STEPS, LARGE_TICK_S = 100, 6, 0.5
SIZES = (5, 5, 5, 5, 5, 5, 5, 6, 8, 12, 20)  # numbers of members to choose from
# Numbers of steps to choose from: many short histories find more than a few long ones in the same time.
STEPS = (4, 4, 4, 5, 5, 5, 6, 6, 8, 16)


def play_seed(seed: int) -> HistoryResult:
    """Run the history of a seed; one in 100 has LARGE_MEMBERS members."""
    if random.Random(f"size {seed}").random() < 1 / 100:
        return play(seed, LARGE_MEMBERS, LARGE_STEPS, LARGE_TICK_S)
    return play(seed)


def play(
    seed: int,
    members: int | None = None,
    steps: int | None = None,
    tick_s: float = TICK_S,
    merge_factory: Callable[[Environment], Merge] = Merge,
) -> HistoryResult:
    """Run a random history of `members` members; if not given, 5 to 20, in most cases 5."""
    rng = random.Random(seed)
    cluster = RoutesCluster(seed, members or rng.choice(SIZES), tick_s, merge_factory)
    names = NamePool(
        teams=NamePool().teams[: rng.randint(2, 4)],
        routes=NamePool().routes[: rng.randint(1, 6)],
        invalid_share=rng.choice((0.0, 0.05, 0.2)),
    )
    copies: dict[str, Disk] = {}
    cluster.drop_rate, cluster.duplicate_rate = rng.choice((0.0, 0.05, 0.3)), rng.choice((0.0, 0.1))
    cluster.run(0.5)

    def step() -> None:
        cluster.run(rng.choice((0.005, 0.02, 0.1, 0.5, 1.5)))
        cluster.check()
        if cluster.running_members() and rng.random() < 0.6:
            _random_commits(cluster, rng, names)
        else:
            _random_fault(cluster, rng, copies)

    return run_history(cluster, steps or rng.choice(STEPS), step)


def _random_commits(cluster: RoutesCluster, rng: random.Random, names: NamePool) -> None:
    """Commits of one to four teams at once, each at a random member."""
    for _ in range(rng.choice((1, 1, 2, 4))):
        running = cluster.running_members()
        if not running:
            return
        member = rng.choice(running)
        plan_read = cluster.instances[member.name].last_read
        if plan_read is None:
            continue
        if rng.random() < 0.2 and cluster.exports:
            plan_read = rng.choice(cluster.exports)  # read at any member, at any time before
        elif rng.random() < 0.3:
            cluster.exports = [*cluster.exports[1 - MAX_EXPORTS :], plan_read]
        cluster.commit(member, plan_read, random_commit(rng, names, plan_read.view), rng.choice(tuple(Level)))
        if rng.random() < 0.1:
            _schedule_kill(cluster, rng, member.name)


def _schedule_kill(cluster: RoutesCluster, rng: random.Random, name: str) -> None:
    """Kill the member at a random moment after a commit: before its disk write or quorum, or after."""
    member, life = cluster.members[name], cluster.members[name].life

    def kill() -> None:
        if member.life == life and not cluster.healed:
            cluster.stop(member)

    cluster.call_later(rng.choice((0.0, 0.02, 0.2)) * rng.random(), kill)


def _random_fault(cluster: RoutesCluster, rng: random.Random, copies: dict[str, Disk]) -> None:
    """Apply a random fault, publish a transform, or drop superseded changes."""
    members = list(cluster.members.values())
    member = rng.choice(members)
    match number := rng.randrange(13):
        case _ if number < 9:
            apply_fault(cluster, rng, member, number, copies)
        case 9:
            if rng.random() < 0.3:
                cluster.lose_disk(member)
            elif member.name in copies:
                cluster.restore_disk(member, copies.pop(member.name))
        case 10:
            member.side = 2
            cluster.run(rng.choice((2.0, 9.0)))  # unreachable, perhaps for longer than `reap_after_s`
            member.side = 0
        case 11:
            # One more transform is published; some members learn of it later.
            cluster.environment_number = min(2, cluster.environment_number + 1)
            for other in members:
                cluster.call_later(
                    rng.choice((0.0, 0.5, 3.0)) * rng.random(), _environment_updater(cluster, other.name)
                )
        case 12:
            for other in cluster.running_members():
                cluster.drop_superseded(other)


def _environment_updater(cluster: RoutesCluster, name: str) -> Callable[[], None]:
    return lambda: cluster.update_environment(cluster.instances[name])
