"""Membership's protocol core on simulated time: order of updates, joins, leaves, failures, Lifeguard."""

import heapq
import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.membership.broadcasts import BroadcastQueue, retransmit_limit
from cloverkeel.fleet.membership.codec import Codec
from cloverkeel.fleet.membership.health import LocalHealth, suspicion_timeout_s
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import (
    MAX_VIEW_DATAGRAMS,
    Action,
    ExchangeViews,
    Gossip,
    MemberChanged,
    Message,
    NameConflict,
    NoSeedAnswered,
    Push,
    Send,
    Timing,
)
from cloverkeel.fleet.membership.updates import MemberUpdate, Status, View

ME = MemberUpdate("a", "127.0.0.1:1", 5, Status.ALIVE)
names, addresses = st.sampled_from(["b", "c", "d"]), st.sampled_from(["127.0.0.1:2", "127.0.0.1:3"])
updates = st.builds(MemberUpdate, names, addresses, st.integers(0, 4), st.sampled_from(Status))


@given(st.lists(updates, max_size=20), st.randoms())
def test_views_that_merged_the_same_updates_in_any_order_or_twice_agree(
    received: list[MemberUpdate], rng: object
) -> None:
    shuffled = received * 2
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    first, second = View(ME), View(ME)
    for update in received:
        first.merge(update)
    for update in shuffled:
        second.merge(update)
    assert first.members == second.members
    for name, update in first.members.items():
        assert update.precedence == max(r.precedence for r in received if r.name == name)


def test_a_member_refutes_a_suspicion_of_itself_and_ignores_its_earlier_process() -> None:
    view = View(ME)
    assert view.merge(MemberUpdate("a", ME.address, 5, Status.SUSPECT)) == MemberUpdate(
        "a", ME.address, 6, Status.ALIVE
    )
    assert (
        view.merge(MemberUpdate("a", "127.0.0.1:9", 4, Status.LEFT)) is None
    )  # the older process of an upgrade
    assert view.me.incarnation == 6


def test_a_dead_member_comes_back_only_with_a_higher_incarnation() -> None:
    view = View(ME)
    view.merge(MemberUpdate("b", "x", 3, Status.DEAD))
    assert view.merge(MemberUpdate("b", "x", 3, Status.ALIVE)) is None
    assert view.merge(MemberUpdate("b", "x", 4, Status.ALIVE)) is not None


def test_suspicion_timeout_shrinks_with_confirmations_from_beta_times_the_minimum_to_the_minimum() -> None:
    times = [suspicion_timeout_s(50, c, 0.2, 2.0, 6.0) for c in range(6)]
    assert times == sorted(times, reverse=True)
    assert abs(times[0] - 6 * 0.68) < 0.01 and abs(times[3] - 0.68) < 0.01 and times[5] == times[3]


def test_local_health_is_bounded_and_scales_the_timings() -> None:
    health = LocalHealth()
    for _ in range(20):
        health.degrade()
    assert health.multiplier == 9
    health.improve()
    assert health.multiplier == 8 and retransmit_limit(4, 50) == 24


@given(st.lists(updates, min_size=1, max_size=30), st.integers(1, 5), st.integers(40, 200))
def test_each_update_is_sent_at_most_its_limit_and_the_newest_of_a_name_wins(
    added: list[MemberUpdate], limit: int, budget: int
) -> None:
    queue = BroadcastQueue()
    for update in added:
        queue.add(update)
    sent: list[MemberUpdate] = []
    for _ in range(limit * len(added) + 1):
        taken = queue.select(budget, lambda r: 40, limit)
        assert len(taken) <= budget // 40
        sent += taken
    newest = {r.name: r for r in added}
    assert sorted(sent, key=str) == sorted(list(newest.values()) * limit, key=str)
    assert not queue.queued


CODEC = Codec("c" * 64)


def address_of(number: int) -> str:
    return f"127.0.0.1:{7000 + number}"


