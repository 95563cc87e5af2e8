"""Membership's local health: what counts against a member itself, and that many deaths at once do not."""

import random
from dataclasses import replace

from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Nack, Ping, PingReq, Push, Send, Timing
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.storm.cluster.faults import History
from faultlab.storm.cluster.members import Cluster

A, B, C, D = (MemberUpdate(name, f"127.0.0.1:{n}", 1, Status.ALIVE) for n, name in enumerate("abcd", 1))


def probed(nacks: int, suspected: bool) -> Member:
    """A member whose first probe failed, with so many nacks, of a target that another suspects or not."""
    member = Member(A, Timing(), rng=random.Random(1))
    member.start(0.0)
    member.receive(Push(B, (B, C, D)), 0.0)
    pings = [a.message for a in member.tick(0.2) if isinstance(a, Send) and isinstance(a.message, Ping)]
    target = pings[0].target
    asked = [a for a in member.tick(0.31) if isinstance(a, Send) and isinstance(a.message, PingReq)]
    assert len(asked) == 2
    helpers = [r for r in (B, C, D) if r.name != target]
    for helper in helpers[:nacks]:
        member.receive(Nack(pings[0].seq, helper), 0.35)
    if suspected:
        held = replace(member.view.members[target], status=Status.SUSPECT, suspected_by=helpers[0].name)
        member.receive(Ping(9, helpers[0], "a", (held,)), 0.36)
    member.tick(0.41)
    assert member.view.members[target].status is Status.SUSPECT
    return member


def test_a_failed_probe_counts_against_the_prober_unless_a_nack_or_another_says_who_is_silent() -> None:
    assert probed(0, False).roster.health.score == 1
    assert probed(1, False).roster.health.score == 0
    assert probed(0, True).roster.health.score == 0


def test_a_member_that_stood_still_asks_less_and_waits_longer() -> None:
    member = Member(A, Timing())
    member.on_stall(0.19)
    assert member.roster.health.score == 0
    member.on_stall(0.5)
    assert member.roster.health.score == 2
    member.on_stall(60.0)
    assert member.roster.health.score == member.roster.health.max_score


def test_seven_in_ten_that_go_at_once_are_soon_held_dead_and_nobody_else() -> None:
    cluster = Cluster(History(seed=1, size=40, start_s=0.05), check=True)
    cluster.clock.run(4.0)
    gone = random.Random(1).sample(list(cluster.processes.values()), 28)
    for process in gone:
        process.up = False
    cluster.clock.run(cluster.clock.now_s + 8.0)  # it took 19 s when each failed probe counted
    names = {process.name for process in gone}
    for process in cluster.speakers():
        held = process.member.view.members
        assert {name for name, rumour in held.items() if rumour.status is Status.DEAD} == names
