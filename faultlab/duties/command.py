"""python -m faultlab duties: take-over, hand-over and double holding under faults, in one run.

Each fault is of a kind drawn by the seed: the holder killed, stopped past its time and let go on, told to
end, all restarted; for the local backend also the store locked, replaced, lost. `--sites` play side by side.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from faultlab.duties.resource import FirstAction
from faultlab.duties.site import DutySite
from faultlab.report import Subcommands, positive_int, report

DUTY = "chore"
KINDS = {
    "local": ("kill", "stop", "end", "restart-all", "lock", "replace", "lose"),
    "quorum": ("kill", "stop", "end", "restart-all", "minority"),
}
WEIGHTS = {
    "kill": 4,
    "stop": 4,
    "end": 4,
    "lock": 2,
    "replace": 1,
    "lose": 1,
    "minority": 2,
    "restart-all": 1,
}
HOLDER_TIMEOUT_S = 30.0  # for somebody to hold a duty again after any fault


@dataclass
class FaultResults:
    """What the faults came to: seconds from a fault to the first action of the next holder, by kind."""

    takeover_s: dict[str, list[float]] = field(default_factory=dict)
    faults: Counter[str] = field(default_factory=Counter)
    unheld: int = 0  # faults after which nobody held the duty in HELD_S
    stopped_in_write: int = 0
    cut_off_actions: int = 0  # actions sent by a holder without a majority, a time to live after it lost it


def register(parts: Subcommands) -> None:
    """Add `duties` and its arguments to the lab's commands."""
    lab = parts.add_parser("duties", help="who holds a duty while holders and the store fail")
    lab.add_argument("--processes", type=positive_int, default=10)
    lab.add_argument("--faults", type=positive_int, default=50, help="for each site (default 50)")
    lab.add_argument("--sites", type=positive_int, default=1)
    lab.add_argument("--ttl", type=float, default=2.0, metavar="SECONDS")
    lab.add_argument("--backend", choices=tuple(KINDS), default="local")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """0 where no two held a duty at once and it was held again after each fault, else 1."""
    figures = asyncio.run(experiment(arguments))
    report(figures, arguments.json)
    broken = ("overlaps", "tokens_repeated", "cut_off_acts", "unheld")
    return 1 if any(figures[name] for name in broken) else 0