class Net:
    """Members on simulated time. Datagrams take 1 to 5 ms; `rng` drops or duplicates some of them."""

    def __init__(self, count: int, seed: int, drop: float = 0.0, duplicate: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.drop, self.duplicate, self.now_s = drop, duplicate, 0.0
        self.members = {
            address_of(n): Member(
                MemberUpdate(f"m{n}", address_of(n), 1, Status.ALIVE),
                Timing(),
                seeds=(address_of(0),) if n else (),
                rng=random.Random(seed + n),
            )
            for n in range(count)
        }
        self.cut_off: set[str] = set()  # addresses whose datagrams are lost in both directions
        self.side: set[str] = set()  # one side of a partition: no datagram passes between it and the others
        self.in_flight: list[tuple[float, int, str, Message]] = []
        self.actions: list[tuple[str, object]] = []
        for address, member in self.members.items():
            self.carry_out(address, member.start(0.0))

    def carry_out(self, source: str, actions: list[Action]) -> None:
        for action in actions:
            self.actions.append((source, action))
            if isinstance(action, ExchangeViews):  # simulates the call that exchanges both views
                asker, other = self.members[source], self.members[action.address]
                views = [Push(m.me, tuple(m.members().values())) for m in (asker, other)]
                self.carry_out(action.address, other.receive(views[0], self.now_s))
                self.carry_out(source, asker.receive(views[1], self.now_s))
            if not isinstance(action, Send) or {source, action.address} & self.cut_off:
                continue
            # Each message fits in a datagram, and is decoded unchanged.
            assert CODEC.decode(CODEC.encode(action.message)) == action.message
            if (source in self.side) != (action.address in self.side):
                continue
            if self.rng.random() < self.drop:
                continue
            for _ in range(2 if self.rng.random() < self.duplicate else 1):
                delay_s = 0.001 + self.rng.random() * 0.004
                delivery = (self.now_s + delay_s, len(self.actions), action.address, action.message)
                heapq.heappush(self.in_flight, delivery)

    def run(self, until_s: float, step_s: float = 0.01) -> None:
        while self.now_s < until_s:
            self.now_s += step_s
            while self.in_flight and self.in_flight[0][0] <= self.now_s:
                _, _, address, message = heapq.heappop(self.in_flight)
                if address in self.members and address not in self.cut_off:
                    self.carry_out(address, self.members[address].receive(message, self.now_s))
            for address, member in self.members.items():
                if address not in self.cut_off:
                    self.carry_out(address, member.tick(self.now_s))

    def status(self, name: str) -> set[Status | None]:
        """The statuses of `name` in the views of the members that are not cut off."""
        return {
            m.members()[name].status if name in m.members() else None
            for a, m in self.members.items()
            if a not in self.cut_off and m.me.name != name
        }


def test_members_that_join_by_one_seed_see_all_alive_and_a_silent_one_is_declared_dead() -> None:
    net = Net(5, seed=1)
    net.run(2.0)
    assert all(len(m.members()) == 5 for m in net.members.values())
    assert net.status("m3") == {Status.ALIVE}
    net.cut_off.add(address_of(3))
    killed_s = net.now_s
    while net.status("m3") != {Status.DEAD} and net.now_s < killed_s + 5:
        net.run(net.now_s + 0.05)
    assert net.status("m3") == {Status.DEAD}
    assert net.now_s - killed_s < 2.5


def test_a_member_silent_for_less_than_the_suspicion_timeout_refutes_and_is_not_declared_dead() -> None:
    net = Net(5, seed=2)
    net.run(2.0)
    net.cut_off.add(address_of(2))
    net.run(2.3)
    net.cut_off.clear()
    net.run(5.0)
    deaths = [a for _, a in net.actions if isinstance(a, MemberChanged) and a.update.status is Status.DEAD]
    assert not deaths
    assert net.status("m2") == {Status.ALIVE} and net.members[address_of(2)].me.incarnation > 1


def test_a_graceful_leave_is_known_at_once_and_a_dead_member_is_reaped() -> None:
    net = Net(4, seed=3)
    net.run(2.0)
    leaver = net.members[address_of(1)]
    net.carry_out(address_of(1), leaver.leave(net.now_s))
    net.run(net.now_s + 0.05)
    assert net.status("m1") == {Status.LEFT}
    net.run(net.now_s + Timing().reap_after_s + 1)
    assert net.status("m1") == {None}


def test_a_second_process_that_claims_a_name_held_elsewhere_is_refused_unless_it_takes_over() -> None:
    net = Net(3, seed=4)
    net.run(1.0)
    for take_over in (False, True):
        claimant = Member(
            MemberUpdate("m2", address_of(9), 1, Status.ALIVE), Timing(), (address_of(0),), take_over
        )
        net.members[address_of(9)] = claimant
        net.carry_out(address_of(9), claimant.start(net.now_s))
        net.run(net.now_s + 0.5)
        assert claimant.refused is not take_over
        if not take_over:
            del net.members[address_of(9)]
    net.run(net.now_s + 1.0)
    old = net.members[address_of(2)]
    assert old.refused and not old.leave(net.now_s)  # taken over: it sends nothing more, not even its leave
    assert {m.members()["m2"].address for m in net.members.values() if m is not old} == {address_of(9)}


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 2**31), st.floats(0, 0.15), st.floats(0, 0.2))
def test_after_drops_and_duplicates_stop_every_view_agrees_and_holds_every_member_alive(
    seed: int, drop: float, duplicate: float
) -> None:
    net = Net(5, seed, drop, duplicate)
    net.run(6.0)
    net.drop = net.duplicate = 0.0
    net.run(net.now_s + 2 * Timing().push_pull_s + 2)
    views = [{n: (r.status, r.incarnation) for n, r in m.members().items()} for m in net.members.values()]
    assert all(view == views[0] for view in views)
    assert {status for status, _ in views[0].values()} == {Status.ALIVE}


