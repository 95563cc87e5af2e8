"""The storm's clusters: histories that a test gives or that hypothesis draws, so that a failure shrinks."""

import json
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.invariants import InvariantError
from cloverkeel.fleet.lists.versioned_list import ListVersion
from cloverkeel.fleet.membership.checked import CheckedMember
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Action, MemberChanged, Message, Timing
from cloverkeel.fleet.membership.roster import Roster
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.__main__ import main
from faultlab.storm.cluster import activation_truth, budget, ledger_truth, lists
from faultlab.storm.cluster.faults import Fault, History, Kind, draw
from faultlab.storm.cluster.verdict import play

TIMING = Timing(push_pull_s=2.0, reap_after_s=4.0)
faults = st.builds(
    Fault,
    at_s=st.floats(0.0, 4.0),
    kind=st.sampled_from(Kind),
    who=st.integers(0, 9),
    share=st.floats(0.0, 0.99),
    length_s=st.sampled_from((0.2, 1.0, 4.0)),
)


@settings(max_examples=30, deadline=None)
@example([Fault(1.0, Kind.CLAIM, 1, 0.0, 0.2), Fault(1.0, Kind.RESTART_OLD, 1, 0.0, 4.0)], 2, 0, False, False)
@given(st.lists(faults, max_size=5), st.integers(2, 8), st.integers(0, 3), st.booleans(), st.booleans())
def test_whatever_befalls_a_cluster_its_views_and_lists_agree_in_calm(
    befalls: list[Fault], size: int, seed: int, reaped: bool, shared: bool
) -> None:
    calm = History(
        seed=seed, size=size, timing=TIMING, faults_s=4.0, tick_s=0.05, reaped=reaped, lists=shared
    )
    assert play(replace(calm, faults=tuple(befalls))).violation is None


def test_a_history_replays_exactly_and_checks_change_nothing() -> None:
    history = replace(draw(53), lists=True)
    first, again, unchecked = play(history), play(history), play(history, check=False)
    assert first == again == unchecked
    assert first.events > 1_000 and first.virtual_s > history.faults_s


@pytest.mark.parametrize("kind", Kind)
def test_each_fault_befalls_a_cluster(kind: Kind) -> None:
    """Each does something that calm does not, and what it does ends in agreement."""
    fault = Fault(1.0, kind, who=1, share=0.6, length_s=3.0)
    calm = History(seed=3, size=6, timing=TIMING, faults_s=4.0, tick_s=0.05, lists=True)
    outcome, quiet = play(replace(calm, faults=(fault,))), play(calm)
    assert outcome.violation is None and quiet.violation is None and not quiet.deaths
    assert outcome.events != quiet.events


