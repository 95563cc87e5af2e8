"""Membership's local health: which events lower it, and that many deaths at once do not."""

import random
from dataclasses import replace

from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Nack, Ping, PingReq, Push, Send, Timing
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.storm.cluster.faults import History
from faultlab.storm.cluster.membership import MembershipCluster

A, B, C, D = (MemberUpdate(name, f"127.0.0.1:{n}", 1, Status.ALIVE) for n, name in enumerate("abcd", 1))


def member_after_failed_probe(nacks: int, suspected: bool) -> Member:
    """A member whose first probe failed, with `nacks` nacks, its target already suspected or not."""
    member = Member(A, Timing(), rng=random.Random(1))
    member.start(0.0)
    member.receive(Push(B, (B, C, D)), 0.0)
    pings = [a.message for a in member.tick(0.2) if isinstance(a, Send) and isinstance(a.message, Ping)]
    target = pings[0].target
    ping_reqs = [a for a in member.tick(0.31) if isinstance(a, Send) and isinstance(a.message, PingReq)]
    assert len(ping_reqs) == 2
    helpers = [r for r in (B, C, D) if r.name != target]
    for helper in helpers[:nacks]:
        member.receive(Nack(pings[0].seq, helper), 0.35)
    if suspected:
        suspicion = replace(member.view.members[target], status=Status.SUSPECT, suspected_by=helpers[0].name)
        member.receive(Ping(9, helpers[0], "a", (suspicion,)), 0.36)
    member.tick(0.41)
    assert member.view.members[target].status is Status.SUSPECT
    return member


def test_a_failed_probe_lowers_local_health_unless_a_nack_or_another_suspicion_clears_the_prober() -> None:
    assert member_after_failed_probe(0, False).roster.health.score == 1
    assert member_after_failed_probe(1, False).roster.health.score == 0
    assert member_after_failed_probe(0, True).roster.health.score == 0


def test_a_stall_lowers_local_health_by_its_length() -> None:
    member = Member(A, Timing())
    member.on_stall(0.19)
    assert member.roster.health.score == 0
    member.on_stall(0.5)
    assert member.roster.health.score == 2
    member.on_stall(60.0)
    assert member.roster.health.score == member.roster.health.max_score


def test_seven_in_ten_members_killed_at_once_are_soon_declared_dead_and_no_others() -> None:
    cluster = MembershipCluster(History(seed=1, size=40, start_s=0.05), check=True)
    cluster.clock.run(4.0)
    gone = random.Random(1).sample(list(cluster.processes.values()), 28)
    for process in gone:
        process.up = False
    cluster.clock.run(cluster.clock.now_s + 8.0)  # it took 19 s when each failed probe lowered local health
    names = {process.name for process in gone}
    for process in cluster.active_processes():
        known = process.member.view.members
        assert {name for name, update in known.items() if update.status is Status.DEAD} == names
