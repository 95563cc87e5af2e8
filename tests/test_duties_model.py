"""The lease core: an exhaustive search over short interleavings, and its rules one by one."""

from __future__ import annotations

import copy
import random
from collections import deque
from dataclasses import dataclass, field, replace

import pytest

from cloverkeel.fleet.duties.core import LeaseManager
from cloverkeel.fleet.duties.interface import (
    Action,
    BackendAnswer,
    BackendCall,
    CallAnswered,
    DutiesConfigured,
    Duty,
    DutyEnded,
    DutyFreed,
    DutyStarted,
    Event,
    Granted,
    Held,
    NotHeld,
    Shutdown,
    Tick,
    Unreachable,
)

DUTY = Duty("d", ttl_s=1.0)
STEP_S = 0.25
LOWEST_RANDOM = random.Random()
LOWEST_RANDOM.random = lambda: 0.0  # type: ignore[method-assign]
LOWEST_RANDOM.uniform = lambda a, b: a  # type: ignore[method-assign]


@dataclass
class Process:
    """A process that competes for the duty, with its calls and answers in transit."""

    core: LeaseManager
    rate: float  # of its clock
    holds: int = 0  # token, as its DutyStarted and DutyEnded say
    calls: list[BackendCall] = field(default_factory=list)  # on their way to the backend
    answers: list[CallAnswered] = field(default_factory=list)  # on their way back


@dataclass
class State:
    """Two processes, and a backend that grants leases by its own clock alone."""

    processes: list[Process]
    now_s: float = 100.0
    holder: str = ""
    token: int = 0
    until_s: float = 0.0
    granted: set[int] = field(default_factory=set)

    def handle_event(self, process: Process, event: Event) -> None:
        for action in process.core.handle(self.now_s * process.rate, event):
            match action:
                case BackendCall():
                    process.calls.append(action)
                case DutyStarted(_, token):
                    assert process.holds == 0 and token not in self.granted, "a token is granted twice"
                    self.granted.add(token)
                    process.holds = token
                case DutyEnded(_, token, _):
                    assert process.holds == token
                    process.holds = 0
        self.check()

    def check(self) -> None:
        acting = [p.core.current_token(self.now_s * p.rate, "d") for p in self.processes]
        assert sum(token is not None for token in acting) <= 1, "two act at once"
        for process, token in zip(self.processes, acting, strict=True):
            assert token is None or token == process.holds

    def backend(self, holder: str, call: BackendCall) -> BackendAnswer:
        free = not self.holder or self.now_s >= self.until_s
        held_by_caller = not free and (self.holder, self.token) == (holder, call.token)
        if call.verb == "acquire" and free:
            self.holder, self.token, self.until_s = holder, self.token + 1, self.now_s + DUTY.ttl_s
            return Granted(self.token)
        if call.verb == "acquire":
            return Held(self.holder, self.token, self.until_s - self.now_s)
        if call.verb == "renew" and held_by_caller:
            self.until_s = self.now_s + DUTY.ttl_s
            return Granted(self.token)
        if call.verb == "release" and held_by_caller:
            self.holder = ""
        return NotHeld()

    def equivalence_key(self) -> object:
        """Equal for states with the same behaviour: times relative to now, tokens relative to the newest."""
        parts: list[object] = [self.holder, max(0.0, self.until_s - self.now_s)]
        for p in self.processes:
            now_s = self.now_s * p.rate
            for lease in p.core.leases.values():
                parts.append((
                    self.token - lease.token if lease.token else None,
                    round(max(0.0, lease.valid_until_s - now_s), 6),
                    lease.pending_call and lease.pending_call.verb,
                    round(now_s - lease.sent_at_s, 6) if lease.pending_call else 0,
                    round(max(0.0, lease.next_call_s - now_s), 6), lease.wanted,
                ))  # fmt: skip
            pending = next(iter(p.core.leases.values())).pending_call if p.core.leases else None
            number = pending.call_id if pending else 0
            parts.append(tuple((a.verb, self.token - a.token, a.call_id == number) for a in p.calls))
            parts.append(
                tuple((repr(_relative_answer(a.answer, self.token)), a.call_id == number) for a in p.answers)
            )
        return tuple(parts)


def _relative_answer(answer: BackendAnswer, token: int) -> object:
    """The answer, with tokens relative to `token`."""
    match answer:
        case Granted(its):
            return "granted", token - its
        case Held(holder, its, left_s):
            return holder, token - its, left_s
    return answer


def possible_steps(state: State) -> list[tuple[str, int]]:
    """The steps that can follow, each with the number of its process."""
    found = [("advance_time", 0)]
    for number, process in enumerate(state.processes):
        if process.calls:
            found += [("execute_call", number), ("lose_call", number)]
        if process.answers:
            found += [("deliver_answer", number), ("lose_answer", number)]
    return found


def copy_state(state: State) -> State:
    """A copy that can be changed on its own; shares what is never changed in place."""
    processes = []
    for process in state.processes:
        core = copy.copy(process.core)
        core.leases = {name: copy.copy(lease) for name, lease in core.leases.items()}
        processes.append(replace(process, core=core, calls=[*process.calls], answers=[*process.answers]))
    return replace(state, processes=processes, granted={*state.granted})


