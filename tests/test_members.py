"""Membership's core: the order of rumours and Lifeguard's timings."""

import heapq
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.membership.broadcasts import Broadcasts, retransmits
from cloverkeel.fleet.membership.health import LocalHealth, suspicion_timeout_s
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Action, Changed, Message, Send, Timing
from cloverkeel.fleet.membership.rumours import Rumour, Status, View

ME = Rumour("a", "127.0.0.1:1", 5, Status.ALIVE)
names, addresses = st.sampled_from(["b", "c", "d"]), st.sampled_from(["127.0.0.1:2", "127.0.0.1:3"])
rumours = st.builds(Rumour, names, addresses, st.integers(0, 4), st.sampled_from(Status))


@given(st.lists(rumours, max_size=20), st.randoms())
def test_views_that_heard_the_same_rumours_in_any_order_or_twice_agree(
    heard: list[Rumour], rng: object
) -> None:
    shuffled = heard * 2
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    first, second = View(ME), View(ME)
    for rumour in heard:
        first.merge(rumour)
    for rumour in shuffled:
        second.merge(rumour)
    assert first.members == second.members
    for name, rumour in first.members.items():
        assert rumour.order == max(r.order for r in heard if r.name == name)


def test_a_member_refutes_a_suspicion_of_itself_and_ignores_its_old_self() -> None:
    view = View(ME)
    assert view.merge(Rumour("a", ME.address, 5, Status.SUSPECT)) == Rumour("a", ME.address, 6, Status.ALIVE)
    assert view.merge(Rumour("a", "127.0.0.1:9", 4, Status.LEFT)) is None  # the old process of an upgrade
    assert view.me.incarnation == 6


def test_a_dead_member_comes_back_only_with_a_higher_incarnation() -> None:
    view = View(ME)
    view.merge(Rumour("b", "x", 3, Status.DEAD))
    assert view.merge(Rumour("b", "x", 3, Status.ALIVE)) is None
    assert view.merge(Rumour("b", "x", 4, Status.ALIVE)) is not None


def test_suspicion_shrinks_with_confirmations_from_beta_times_the_least_to_the_least() -> None:
    times = [suspicion_timeout_s(50, c, 0.2, 2.0, 6.0) for c in range(6)]
    assert times == sorted(times, reverse=True)
    assert abs(times[0] - 6 * 0.68) < 0.01 and abs(times[3] - 0.68) < 0.01 and times[5] == times[3]


def test_local_health_is_bounded_and_scales_the_timings() -> None:
    health = LocalHealth()
    for _ in range(20):
        health.worse()
    assert health.scale == 9
    health.better()
    assert health.scale == 8 and retransmits(4, 50) == 24


@given(st.lists(rumours, min_size=1, max_size=30), st.integers(1, 5), st.integers(40, 200))
def test_each_rumour_rides_at_most_its_limit_and_the_newest_of_a_name_wins(
    added: list[Rumour], limit: int, budget: int
) -> None:
    queue = Broadcasts()
    for rumour in added:
        queue.add(rumour)
    sent: list[Rumour] = []
    for _ in range(limit * len(added) + 1):
        taken = queue.take(budget, lambda r: 40, limit)
        assert len(taken) <= budget // 40
        sent += taken
    newest = {r.name: r for r in added}
    assert sorted(sent, key=str) == sorted(list(newest.values()) * limit, key=str)
    assert not queue.waiting