async def experiment(arguments: argparse.Namespace) -> dict[str, Any]:
    found = FaultResults()
    with tempfile.TemporaryDirectory(prefix="duties-") as folder:
        sites = []
        for number in range(arguments.sites):
            own = Path(folder) / str(number)
            own.mkdir()
            careless = min(2, arguments.processes - 1)  # so that there are stale actions to reject
            sites.append(
                DutySite(own, arguments.processes, {DUTY: arguments.ttl}, arguments.backend, careless)
            )
        began_s = time.monotonic()
        played = [run_site(s, found, arguments, arguments.seed + n) for n, s in enumerate(sites)]
        calls = await asyncio.gather(*played)
    figures: dict[str, Any] = {
        "backend": arguments.backend, "processes": arguments.processes, "sites": arguments.sites,
        "ttl_s": arguments.ttl, "faults": sum(found.faults.values()), "faults_by_kind": dict(found.faults),
    }  # fmt: skip
    for kind, after_s in sorted(found.takeover_s.items()):
        ranked = sorted(after_s)
        figures[f"{kind}_to_next_s"] = {
            "p50": round(ranked[len(ranked) // 2], 3), "p99": round(ranked[int(len(ranked) * 0.99)], 3),
            "most": round(ranked[-1], 3), "of": len(ranked),
        }  # fmt: skip
    resources = [site.resource for site in sites]
    figures |= {
        "actions_accepted": sum(r.accepted.total() for r in resources),
        "actions_rejected": sum(r.rejected.total() for r in resources),
        "overlaps": sum(r.overlaps for r in resources),
        "tokens_repeated": sum(r.repeated_tokens for r in resources),
        "unheld": found.unheld,
        "stopped_in_write": found.stopped_in_write,
        "cut_off_acts": found.cut_off_actions,
        "transactions_per_process_s": round(sum(calls) / len(calls), 3),
        "wall_s": round(time.monotonic() - began_s, 1),
    }
    return figures


async def run_site(site: DutySite, found: FaultResults, arguments: argparse.Namespace, seed: int) -> float:
    """One site's faults; returns transactions a second and process while nothing befell it."""
    rng = random.Random(seed)
    kinds = KINDS[arguments.backend]
    async with site:
        holder = await site.wait_held(DUTY)
        for _ in range(arguments.faults):
            kind = rng.choices(kinds, [WEIGHTS[k] for k in kinds])[0]
            found.faults[kind] += 1
            begun_s = time.monotonic()
            if kind == "minority":
                found.cut_off_actions += await stop_majority(site, holder, arguments.ttl)
            after = await apply_fault(site, kind, holder, arguments.ttl)
            if after is None:
                # A holder that stands still within its own transaction keeps the file's lock.
                in_write = kind == "stop" and site.stopped_in_write
                found.unheld += not in_write
                found.stopped_in_write += in_write
                after = await site.wait_held(DUTY)
            elif after.token > holder.token:
                found.takeover_s.setdefault(kind, []).append(after.accepted_s - begun_s)
            holder = after
        return await idle_transaction_rate(site)


async def stop_majority(site: DutySite, holder: FirstAction, ttl_s: float) -> int:
    """A majority falls silent for two times to live; how often the holder acted in the second."""
    silent = [worker for worker in site.workers if worker is not site.worker_of(holder.holder)]
    silent = silent[: len(site.workers) // 2 + 1]
    for worker in silent:
        worker.send_signal(signal.SIGSTOP)
    await asyncio.sleep(ttl_s)  # how long the fault lasts
    looked = site.resource.guarded[DUTY]
    await asyncio.sleep(ttl_s)
    acted = site.resource.guarded[DUTY] - looked
    for worker in silent:
        worker.send_signal(signal.SIGCONT)
    return acted


async def apply_fault(site: DutySite, kind: str, holder: FirstAction, ttl_s: float) -> FirstAction | None:
    """One fault, and who holds the duty once it is over."""
    worker = site.worker_of(holder.holder)
    match kind:
        case "kill":
            await worker.stop(signal.SIGKILL)
            after = await site.resource.wait_first_action(DUTY, holder.token, HOLDER_TIMEOUT_S)
            await worker.start()
            return after
        case "stop":
            worker.send_signal(signal.SIGSTOP)
            after = await site.resource.wait_first_action(DUTY, holder.token, 5 * ttl_s)
            site.stopped_in_write = after is None and site.is_locked()
            worker.send_signal(signal.SIGCONT)
            return after
        case "end":
            worker.send_signal(signal.SIGTERM)
            after = await site.resource.wait_first_action(DUTY, holder.token, HOLDER_TIMEOUT_S)
            await worker.stop(signal.SIGKILL)
            await worker.start()
            return after
        case "restart-all":
            for each in site.workers:
                await each.stop(signal.SIGKILL)
            for each in site.workers:
                await each.start()
        case "lock":
            await site.lock_store(1.5 * ttl_s)
        case "replace":
            site.replace_store()
        case "lose":
            site.lose_store()
            await asyncio.sleep(1.5 * ttl_s)  # how long the fault lasts
            site.restore_store()
    return await site.resource.wait_first_action(DUTY, holder.token, HOLDER_TIMEOUT_S)


IDLE_PERIOD_S = 3.0


async def idle_transaction_rate(site: DutySite) -> float:
    """Transactions of each worker a second, over COST_S of rest."""
    begun = sum([await worker.transactions() for worker in site.workers])
    await asyncio.sleep(IDLE_PERIOD_S)  # the span that is measured
    ended = sum([await worker.transactions() for worker in site.workers])
    return (ended - begun) / IDLE_PERIOD_S / len(site.workers)
