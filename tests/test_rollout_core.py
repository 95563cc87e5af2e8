"""The conductor's core and the analysis: stages, verdicts, orders, successive conductors."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.rollout.analysis import Counts, counts_from_list, judge, latency_bucket
from cloverkeel.fleet.rollout.core import (
    Conductor,
    CountsReported,
    MembersChanged,
    OrdersChanged,
    ProgressWritten,
    Tick,
    WriteFailed,
    WriteProgress,
)
from cloverkeel.fleet.rollout.records import Order, Progress, Rules, Selector, Spec, Verb, encode, newest

SPEC = Spec("new", Selector(groups=("9",)), (5, 50, 100), bake_s=2.0, rules=Rules(least=20))
MEMBERS = ("a", "b")


def counts(ended: int, failed: int = 0, latency_ms: int = 20) -> Counts:
    """Counts of requests, all with one latency."""
    found = Counts(ended, failed)
    found.latency[latency_bucket(latency_ms * 1000)] = ended - failed
    return found


@dataclasses.dataclass
class Fleet:
    """Members that serve each step at once and count at fixed rates, and a ledger that keeps all writes."""

    new_rate: float = 40
    base_rate: float = 60
    new_failure_rate: float = 0.0
    new_latency_ms: int = 20
    now_s: float = 100.0
    token: int = 1
    orders: list[Order] = dataclasses.field(default_factory=list)
    written: list[Progress] = dataclasses.field(default_factory=list)
    ended: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)
    disk_full: bool = False
    order_count: int = 0

    def __post_init__(self) -> None:
        self.conductor = Conductor(self.token, None)
        self.dispatch(MembersChanged(MEMBERS))

    @property
    def progress(self) -> Progress:
        return newest(tuple(encode(progress) for progress in self.written)) or Progress()

    def state_and_stage(self) -> tuple[str, int]:
        return self.progress.state, self.progress.stage

    def dispatch(self, event: object) -> None:
        for action in self.conductor.handle(self.now_s, event):  # type: ignore[arg-type]
            if not isinstance(action, WriteProgress):
                continue
            if self.disk_full:
                self.dispatch(WriteFailed(action.progress.version, "disk full"))
                continue
            assert action.progress.version > self.progress.version
            self.written.append(action.progress)
            self.dispatch(ProgressWritten(action.progress.version))

    def order(self, verb: Verb, name: str = "new", spec: Spec | None = None) -> Order:
        self.order_count += 1
        order = Order(f"{self.order_count:032x}", self.order_count, verb, name, spec)
        self.orders.append(order)
        self.dispatch(OrdersChanged(tuple(self.orders)))
        return order

    def next_conductor(self) -> None:
        self.token += 1
        self.conductor = Conductor(self.token, self.progress)
        self.dispatch(MembersChanged(MEMBERS))
        self.dispatch(OrdersChanged(tuple(self.orders)))

    def run(self, length_s: float) -> None:
        until_s = self.now_s + length_s
        while self.now_s < until_s:
            self.now_s += 0.5
            share = self.progress.share / 100
            for member in MEMBERS:
                new, base = self.ended.get(member, (0.0, 0.0))
                new += 0.5 * self.new_rate * (share > 0)
                base += 0.5 * self.base_rate * (share < 1)
                self.ended[member] = new, base
                failed = int(new * self.new_failure_rate)
                version = self.progress.version
                self.dispatch(
                    CountsReported(
                        member, 1, version, counts(int(new), failed, self.new_latency_ms), counts(int(base))
                    )
                )
            self.dispatch(Tick())


def started(**rates: float) -> Fleet:
    fleet = Fleet(**rates)  # type: ignore[arg-type]
    fleet.order("start", spec=SPEC)
    return fleet


def test_a_good_set_passes_every_stage_in_order_and_the_rollout_is_done() -> None:
    fleet = started()
    shares = []
    for _ in range(30):
        fleet.run(0.5)
        shares.append(fleet.progress.share)
    assert fleet.progress.state == "done" and list(dict.fromkeys(shares)) == [5, 50, 100]
    fleet.order("undo")
    fleet.run(1)
    assert (fleet.progress.state, fleet.progress.share) == ("rolled-back", 0)


@pytest.mark.parametrize(
    ("rates", "reason"), [({"new_failure_rate": 0.3}, "more failed"), ({"new_latency_ms": 90}, "slower")]
)
def test_a_bad_set_is_stopped_in_the_first_stage(rates: dict[str, float], reason: str) -> None:
    fleet = started(**rates)
    fleet.run(4)
    assert fleet.progress.state == "rolled-back" and fleet.progress.share == 0
    assert reason in fleet.progress.why and max(p.share for p in fleet.written) == 5


def test_a_thin_sample_neither_promotes_nor_aborts_and_is_paused_in_the_end() -> None:
    fleet = started(new_rate=0.2, new_failure_rate=1.0)
    fleet.run(15)
    assert fleet.state_and_stage() == ("baking", 0)
    fleet.run(10)
    assert fleet.state_and_stage() == ("paused", 0) and "thin" in fleet.progress.why
    fleet.order("resume")
    assert fleet.state_and_stage() == ("baking", 0)


def test_orders_are_processed_in_turn_and_each_gets_an_outcome() -> None:
    fleet = started()
    other = fleet.order("start", "other", with_name(SPEC, "other"))
    outcomes = dict(fleet.progress.outcomes)
    assert (
        outcomes[fleet.orders[0].id] == "taken" and outcomes[other.id] == "refused: new is under way (baking)"
    )
    fleet.order("pause")
    fleet.run(20)
    assert (fleet.progress.state, fleet.progress.share) == ("paused", 5)
    refused = fleet.order("undo")
    assert "there is nothing to undo" in dict(fleet.progress.outcomes)[refused.id]
    wrong = fleet.order("abort", "other")
    assert "other is not the rollout at hand" in dict(fleet.progress.outcomes)[wrong.id]
    fleet.order("abort")
    fleet.run(1)
    assert fleet.progress.state == "rolled-back"


def test_an_order_that_arrives_late_with_a_lower_key_is_still_processed() -> None:
    fleet = started()
    concurrent = Order("00", 1, "start", "other", with_name(SPEC, "other"))
    assert concurrent.sort_key < fleet.orders[0].sort_key
    fleet.orders.append(concurrent)
    fleet.dispatch(OrdersChanged(tuple(fleet.orders)))
    assert dict(fleet.progress.outcomes)["00"].startswith("refused: new is under way")
    fleet.orders.clear()  # the ledger has dropped them
    fleet.dispatch(OrdersChanged(()))
    fleet.order("pause")
    assert fleet.state_and_stage() == ("paused", 0)


def with_name(spec: Spec, name: str) -> Spec:
    return Spec(name, spec.hosts, spec.steps, spec.bake_s, spec.rules)


def test_the_next_conductor_continues_and_late_writes_of_the_previous_one_change_nothing() -> None:
    fleet = started()
    fleet.run(3)
    before = fleet.progress
    stale = Conductor(fleet.token, before)
    fleet.next_conductor()
    assert fleet.progress.token == 2 and fleet.progress.step == before.step + 1
    assert (fleet.progress.state, fleet.progress.stage) == (before.state, before.stage)
    late = [
        a
        for a in stale.handle(
            fleet.now_s, OrdersChanged((*fleet.orders, Order("f" * 32, 99, "abort", "new")))
        )
    ]
    fleet.written += [a.progress for a in late if isinstance(a, WriteProgress)]
    assert fleet.progress.token == 2 and fleet.state_and_stage()[0] == "baking"
    fleet.run(15)
    assert fleet.state_and_stage()[0] == "done"


def test_a_failed_write_of_a_step_is_retried_and_no_stage_is_skipped() -> None:
    fleet = started()
    fleet.disk_full = True
    fleet.run(10)
    assert (fleet.progress.state, fleet.progress.stage) == ("baking", 0)
    fleet.disk_full = False
    fleet.run(2)
    assert fleet.progress.stage == 1


def test_a_gateway_that_restarts_within_a_window_adds_only_its_counts_since() -> None:
    fleet = started(new_rate=0)
    fleet.run(1)
    version = fleet.progress.version
    fleet.dispatch(CountsReported("a", 2, version, counts(5), counts(5)))  # restarted: a new counts_id
    fleet.dispatch(CountsReported("b", 1, version, counts(4_000, 4_000), counts(10)))
    fleet.dispatch(Tick())
    assert fleet.progress.state == "rolling-back"  # b's failures are of this window
    fresh = started(new_rate=0)
    fresh.dispatch(
        CountsReported("a", 9, (0, 0), counts(4_000, 4_000), counts(0))
    )  # counted before it served the step
    fresh.run(1)
    assert fresh.progress.state == "baking"


def test_random_variation_rarely_fails_a_good_set_and_a_clearly_worse_one_is_detected() -> None:
    rng = random.Random(5)

    def random_counts(total: int, share: float) -> Counts:
        return counts(total, sum(rng.random() < share for _ in range(total)))

    same = sum(
        judge(random_counts(200, 0.05), random_counts(2_000, 0.05), Rules()).outcome == "fail"
        for _ in range(300)
    )
    worse = sum(
        judge(random_counts(400, 0.15), random_counts(2_000, 0.05), Rules()).outcome == "fail"
        for _ in range(100)
    )
    assert same <= 12 and worse == 100
    few = judge(
        counts(21, 21), counts(3_000), Rules(least=40)
    )  # a small sample, as when breakers have opened
    assert few.outcome == "fail" and judge(counts(21, 1), counts(3_000), Rules(least=40)).outcome == "thin"


@pytest.mark.parametrize(
    "spec",
    [
        {"steps": (50.0, 5.0, 100.0)}, {"steps": (5.0, 50.0)}, {"steps": (0.0, 100.0)}, {"hosts": {}},
        {"bake_s": 0.0}, {"name": "New"}, {"rules": {"least": 0}}, {"more": 1},
    ],
)  # fmt: skip
def test_an_invalid_spec_is_refused(spec: dict[str, object]) -> None:
    import json

    from cloverkeel.fleet.rollout.part import _parse_spec

    raw = {"name": "new", "hosts": {"groups": ["9"]}, "steps": [5, 100], "bake_s": 1} | spec
    with pytest.raises(ValueError, match="the rollout: "):
        _parse_spec(json.dumps(raw).encode())
    with pytest.raises(ValueError, match="no counts"):
        counts_from_list([1, 2, 3])


STEPS = st.sampled_from(
    ["run", "pause", "resume", "abort", "undo", "start", "next", "full", "worse", "better"]
)


@settings(max_examples=60, deadline=None)
@given(st.lists(STEPS, max_size=14))
def test_under_any_sequence_no_stage_is_skipped_and_an_abort_ends_at_share_zero(steps: list[str]) -> None:
    fleet = started()
    for step in steps:
        match step:
            case "run":
                fleet.run(3)
            case "pause" | "resume" | "abort" | "undo":
                fleet.order(step)
            case "start":
                fleet.order("start", spec=SPEC)
            case "next":
                fleet.next_conductor()
            case "full":
                fleet.disk_full = not fleet.disk_full
            case _:
                fleet.new_failure_rate = 0.5 if step == "worse" else 0.0
    fleet.disk_full = False
    fleet.run(40)
    for before, after in zip(fleet.written, fleet.written[1:], strict=False):
        assert after.share in (0, 100, *SPEC.steps) and after.version > before.version
        if after.share > before.share:
            started_anew = before.share == 0 and after.stage == 0
            assert started_anew or (before.state == "baking" and after.stage == before.stage + 1)
        if before.state in ("rolling-back", "rolled-back"):
            assert after.state in ("rolling-back", "rolled-back") or after.why == "started"
    assert fleet.progress.state in ("rolled-back", "done", "paused")
