"""Random histories of a ledger cluster.

They contain writes under current and old contexts, and deletes; messages that are dropped, duplicated and
delayed; partitions; members that crash, restart, are away for long, lose their disk or get an old copy of it;
full disks; and members that send damaged payloads. Then all faults are healed, and all members must agree.
"""

from __future__ import annotations

import random

from cloverkeel.fleet.ledger.interface import Level

from faultlab.storm.cluster.ledger import TICK_S, LedgerCluster, Disk, Member
from faultlab.storm.cluster.history_result import HistoryResult, run_history

# Members of a large history, and the fewer steps and longer ticks that keep its run time short.
LARGE_MEMBERS, LARGE_STEPS, LARGE_TICK_S = 500, 20, 0.5


def play_seed(seed: int) -> HistoryResult:
    """Run the history of a seed; one in 100 has LARGE_MEMBERS members."""
    if random.Random(f"size {seed}").random() < 1 / 100:
        return play(seed, LARGE_MEMBERS, LARGE_STEPS, LARGE_TICK_S)
    return play(seed)


def play(seed: int, members: int | None = None, steps: int = 60, tick_s: float = TICK_S) -> HistoryResult:
    """Run a random history of `members` members, 5 to 20 if not given."""
    rng = random.Random(seed)
    cluster = LedgerCluster(seed, members or rng.randint(5, 20), tick_s)
    names = [("kind", f"key{i}") for i in range(rng.randint(1, 6))]
    copies: dict[str, Disk] = {}
    cluster.drop_rate, cluster.duplicate_rate = rng.choice((0.0, 0.05, 0.3)), rng.choice((0.0, 0.1))

    def step() -> None:
        cluster.run(rng.choice((0.01, 0.05, 0.3, 1.0)))
        cluster.check()
        running = cluster.running_members()
        if running and rng.random() < 0.6:
            for _ in range(rng.randint(1, 3)):
                level = rng.choice(tuple(Level))
                cluster.write(
                    rng.choice(running), rng.choice(names), rng.random() < 0.2, rng.random() < 0.3, level
                )
        else:
            _random_fault(cluster, rng, copies)

    return run_history(cluster, steps, step)


def apply_fault(
    cluster: LedgerCluster, rng: random.Random, member: Member, number: int, copies: dict[str, Disk]
) -> None:
    """Apply fault 0 to 8: stop, start, partition, heal, full disk, damaged payloads, copy of the disk."""
    match number:
        case 0:
            cluster.stop(member)
        case 1 | 2:
            for other in cluster.members.values():
                if other.core is None and rng.random() < 0.7:
                    cluster.start(other)
        case 3:
            for other in cluster.members.values():
                other.side = rng.randrange(2)
        case 4 | 5:
            for other in cluster.members.values():
                other.side = 0
        case 6:
            member.disk_full = not member.disk_full
        case 7:
            member.damage_rate = rng.choice((0.0, 0.5, 1.0))
        case 8:
            copies[member.name] = cluster.copy_disk(member)


def _random_fault(cluster: LedgerCluster, rng: random.Random, copies: dict[str, Disk]) -> None:
    """Apply a random fault to a random member; `copies` are the copies of disks made before."""
    member = rng.choice(list(cluster.members.values()))
    number = rng.randrange(10)
    if number < 9:
        apply_fault(cluster, rng, member, number, copies)
    elif rng.random() < 0.3:
        cluster.lose_disk(member)
    elif member.name in copies:
        cluster.restore_disk(member, copies.pop(member.name))
    else:
        member.side = 2
        cluster.run(rng.choice((2.0, 9.0)))  # unreachable, perhaps for longer than `reap_after_s`
        member.side = 0