def state_after(before: State, step: str, number: int) -> State:
    """The state after a step; `before` stays unchanged."""
    state = copy_state(before)
    process = state.processes[number]
    match step:
        case "advance_time":
            state.now_s += STEP_S
            state.check()  # before any process has handled the tick
            for each in state.processes:
                state.handle_event(each, Tick())
        case "execute_call":
            call = process.calls.pop(0)
            process.answers.append(CallAnswered("d", call.call_id, state.backend(process.core.holder, call)))
        case "lose_call":
            call = process.calls.pop(0)
            process.answers.append(CallAnswered("d", call.call_id, Unreachable("lost")))
        case "deliver_answer":
            state.handle_event(process, process.answers.pop(0))
        case "lose_answer":
            process.answers.pop(0)
    return state


def search(rates: tuple[float, float], depth: int) -> int:
    """Tries every sequence of up to `depth` moves; returns the number of states.

    Raises AssertionError if two processes act at once or a token is granted twice.
    """
    first = State([Process(LeaseManager(f"p{n}", LOWEST_RANDOM), rate) for n, rate in enumerate(rates)])
    for process in first.processes:
        first.handle_event(process, DutiesConfigured((DUTY,)))
    visited, queue = {first.equivalence_key()}, deque([(first, 0)])
    while queue:
        state, steps = queue.popleft()
        if steps == depth:
            continue
        for step, number in possible_steps(state):
            next_state = state_after(state, step, number)
            if (key := next_state.equivalence_key()) not in visited:
                visited.add(key)
                queue.append((next_state, steps + 1))
    return len(visited)


@pytest.mark.parametrize("rates", [(1.0, 1.0), (0.9, 1.0), (1.0, 0.86)])
def test_two_processes_never_act_at_once_in_any_order_of_calls_losses_and_expiries(
    rates: tuple[float, float],
) -> None:
    assert search(rates, 9) > 5_000


def test_the_search_finds_a_clock_that_is_slower_than_the_margin_covers() -> None:
    with pytest.raises(AssertionError, match="two act at once"):
        search((0.7, 1.0), 12)


def start_duty(core: LeaseManager, now_s: float, token: int) -> None:
    """Make the core acquire the lease with this token."""
    call = next(a for a in core.handle(now_s, DutiesConfigured((DUTY,))) if isinstance(a, BackendCall))
    assert core.handle(now_s, CallAnswered("d", call.call_id, Granted(token)))[0] == DutyStarted("d", token)


def calls_in(actions: list[Action]) -> list[tuple[str, int]]:
    return [(a.verb, a.token) for a in actions if isinstance(a, BackendCall)]


def test_a_process_that_resumes_after_expiry_does_not_act() -> None:
    core = LeaseManager("p", LOWEST_RANDOM)
    start_duty(core, 10.0, 7)
    assert core.current_token(10.84, "d") == 7
    assert core.current_token(10.86, "d") is None  # expired, though no Tick has come
    assert DutyEnded("d", 7, "not renewed in time") in core.handle(12.0, Tick())


def test_a_grant_that_arrives_too_late_is_released() -> None:
    core = LeaseManager("p", LOWEST_RANDOM)
    call = next(a for a in core.handle(10.0, DutiesConfigured((DUTY,))) if isinstance(a, BackendCall))
    actions = core.handle(10.9, CallAnswered("d", call.call_id, Granted(3)))
    assert calls_in(actions) == [("release", 3)] and core.current_token(10.9, "d") is None


def test_a_grant_whose_answer_was_lost_is_released_and_acquired_again() -> None:
    core = LeaseManager("p", LOWEST_RANDOM)
    call = next(a for a in core.handle(10.0, DutiesConfigured((DUTY,))) if isinstance(a, BackendCall))
    core.handle(10.01, CallAnswered("d", call.call_id, Unreachable("reset")))
    again = next(a for a in core.handle(10.2, Tick()) if isinstance(a, BackendCall))
    release = core.handle(10.2, CallAnswered("d", again.call_id, Held("p", 4, 0.8)))
    assert calls_in(release) == [("release", 4)]
    number = next(a.call_id for a in release if isinstance(a, BackendCall))
    assert calls_in(core.handle(10.21, CallAnswered("d", number, NotHeld()))) == [("acquire", 0)]


def test_duties_removed_from_the_configuration_or_held_at_shutdown_are_released() -> None:
    for event in (DutiesConfigured(()), Shutdown()):
        core = LeaseManager("p", LOWEST_RANDOM)
        start_duty(core, 10.0, 7)
        actions = core.handle(10.1, event)
        assert isinstance(actions[0], DutyEnded) and calls_in(actions) == [("release", 7)]
        number = next(a.call_id for a in actions if isinstance(a, BackendCall))
        assert core.handle(10.2, CallAnswered("d", number, NotHeld())) == []
        assert core.handle(30.0, Tick()) == [] and core.current_token(30.0, "d") is None


def test_a_contender_acquires_at_once_when_the_duty_is_freed() -> None:
    core = LeaseManager("p", LOWEST_RANDOM)
    call = next(a for a in core.handle(10.0, DutiesConfigured((DUTY,))) if isinstance(a, BackendCall))
    assert core.handle(10.0, CallAnswered("d", call.call_id, Held("other", 4, 0.9))) == []
    assert calls_in(core.handle(10.01, DutyFreed("d"))) == [("acquire", 0)]
