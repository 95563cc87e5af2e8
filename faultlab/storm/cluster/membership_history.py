"""A history from its start to calm, and what must hold at its end."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.fleet import invariants
from cloverkeel.fleet.membership.health import suspicion_timeout_s
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.storm.cluster.faults import History
from faultlab.storm.cluster.lists import ListDistribution
from faultlab.storm.cluster.membership import MembershipCluster

CHECK_INTERVAL_S = 0.25  # simulated seconds between two looks at whether the views agree
MIN_AGREEMENT_S = 2.0  # agreement counts once it has stood for longer than the slowest probe takes
LISTS_AGREE_S = 15.0  # after the views, the lists agree within this
LIST_CHANGE_S = 2.0  # and changes are told within this
MAX_PUSH_PULLS = 3  # periods of push-pull within which they must, besides one longest suspicion


@dataclass(slots=True)
class ClusterResult:
    """How a history ended. `violation` names what broke, at event number `events`; None: nothing did."""

    history: History
    events: int = 0
    members: int = 0
    virtual_s: float = 0.0
    agreed_s: float | None = None  # from calm until all views agreed
    deaths: int = 0
    violation: str | None = None
    last_actions: list[str] = field(default_factory=list)  # the last that cores told before it


def play(history: History, check: bool = True) -> ClusterResult:
    """Play `history`; the first violation ends it. Deterministic."""
    cluster = MembershipCluster(history, check)
    outcome = ClusterResult(history)
    was_on, invariants.ON = invariants.ON, check
    try:
        outcome.agreed_s = _play(cluster, history)
    except Exception as error:  # a core's own is as much a violation as what a check found
        outcome.violation = str(error) if isinstance(error, invariants.InvariantError) else repr(error)
        outcome.last_actions = [
            f"{at_s:9.3f} s {p.name} at {p.me.address}: {a}" for at_s, p, a in cluster.last_actions
        ]
    finally:
        invariants.ON = was_on
    outcome.events, outcome.members = cluster.events, cluster.max_running
    outcome.virtual_s, outcome.deaths = cluster.clock.now_s, len(cluster.deaths)
    return outcome


def _play(cluster: MembershipCluster, history: History) -> float:
    ends_s = [fault.at_s + fault.duration_s for fault in history.faults]
    first_s = min((fault.at_s for fault in history.faults), default=history.faults_until_s)
    calm_s = max([history.faults_until_s, *ends_s])
    lists = ListDistribution(cluster, history.seed + 2, calm_s) if history.with_lists else None
    cluster.clock.run(first_s)
    _raise_if_any(_death_reports(cluster), "declared dead before any fault")
    cluster.clock.run(calm_s)
    cluster.links.heal()
    bound_s = _agreement_bound_s(cluster, history)
    agreed_s = 0.0
    while cluster.clock.now_s - calm_s < agreed_s + MIN_AGREEMENT_S:
        if cluster.restart_seeds():
            calm_s, agreed_s = cluster.clock.now_s, 0.0
        if found := disagreements(cluster):
            agreed_s = cluster.clock.now_s - calm_s + CHECK_INTERVAL_S
            _raise_if_any(found if agreed_s > bound_s else [], f"no agreement {bound_s:.1f} s into calm")
        cluster.clock.run(cluster.clock.now_s + CHECK_INTERVAL_S)
    told = len(cluster.deaths)
    rest_s = history.timing.reap_after_s + bound_s if history.await_reap else history.timing.push_pull_s
    cluster.clock.run(cluster.clock.now_s + rest_s)
    _raise_if_any(disagreements(cluster), "agreement was lost in calm")
    present = {p.name for p in cluster.active_processes()}
    _raise_if_any(
        [f"{by} of {r.name}" for _, by, r in cluster.deaths[told:] if r.name in present], "dead in calm"
    )
    if history.await_reap:
        _raise_if_any(unreaped(cluster), "not forgotten")
    if lists is not None:
        _check_lists(cluster, lists)
    return agreed_s


def _check_lists(cluster: MembershipCluster, lists: ListDistribution) -> None:
    """The views have agreed for a while: so must the lists, and a change is told to all in time."""
    ends_s = cluster.clock.now_s + LISTS_AGREE_S
    while (found := lists.disagreements()) and cluster.clock.now_s < ends_s:
        cluster.clock.run(cluster.clock.now_s + CHECK_INTERVAL_S)
    _raise_if_any(found, f"lists do not agree {LISTS_AGREE_S} s after the views")
    lists.service.change()
    cluster.clock.run(cluster.clock.now_s + LIST_CHANGE_S)
    _raise_if_any(lists.disagreements(), f"a change is not told {LIST_CHANGE_S} s later")


def _raise_if_any(found: list[str], what: str) -> None:
    if found:
        more = f" and {len(found) - 4} more" if len(found) > 4 else ""
        raise invariants.InvariantError(f"{what}: {'; '.join(found[:4])}{more}")


def _agreement_bound_s(cluster: MembershipCluster, history: History) -> float:
    timing = history.timing
    longest_s = suspicion_timeout_s(
        cluster.max_running, 0, timing.probe_interval_s, timing.suspicion_alpha, timing.suspicion_beta
    )
    return MAX_PUSH_PULLS * timing.push_pull_s + longest_s


def _death_reports(cluster: MembershipCluster) -> list[str]:
    return [f"{by} of {rumour.name}" for _, by, rumour in cluster.deaths]


def disagreements(cluster: MembershipCluster) -> list[str]:
    """Where views differ from who is there: each process that speaks, at its incarnation and address, and
    nobody else as alive; one process to a name; and one for each name whose process nothing befell, or that
    is to ask for it again."""
    found: list[str] = []
    present: dict[str, MemberUpdate] = {}
    for process in cluster.active_processes():
        if process.name in present:
            found.append(f"{process.name} speaks at {process.me.address} and {present[process.name].address}")
        present[process.name] = process.member.me
    for process in cluster.processes.values():
        expected = process.will_rejoin or process.name not in cluster.faulted_names
        if process.up and process.name not in present and expected:
            found.append(f"nobody speaks for {process.name}")
    for process in cluster.active_processes():
        members = process.member.members()
        if members == present:
            continue
        for name, rumour in present.items():
            held = members.get(name)
            if held != rumour:
                shown = (
                    "nothing" if held is None else f"{held.status.value} {held.incarnation} at {held.address}"
                )
                found.append(
                    f"{process.name} holds {shown} of {name} ({rumour.incarnation} at {rumour.address})"
                )
        for name, held in members.items():
            if name not in present and held.status in (Status.ALIVE, Status.SUSPECT):
                found.append(f"{process.name} holds {name} {held.status.value}, which is gone")
    return found


def unreaped(cluster: MembershipCluster) -> list[str]:
    """Names that are gone and still in a view."""
    present = {p.name for p in cluster.active_processes()}
    return [
        f"{process.name} still holds {name} {held.status.value}"
        for process in cluster.active_processes()
        for name, held in process.member.members().items()
        if name not in present
    ]
