"""Membership's core under faults that the storm found: each on messages and times made by hand."""

from dataclasses import replace

from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Changed, Ping, Timing
from cloverkeel.fleet.membership.rumours import Rumour, Status

A = Rumour("a", "127.0.0.1:1", 5, Status.ALIVE)
B = Rumour("b", "127.0.0.1:2", 3, Status.ALIVE)


def started(me: Rumour = A, seeds: tuple[str, ...] = (), take_over: bool = False) -> Member:
    member = Member(me, Timing(), seeds, take_over)
    member.start(0.0)
    return member


def test_a_ping_that_says_its_suspicion_twice_is_refuted_once() -> None:
    member = started()
    suspicion = replace(A, status=Status.SUSPECT, by="b")
    actions = member.receive(Ping(1, B, "a", (suspicion,), suspect=True), 1.0)
    assert [a.rumour.incarnation for a in actions if isinstance(a, Changed) and a.rumour.name == "a"] == [6]
    assert member.roster.health.score == 1


def test_the_forgotten_are_not_learned_again_from_a_member_that_has_yet_to_forget_them() -> None:
    member = started()
    member.receive(Ping(1, B, "a"), 1.0)
    for status in (Status.DEAD, Status.LEFT):
        gone = Rumour("c", "127.0.0.1:3", 1, status)
        assert not [a for a in member.receive(Ping(2, B, "a", (gone,)), 2.0) if isinstance(a, Changed)]
        assert "c" not in member.members() and "c" not in member.roster.broadcasts.waiting


def test_a_member_started_with_an_old_incarnation_outranks_what_is_held_of_its_older_self() -> None:
    member = started()
    older = replace(A, incarnation=9)
    member.receive(Ping(1, B, "a", (older,)), 1.0)
    assert member.me.incarnation == 10 and member.roster.health.score == 0
    assert member.roster.broadcasts.waiting["a"][2] == member.me
    member.receive(Ping(2, B, "a", (older, member.me)), 2.0)
    assert member.me.incarnation == 10