class Net:
    """Members on simulated time: every datagram takes `delay_s`, some are dropped or doubled by `rng`."""

    def __init__(self, count: int, seed: int, drop: float = 0.0, twice: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.drop, self.twice, self.now_s = drop, twice, 0.0
        self.members = {
            f"127.0.0.1:{n}": Member(
                Rumour(f"m{n}", f"127.0.0.1:{n}", 1, Status.ALIVE),
                Timing(),
                seeds=("127.0.0.1:0",) if n else (),
                rng=random.Random(seed + n),
            )
            for n in range(count)
        }
        self.cut: set[str] = set()  # addresses whose datagrams are lost both ways
        self.flight: list[tuple[float, int, str, Message]] = []
        self.actions: list[tuple[str, object]] = []
        for address, member in self.members.items():
            self.carry(address, member.start(0.0))

    def carry(self, source: str, actions: list[Action]) -> None:
        for action in actions:
            self.actions.append((source, action))
            if not isinstance(action, Send) or {source, action.address} & self.cut:
                continue
            if self.rng.random() < self.drop:
                continue
            for _ in range(2 if self.rng.random() < self.twice else 1):
                delay_s = 0.001 + self.rng.random() * 0.004
                landing = (self.now_s + delay_s, len(self.actions), action.address, action.message)
                heapq.heappush(self.flight, landing)

    def run(self, until_s: float, step_s: float = 0.01) -> None:
        while self.now_s < until_s:
            self.now_s += step_s
            while self.flight and self.flight[0][0] <= self.now_s:
                _, _, address, message = heapq.heappop(self.flight)
                if address in self.members and address not in self.cut:
                    self.carry(address, self.members[address].receive(message, self.now_s))
            for address, member in self.members.items():
                if address not in self.cut:
                    self.carry(address, member.tick(self.now_s))

    def status(self, name: str) -> set[Status | None]:
        """What every member outside the cut holds of `name`."""
        return {
            m.members()[name].status if name in m.members() else None
            for a, m in self.members.items()
            if a not in self.cut and m.me.name != name
        }


def test_members_that_join_by_one_seed_all_see_all_alive_and_a_silent_one_dies() -> None:
    net = Net(5, seed=1)
    net.run(2.0)
    assert all(len(m.members()) == 5 for m in net.members.values())
    assert net.status("m3") == {Status.ALIVE}
    net.cut.add("127.0.0.1:3")
    killed_s = net.now_s
    while net.status("m3") != {Status.DEAD} and net.now_s < killed_s + 5:
        net.run(net.now_s + 0.05)
    assert net.status("m3") == {Status.DEAD}
    assert net.now_s - killed_s < 2.5


def test_a_member_silent_for_less_than_the_suspicion_time_refutes_and_nobody_marks_it_dead() -> None:
    net = Net(5, seed=2)
    net.run(2.0)
    net.cut.add("127.0.0.1:2")
    net.run(2.3)
    net.cut.clear()
    net.run(5.0)
    deaths = [a for _, a in net.actions if isinstance(a, Changed) and a.rumour.status is Status.DEAD]
    assert not deaths
    assert net.status("m2") == {Status.ALIVE} and net.members["127.0.0.1:2"].me.incarnation > 1


def test_a_graceful_leave_is_known_at_once_and_a_dead_member_is_reaped() -> None:
    net = Net(4, seed=3)
    net.run(2.0)
    leaver = net.members["127.0.0.1:1"]
    net.carry("127.0.0.1:1", leaver.leave(net.now_s))
    net.run(net.now_s + 0.05)
    assert net.status("m1") == {Status.LEFT}
    net.run(net.now_s + Timing().reap_after_s + 1)
    assert net.status("m1") == {None}


def test_a_second_process_that_claims_a_name_held_elsewhere_is_refused_unless_it_takes_over() -> None:
    net = Net(3, seed=4)
    net.run(1.0)
    for take_over in (False, True):
        twin = Member(Rumour("m2", "127.0.0.1:9", 1, Status.ALIVE), Timing(), ("127.0.0.1:0",), take_over)
        net.members["127.0.0.1:9"] = twin
        net.carry("127.0.0.1:9", twin.start(net.now_s))
        net.run(net.now_s + 0.5)
        assert twin.refused is not take_over
        if not take_over:
            del net.members["127.0.0.1:9"]
    net.run(net.now_s + 1.0)
    old = net.members["127.0.0.1:2"]
    assert old.refused and not old.leave(net.now_s)  # taken over: it says nothing more, not even its leave
    assert {m.members()["m2"].address for m in net.members.values() if m is not old} == {"127.0.0.1:9"}


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 2**31), st.floats(0, 0.15), st.floats(0, 0.2))
def test_after_drops_and_duplicates_stop_every_view_agrees_and_holds_every_member_alive(
    seed: int, drop: float, twice: float
) -> None:
    net = Net(5, seed, drop, twice)
    net.run(6.0)
    net.drop = net.twice = 0.0
    net.run(net.now_s + 2 * Timing().push_pull_s + 2)
    views = [{n: (r.status, r.incarnation) for n, r in m.members().items()} for m in net.members.values()]
    assert all(view == views[0] for view in views)
    assert {status for status, _ in views[0].values()} == {Status.ALIVE}
