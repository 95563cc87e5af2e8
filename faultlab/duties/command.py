"""python -m faultlab duties: takeover, handover and double holding of a duty under faults, in one run.

The kind of each fault is drawn from the seed: the holder is killed, stopped past its lease and continued, or
told to exit, or all are restarted. For the local backend the store is also locked, replaced or lost; for the
quorum backend a majority is stopped. `--sites` run side by side.
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
HOLDER_TIMEOUT_S = 30.0  # for a worker to hold the duty again after any fault


@dataclass
class FaultResults:
    """Results of all faults; `takeover_s`: seconds from a fault to the next holder's first action."""

    takeover_s: dict[str, list[float]] = field(default_factory=dict)  # by kind of fault
    faults: Counter[str] = field(default_factory=Counter)
    unheld: int = 0  # faults after which no worker held the duty within HOLDER_TIMEOUT_S
    stopped_in_write: int = 0  # holders stopped while they had the state file locked
    # Actions of a holder without a majority, more than a lease's time to live after it lost the majority.
    cut_off_actions: int = 0


def register(parts: Subcommands) -> None:
    """Add `duties` and its arguments to the lab's commands."""
    lab = parts.add_parser("duties", help="takeover of a duty while its holders and the store fail")
    lab.add_argument("--processes", type=positive_int, default=10)
    lab.add_argument("--faults", type=positive_int, default=50, help="for each site (default 50)")
    lab.add_argument("--sites", type=positive_int, default=1)
    lab.add_argument("--ttl", type=float, default=2.0, metavar="SECONDS")
    lab.add_argument("--backend", choices=tuple(KINDS), default="local")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the experiment; returns 0 if no two workers held a duty at once and it was held again after each
    fault, else 1."""
    figures = asyncio.run(experiment(arguments))
    report(figures, arguments.json)
    violations = ("overlaps", "tokens_repeated", "cut_off_acts", "unheld")
    return 1 if any(figures[name] for name in violations) else 0


async def experiment(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run all sites; returns the figures."""
    results = FaultResults()
    with tempfile.TemporaryDirectory(prefix="duties-") as folder:
        sites = []
        for number in range(arguments.sites):
            site_folder = Path(folder) / str(number)
            site_folder.mkdir()
            careless = min(2, arguments.processes - 1)  # so that there are stale actions to reject
            sites.append(
                DutySite(site_folder, arguments.processes, {DUTY: arguments.ttl}, arguments.backend, careless)
            )
        started_s = time.monotonic()
        runs = [run_site(s, results, arguments, arguments.seed + n) for n, s in enumerate(sites)]
        rates = await asyncio.gather(*runs)
    figures: dict[str, Any] = {
        "backend": arguments.backend, "processes": arguments.processes, "sites": arguments.sites,
        "ttl_s": arguments.ttl, "faults": sum(results.faults.values()),
        "faults_by_kind": dict(results.faults),
    }  # fmt: skip
    for kind, after_s in sorted(results.takeover_s.items()):
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
        "unheld": results.unheld,
        "stopped_in_write": results.stopped_in_write,
        "cut_off_acts": results.cut_off_actions,
        "transactions_per_process_s": round(sum(rates) / len(rates), 3),
        "wall_s": round(time.monotonic() - started_s, 1),
    }
    return figures


async def run_site(site: DutySite, results: FaultResults, arguments: argparse.Namespace, seed: int) -> float:
    """Inject one site's faults; returns its transactions per second and worker without faults."""
    rng = random.Random(seed)
    kinds = KINDS[arguments.backend]
    async with site:
        holder = await site.wait_held(DUTY)
        for _ in range(arguments.faults):
            kind = rng.choices(kinds, [WEIGHTS[k] for k in kinds])[0]
            results.faults[kind] += 1
            fault_s = time.monotonic()
            if kind == "minority":
                results.cut_off_actions += await stop_majority(site, holder, arguments.ttl)
            after = await apply_fault(site, kind, holder, arguments.ttl)
            if after is None:
                # A holder stopped within a transaction keeps the state file locked: no takeover is possible.
                in_write = kind == "stop" and site.stopped_in_write
                results.unheld += not in_write
                results.stopped_in_write += in_write
                after = await site.wait_held(DUTY)
            elif after.token > holder.token:
                results.takeover_s.setdefault(kind, []).append(after.accepted_s - fault_s)
            holder = after
        return await idle_transaction_rate(site)


async def stop_majority(site: DutySite, holder: FirstAction, ttl_s: float) -> int:
    """Stop a majority for twice the time to live; returns how often the holder acted in the second half."""
    stopped = [worker for worker in site.workers if worker is not site.worker_of(holder.holder)]
    stopped = stopped[: len(site.workers) // 2 + 1]
    for worker in stopped:
        worker.send_signal(signal.SIGSTOP)
    await asyncio.sleep(ttl_s)  # how long the fault lasts
    before = site.resource.guarded[DUTY]
    await asyncio.sleep(ttl_s)
    acted = site.resource.guarded[DUTY] - before
    for worker in stopped:
        worker.send_signal(signal.SIGCONT)
    return acted


async def apply_fault(site: DutySite, kind: str, holder: FirstAction, ttl_s: float) -> FirstAction | None:
    """Inject one fault; returns the next holder's first action, or None if there was none in time."""
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
            for other in site.workers:
                await other.stop(signal.SIGKILL)
            for other in site.workers:
                await other.start()
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
    """Transactions per second and worker, over IDLE_PERIOD_S without faults."""
    at_start = sum([await worker.transactions() for worker in site.workers])
    await asyncio.sleep(IDLE_PERIOD_S)  # the measured interval
    at_end = sum([await worker.transactions() for worker in site.workers])
    return (at_end - at_start) / IDLE_PERIOD_S / len(site.workers)