def test_a_broken_rule_is_told_with_its_seed_and_replayed_to_the_same_event(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(Roster, "reap", lambda self, now_s: None)  # nobody is ever forgotten
    broken = next(seed for seed in range(100) if play(draw(seed)).violation is not None)
    told = ["storm", "--part", "cluster", "--seed", str(broken), "--histories", "1", "--json"]
    assert main(told) == 1
    shown = capsys.readouterr()
    assert json.loads(shown.out)["violations"] == 1
    events = json.loads(shown.out)["cluster_events"]
    assert f"seed={broken} event={events} broken: not forgotten" in shown.err
    replay = shown.err.partition("replay: python -m faultlab ")[2].split()
    assert main(replay) == 1
    assert f"event {events} at " in capsys.readouterr().out


def _other_digest(payload: bytes) -> bytes:
    return b"another"


def _none_may_run(self: activation_truth.ActivationTruth, *_: object) -> None:
    self.violated("runs what it may not")


@pytest.mark.parametrize(
    ("part", "place", "wrong", "what"),
    [
        ("ledger", (ledger_truth, "payload_hash"), _other_digest, "shown with a payload that does not match"),
        ("activation", (activation_truth.ActivationTruth, "running"), _none_may_run, "runs what it may not"),
    ],
)
def test_a_replicated_part_plays_and_a_rule_that_breaks_is_replayed(
    part: str,
    place: tuple[object, str],
    wrong: object,
    what: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    once = ["storm", "--part", part, "--seed", "3", "--histories", "1", "--json"]
    assert main(once) == 0
    told = json.loads(capsys.readouterr().out)
    assert told["violations"] == 0 and told[part]["events"] > 1_000
    monkeypatch.setattr(*place, wrong)
    assert main(once) == 1
    shown = capsys.readouterr()
    events = json.loads(shown.out)[part]["events"]
    assert f"seed=3 event={events} broken: " in shown.err and what in shown.err
    assert main(shown.err.partition("replay: python -m faultlab ")[2].split()) == 1
    again = capsys.readouterr().out
    assert f"event {events} at " in again and what in again


def test_lists_that_do_not_see_a_restarted_service_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lists, "answer_version", lambda asked, index, epoch: ListVersion(epoch or 0, index))
    broken = [play(replace(draw(seed), lists=True)).violation for seed in range(4, 8)]
    assert any(what is not None and "lists do not agree" in what for what in broken)


def test_a_part_that_passes_the_budget_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(budget, "fall_budget_us", lambda proxy: budget.WHOLE_US / 2)
    outcome = play(History(seed=3, size=6, timing=TIMING, faults_s=4.0, lists=True))
    assert outcome.violation is not None and "a fall budget is passed" in outcome.violation


def test_replay_asks_for_the_part_that_failed(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["storm", "--replay", "--seed", "1"])
    assert "--replay needs --part module or cluster or ledger or activation" in capsys.readouterr().err


ME, OTHER = MemberUpdate("a", "10.0.0.1:7", 5, Status.ALIVE), MemberUpdate("b", "10.0.0.2:7", 3, Status.ALIVE)


class Wrong(Member):
    """A core whose next event is told to do `wrong` by a test."""

    def receive(self, message: Message, now_s: float) -> list[Action]:
        return self.wrong(now_s)

    def wrong(self, now_s: float) -> list[Action]:
        raise NotImplementedError


def checked(wrong: object) -> CheckedMember:
    core = type("Checked", (CheckedMember, Wrong), {"wrong": wrong})(ME, Timing())
    assert isinstance(core, CheckedMember)
    core.start(0.0)
    return core


def _dies(core: Member, now_s: float) -> list[Action]:
    core.view.me = replace(ME, status=Status.DEAD)
    return []


def _falls(core: Member, now_s: float) -> list[Action]:
    core.view.me = replace(ME, incarnation=4)
    return []


def _goes_back(core: Member, now_s: float) -> list[Action]:
    return [MemberChanged(OTHER, None, ""), MemberChanged(replace(OTHER, incarnation=2), OTHER, "")]


def _refutes_twice(core: Member, now_s: float) -> list[Action]:
    return [MemberChanged(ME, ME, ""), MemberChanged(ME, ME, "")]


def _speaks_refused(core: Member, now_s: float) -> list[Action]:
    core.refused = True
    return [MemberChanged(OTHER, None, "")] if now_s > 1.0 else []


def _kills_unsuspected(core: Member, now_s: float) -> list[Action]:
    return [
        MemberChanged(OTHER, None, ""),
        MemberChanged(replace(OTHER, status=Status.DEAD), OTHER, "heard from a"),
    ]


def _hides_a_change(core: Member, now_s: float) -> list[Action]:
    core.view.members["b"] = OTHER
    return []


@pytest.mark.parametrize(
    ("wrong", "what"),
    [
        (_dies, "holds itself dead"),
        (_falls, "own incarnation fell"),
        (_goes_back, "a change of no higher precedence"),
        (_refutes_twice, "refuted twice"),
        (_speaks_refused, "speaks"),
        (_kills_unsuspected, "not suspected"),
        (_hides_a_change, "the view is not what was told"),
    ],
)
def test_a_checked_member_tells_what_a_core_did_wrong(wrong: object, what: str) -> None:
    core = checked(wrong)
    with pytest.raises(InvariantError, match=what):
        for now in range(1, 200):
            core.receive(None, float(now))  # type: ignore[arg-type]
