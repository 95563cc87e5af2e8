"""Runs a history of a membership cluster, and checks that the members agree after the faults have ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.fleet import invariants
from cloverkeel.fleet.membership.health import suspicion_timeout_s
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.storm.cluster.faults import History
from faultlab.storm.cluster.lists import ListDistribution
from faultlab.storm.cluster.membership import MembershipCluster

CHECK_INTERVAL_S = 0.25  # simulated seconds between two checks of the views
MIN_AGREEMENT_S = 2.0  # agreement counts once it has lasted longer than the slowest probe
LISTS_AGREE_S = 15.0  # the lists must agree within this time after the views
LIST_CHANGE_S = 2.0  # a change of the list must reach all within this time
MAX_PUSH_PULLS = 3  # the views must agree within this many push-pull periods and one longest suspicion


@dataclass(slots=True)
class ClusterResult:
    """Result of a history. `violation` was found at event number `events`, which ended it; None: none."""

    history: History
    events: int = 0
    members: int = 0  # most processes that ran at once
    virtual_s: float = 0.0  # simulated seconds
    agreed_s: float | None = None  # from the end of the faults until all views agreed
    deaths: int = 0  # reports of a death
    violation: str | None = None
    last_actions: list[str] = field(default_factory=list)  # of the cores, before the violation


def play(history: History, check: bool = True) -> ClusterResult:
    """Run `history`; the first violation ends it. The same history gives the same result."""
    cluster = MembershipCluster(history, check)
    result = ClusterResult(history)
    was_on, invariants.ON = invariants.ON, check
    try:
        result.agreed_s = _play(cluster, history)
    except Exception as error:  # an exception of a core counts as a violation
        result.violation = str(error) if isinstance(error, invariants.InvariantError) else repr(error)
        result.last_actions = [
            f"{at_s:9.3f} s {p.name} at {p.me.address}: {a}" for at_s, p, a in cluster.last_actions
        ]
    finally:
        invariants.ON = was_on
    result.events, result.members = cluster.events, cluster.max_running
    result.virtual_s, result.deaths = cluster.clock.now_s, len(cluster.deaths)
    return result


def _play(cluster: MembershipCluster, history: History) -> float:
    """Run the history to its end; returns how long after the end of the faults all views agreed."""
    ends_s = [fault.at_s + fault.duration_s for fault in history.faults]
    first_fault_s = min((fault.at_s for fault in history.faults), default=history.faults_until_s)
    healed_s = max([history.faults_until_s, *ends_s])
    lists = ListDistribution(cluster, history.seed + 2, healed_s) if history.with_lists else None
    cluster.clock.run(first_fault_s)
    _raise_if_any(_death_reports(cluster), "declared dead before any fault")
    cluster.clock.run(healed_s)
    cluster.links.heal()
    bound_s = _agreement_bound_s(cluster, history)
    agreed_s = 0.0
    while cluster.clock.now_s - healed_s < agreed_s + MIN_AGREEMENT_S:
        if cluster.restart_seeds():
            healed_s, agreed_s = cluster.clock.now_s, 0.0
        if found := disagreements(cluster):
            agreed_s = cluster.clock.now_s - healed_s + CHECK_INTERVAL_S
            _raise_if_any(
                found if agreed_s > bound_s else [], f"views do not agree {bound_s:.1f} s after the faults"
            )
        cluster.clock.run(cluster.clock.now_s + CHECK_INTERVAL_S)
    earlier_deaths = len(cluster.deaths)
    rest_s = history.timing.reap_after_s + bound_s if history.await_reap else history.timing.push_pull_s
    cluster.clock.run(cluster.clock.now_s + rest_s)
    _raise_if_any(disagreements(cluster), "views differ again without a fault")
    active_names = {p.name for p in cluster.active_processes()}
    _raise_if_any(
        [f"{by} reports {r.name}" for _, by, r in cluster.deaths[earlier_deaths:] if r.name in active_names],
        "declared dead after the faults",
    )
    if history.await_reap:
        _raise_if_any(unreaped(cluster), "gone members were not reaped")
    if lists is not None:
        _check_lists(cluster, lists)
    return agreed_s


def _check_lists(cluster: MembershipCluster, lists: ListDistribution) -> None:
    """Check that the lists agree too, and that a change reaches all processes in time."""
    ends_s = cluster.clock.now_s + LISTS_AGREE_S
    while (found := lists.disagreements()) and cluster.clock.now_s < ends_s:
        cluster.clock.run(cluster.clock.now_s + CHECK_INTERVAL_S)
    _raise_if_any(found, f"lists do not agree {LISTS_AGREE_S} s after the views")
    lists.service.change()
    cluster.clock.run(cluster.clock.now_s + LIST_CHANGE_S)
    _raise_if_any(lists.disagreements(), f"a list change has not reached all {LIST_CHANGE_S} s later")


def _raise_if_any(found: list[str], rule: str) -> None:
    """Raise an error that names the first four violations found, if there are any."""
    if found:
        more = f" and {len(found) - 4} more" if len(found) > 4 else ""
        raise invariants.InvariantError(f"{rule}: {'; '.join(found[:4])}{more}")


def _agreement_bound_s(cluster: MembershipCluster, history: History) -> float:
    """Longest time that the views may take to agree after the faults."""
    timing = history.timing
    longest_s = suspicion_timeout_s(
        cluster.max_running, 0, timing.probe_interval_s, timing.suspicion_alpha, timing.suspicion_beta
    )
    return MAX_PUSH_PULLS * timing.push_pull_s + longest_s


def _death_reports(cluster: MembershipCluster) -> list[str]:
    return [f"{by} reports {update.name}" for _, by, update in cluster.deaths]


def disagreements(cluster: MembershipCluster) -> list[str]:
    """Where the views differ from the processes that are active.

    Each view must hold each active process at its incarnation and address, and no other as alive. A name must
    have one active process at most, and must have one if no fault hit its process, or if it is to rejoin.
    """
    found: list[str] = []
    active: dict[str, MemberUpdate] = {}
    for process in cluster.active_processes():
        if process.name in active:
            found.append(
                f"{process.name} is active at {process.me.address} and {active[process.name].address}"
            )
        active[process.name] = process.member.me
    for process in cluster.processes.values():
        expected = process.will_rejoin or process.name not in cluster.faulted_names
        if process.up and process.name not in active and expected:
            found.append(f"no active process has the name {process.name}")
    for process in cluster.active_processes():
        members = process.member.members()
        if members == active:
            continue
        for name, update in active.items():
            held = members.get(name)
            if held != update:
                description = (
                    "nothing" if held is None else f"{held.status.value} {held.incarnation} at {held.address}"
                )
                found.append(
                    f"{process.name} holds {description} of {name} ({update.incarnation} at {update.address})"
                )
        for name, held in members.items():
            if name not in active and held.status in (Status.ALIVE, Status.SUSPECT):
                found.append(f"{process.name} holds {name} {held.status.value}, which is gone")
    return found


def unreaped(cluster: MembershipCluster) -> list[str]:
    """Members that are gone and still in a view."""
    active_names = {p.name for p in cluster.active_processes()}
    return [
        f"{process.name} still holds {name} {held.status.value}"
        for process in cluster.active_processes()
        for name, held in process.member.members().items()
        if name not in active_names
    ]