@settings(max_examples=6, deadline=None)
@given(st.integers(0, 2**31))
def test_a_partition_longer_than_the_suspicion_timeout_heals_within_one_push_pull_period(seed: int) -> None:
    net = Net(7, seed)
    net.run(2.0)
    net.side = {address_of(n) for n in (1, 2, 3)}
    net.run(16.0)  # the smaller side takes longer: its probes fail, which lowers its local health
    for n in range(7):
        known = net.members[address_of(n)].members().values()
        dead = {r.name for r in known if r.status is Status.DEAD}
        assert dead == ({"m0", "m4", "m5", "m6"} if n in (1, 2, 3) else {"m1", "m2", "m3"})
    net.side.clear()
    before = len(net.actions)
    net.run(16.0 + Timing().push_pull_s)
    views = [m.members() for m in net.members.values()]
    assert all(view == views[0] for view in views)
    assert {r.status for r in views[0].values()} == {Status.ALIVE}
    new_deaths = [
        a for _, a in net.actions[before:] if isinstance(a, MemberChanged) and a.update.status is Status.DEAD
    ]
    assert not new_deaths  # a death in the other side's view counts as a suspicion


def test_a_seed_that_starts_late_is_found_and_a_member_alone_contacts_it_with_backoff() -> None:
    net = Net(3, seed=6)
    late = net.members.pop(address_of(0))
    net.run(3.0)
    assert [a for _, a in net.actions if isinstance(a, NoSeedAnswered)] == [
        NoSeedAnswered((address_of(0),))
    ] * 2
    contacts = sum(s == address_of(1) and isinstance(a, Send) for s, a in net.actions)
    assert 6 <= contacts <= 10
    net.members[address_of(0)] = late
    net.run(3.0 + Timing().push_pull_s)
    assert {name for m in net.members.values() for name in m.members()} == {"m0", "m1", "m2"}


def test_a_view_of_more_than_ten_datagrams_is_exchanged_over_a_stream_by_a_joining_member_too() -> None:
    net = Net(2, seed=7)
    seed_member, joiner = net.members.values()
    for n in range(1_000):
        name = f"gateway-{n:04}"
        seed_member.receive(Push(MemberUpdate(name, f"127.0.0.1:{n + 5000}", 1, Status.ALIVE, "zone-a")), 0.0)
    net.run(0.05)
    assert [a for _, a in net.actions if isinstance(a, ExchangeViews)] == [ExchangeViews(address_of(0))]
    assert joiner.members().keys() == seed_member.members().keys() and len(joiner.members()) == 1_002
    assert sum(s == address_of(0) and isinstance(a, Send) for s, a in net.actions) <= MAX_VIEW_DATAGRAMS


def test_a_member_that_stalled_does_not_suspect_members_it_did_not_hear_from() -> None:
    net = Net(3, seed=8)
    net.run(2.0)
    stalled = net.members[address_of(1)]
    for _ in range(20):  # with a probe in progress in each
        net.run(net.now_s + 0.05)
        del net.members[address_of(1)]
        net.now_s += 0.3
        waiting, net.in_flight = net.in_flight, []
        net.members[address_of(1)] = stalled
        stalled.on_stall(0.3)
        net.carry_out(address_of(1), stalled.tick(net.now_s))
        net.in_flight = waiting
    suspected = [
        a for s, a in net.actions if isinstance(a, MemberChanged) and a.update.status is Status.SUSPECT
    ]
    assert not suspected


def test_a_suspicion_is_confirmed_by_those_that_raise_it_not_by_those_that_pass_it_on() -> None:
    member = Member(ME, Timing())
    for name in ("b", "c", "d", "e"):
        member.receive(Push(MemberUpdate(name, address_of(ord(name)), 1, Status.ALIVE)), 0.0)
    suspicion = MemberUpdate("b", address_of(ord("b")), 1, Status.SUSPECT, suspected_by="c")
    senders = [member.members()[name] for name in ("c", "d", "e")]
    for sender in senders:
        member.receive(Gossip(sender, (suspicion,)), 0.0)
    assert member.roster.suspicions["b"][1] == {"c"}
    member.receive(Gossip(senders[0], (replace(suspicion, suspected_by="e"),)), 0.0)
    assert member.roster.suspicions["b"][1] == {"c", "e"}
    sent = [a.message for a in member.tick(0.06) if isinstance(a, Send)]
    passed = [CODEC.decode(CODEC.encode(message)) for message in sent if isinstance(message, Gossip)]
    assert {r.suspected_by for m in passed for r in m.updates if r.status is Status.SUSPECT} == {"e"}


def test_a_view_with_a_gone_member_does_not_bring_it_back_to_those_that_reaped_it() -> None:
    member = Member(ME, Timing())
    sender = MemberUpdate("b", address_of(1), 1, Status.ALIVE)
    entries = tuple(MemberUpdate(status.value, address_of(2), 3, status) for status in Status)
    member.receive(Push(sender, entries), 0.0)
    assert member.members().keys() == {"a", "b", "alive", "suspect"}
    # Gossip about a death is applied, as an older update may follow it.
    member.receive(Gossip(sender, entries), 0.0)
    assert member.members()["dead"].status is Status.DEAD


def test_an_upgrade_that_learns_of_its_predecessor_late_takes_over_and_any_other_process_is_refused() -> None:
    for take_over in (True, False):
        member = Member(
            MemberUpdate("b", address_of(9), 1, Status.ALIVE), Timing(), (address_of(0),), take_over
        )
        member.start(0.0)
        assert any(isinstance(a, NoSeedAnswered) for a in member.tick(Timing().join_wait_s))
        view = (MemberUpdate("b", address_of(2), 4, Status.ALIVE),)  # of an earlier process that is gone
        actions = member.receive(Push(MemberUpdate("a", address_of(1), 1, Status.ALIVE), view), 2.0)
        assert member.refused is not take_over and member.me.incarnation == (5 if take_over else 1)
        assert any(isinstance(a, NameConflict) and a.joining for a in actions) is not take_over
