"""The rules of the soak, each on records that break it and on records that do not, and three short seeds."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from faultlab.__main__ import main
from faultlab.gateway_process import GatewayProcess
from faultlab.soak.clients import LoadGenerator
from faultlab.soak.command import total_figures
from faultlab.soak.gateways import ManagedGateway
from faultlab.soak.judge import Judge
from faultlab.soak.notification import NotificationClock
from faultlab.soak.records import (
    Arrival,
    DiscoveryAddress,
    Exchange,
    ExchangeEnd,
    Fall,
    HostChange,
    Outage,
    ProcessRun,
    Records,
    Watch,
)
from faultlab.soak.schedule import EventKind, ScheduledEvent, schedule
from faultlab.soak.settings import Settings, draw_settings
from faultlab.soak.site import Result, SoakSite

SETTINGS = Settings(seed=1, duration_s=60.0)
SERVED = Exchange("a", "transfer", 0, 1, 100.0, 101.0, end=ExchangeEnd.ANSWERED, ended_s=100.1, status=200)
CLOSED = replace(SERVED, end=ExchangeEnd.CLOSED, ended_s=100.1, status=0)
LEFT = replace(SERVED, end=ExchangeEnd.CLIENT_LEFT, ended_s=100.0, status=0)
FIRST = Arrival("a", 0, 100.01, 100.01, 0.9)


def rules(
    *exchanges: Exchange, arrivals: list[Arrival] | None = None, run: ProcessRun | None = None
) -> set[str]:
    """The names of the rules that these records break."""
    records = Records(list(exchanges), runs={(0, 1): run or ProcessRun(0, 1, 0.0, ready_s=1.0)})
    for arrival in arrivals or ():
        records.arrivals.setdefault(arrival.id, []).append(arrival)
    records.drains.append(HostChange(7, 50.0, written_s={(0, 1): 50.0}))
    return {violation.rule for violation in Judge(SETTINGS, records).violations()}


@pytest.mark.parametrize(
    ("exchange", "arrivals", "broken"),
    [
        (SERVED, [FIRST], set()),
        (replace(SERVED, ended_s=101.4), [FIRST], set()),
        (replace(SERVED, ended_s=101.6), [FIRST], {"lost"}),
        (replace(SERVED, end=ExchangeEnd.NO_RESPONSE, ended_s=102.5), [FIRST], {"lost"}),
        (CLOSED, [], set()),
        (CLOSED, [FIRST], {"lost"}),
        (replace(CLOSED, ended_s=100.4), [], {"lost"}),
        (replace(CLOSED, is_client_retry=True), [], {"lost"}),
        (SERVED, [FIRST, replace(FIRST, host=1)], {"duplicate"}),
        (SERVED, [replace(FIRST, may_have_run=False), replace(FIRST, host=1)], set()),
        (replace(SERVED, status=503), [FIRST], {"duplicate"}),
        (replace(SERVED, status=503), [replace(FIRST, may_have_run=False)], set()),
        (SERVED, [FIRST, replace(FIRST, id="b")], {"duplicate"}),
        (replace(SERVED, klass="hold"), [FIRST, replace(FIRST, host=1, last_byte_s=100.9)], set()),
        (replace(SERVED, klass="hold"), [FIRST, replace(FIRST, host=1, last_byte_s=101.1)], {"duplicate"}),
        (SERVED, [replace(FIRST, host=7)], {"drain"}),
        (SERVED, [replace(FIRST, budget_s=1.3)], {"budget"}),
        (LEFT, [replace(FIRST, first_byte_s=100.2, budget_s=0.8)], {"lost"}),
        (LEFT, [FIRST], set()),
    ],
)  # fmt: skip
def test_each_rule_is_broken_only_by_records_that_break_it(
    exchange: Exchange, arrivals: list[Arrival], broken: set[str]
) -> None:
    assert rules(exchange, arrivals=arrivals) == broken


@pytest.mark.parametrize(("sent_s", "broken"), [(100.0, set()), (100.9, {"lost"})])
def test_a_request_open_at_sigkill_is_lost_if_sent_late_after_sigterm(
    sent_s: float, broken: set[str]
) -> None:
    run = ProcessRun(0, 1, 0.0, ready_s=1.0, sigterm_s=100.0, sigkill_s=101.7)
    late = replace(CLOSED, sent_s=sent_s, deadline_s=sent_s + 1.0, ended_s=101.7)
    assert rules(late, arrivals=[replace(FIRST, first_byte_s=sent_s, budget_s=1.0)], run=run) == broken


def test_a_process_that_is_ready_too_late_is_a_violation() -> None:
    assert rules(run=ProcessRun(0, 1, 0.0, ready_s=10.1)) == {"ready"}


SILENT = Outage(20.0, 23.0, is_silent=True)
REFUSED = Outage(20.0, 23.0, is_silent=False)
WATCH = Watch(1, 19.0, hold_s=4.0, until_s=23.0)


@pytest.mark.parametrize(
    ("since_s", "outages", "watches", "moved_s", "asked_s", "pushed_s"),
    [
        (10.0, [], [], None, 16.0, 10.0),
        (3.0, [], [], None, 11.0, 5.0),  # before the process started
        (19.0, [REFUSED], [], None, 25.0, 19.0),  # a later outage delays nothing
        (21.0, [REFUSED], [], None, 29.0, 23.0),
        (21.0, [SILENT], [WATCH], None, 26.0, 23.0),
        (21.0, [SILENT], [replace(WATCH, hold_s=6.0)], None, 27.0, 23.0),
        (21.0, [SILENT], [replace(WATCH, until_s=19.5)], None, 29.0, 23.0),
        (21.0, [SILENT], [replace(WATCH, run_number=2)], None, 29.0, 23.0),
        (26.0, [SILENT], [WATCH], None, 32.0, 26.0),
        (29.0, [], [], 30.0, 34.0, 29.0),
        (31.0, [], [], 30.0, 34.0, 34.0),
        (35.0, [], [], 30.0, 41.0, 35.0),
        (21.0, [SILENT], [], 22.0, 26.0, 26.0),  # moved to another address before the outage ended
    ],
)
def test_a_change_counts_as_known_by_the_rules_of_its_time(
    since_s: float,
    outages: list[Outage],
    watches: list[Watch],
    moved_s: float | None,
    asked_s: float,
    pushed_s: float,
) -> None:
    """One process, started at 5 s.

    Guards against counting a change as known too late: drains before the last outage of an agent once were.
    """
    addresses = [DiscoveryAddress(float("-inf"), outages, watches)]
    if moved_s is not None:
        addresses.append(DiscoveryAddress(moved_s))
    records = Records(runs={(0, 1): ProcessRun(0, 1, 5.0)}, addresses={0: addresses})
    change = HostChange(7, since_s)
    assert NotificationClock(records, pushed=False).known_s(change, 0, 1) == asked_s
    assert NotificationClock(records, pushed=True).known_s(change, 0, 1) == pushed_s
    change.written_s[0, 1] = since_s + 0.1
    assert NotificationClock(records, pushed=False).known_s(change, 0, 1) == since_s + 0.1


def test_an_outage_of_the_new_address_delays_when_a_change_is_known_after_a_sighup() -> None:
    moved = DiscoveryAddress(19.0, [SILENT])
    records = Records(runs={(0, 1): ProcessRun(0, 1, 5.0)}, addresses={0: [DiscoveryAddress(0.0), moved]})
    assert NotificationClock(records, pushed=False).known_s(HostChange(7, 21.0), 0, 1) == 27.0
    assert NotificationClock(records, pushed=True).known_s(HostChange(7, 21.0), 0, 1) == 23.0


@pytest.mark.parametrize(("knowing", "broken"), [(2, set()), (3, {"fall"})])
def test_a_fall_breaks_a_rule_if_over_two_thirds_came_from_gateways_that_knew(
    knowing: int, broken: set[str]
) -> None:
    start = HostChange(0, 10.0, written_s={(0, 1): 20.0})
    requests = [(19.0 if index >= knowing else 21.0, f"{index}") for index in range(3)]
    exchanges = [replace(SERVED, id=id_, sent_s=at_s) for at_s, id_ in requests]
    records = Records(exchanges, runs={(0, 1): ProcessRun(0, 1, 5.0, ready_s=6.0)})
    records.falls.append(Fall(21.0, start, requests))
    assert {each.rule for each in Judge(SETTINGS, records).violations()} == broken


def test_a_seed_always_draws_the_same_schedule_and_all_kinds_occur() -> None:
    assert schedule(draw_settings(5, 60.0)) == schedule(draw_settings(5, 60.0))
    kinds = {planned.kind for seed in range(6) for planned in schedule(draw_settings(seed, 60.0))}
    assert kinds == set(EventKind)


def test_the_last_line_has_the_required_figures() -> None:
    assert {"seeds", "requests", "kills", "signals", "broken"} <= total_figures([Result(1)]).keys()


@pytest.mark.parametrize("arguments", [["--seeds", "x"], ["--seeds", "3-1"], ["--minutes", "0"]])
def test_bad_arguments_are_one_line(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["soak", *arguments])
    assert ended.value.code == 2 and "not a" in capsys.readouterr().err


def test_a_process_that_the_system_has_not_created_yet_has_no_figures(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an AssertionError at the end of a seed while a killed process is being started again."""

    async def end_while_starting() -> None:
        starting = asyncio.Event()

        async def start(gateway: GatewayProcess) -> float:
            starting.set()
            await asyncio.Event().wait()  # until this task is cancelled
            return 0.0

        monkeypatch.setattr(GatewayProcess, "start", start)
        async with SoakSite(replace(SETTINGS, gateways=0), tmp_path) as site:
            process = ManagedGateway(0, SETTINGS, site.records, tmp_path)
            site.gateways.append(process)
            site.tasks.spawn(process.start("127.0.0.1:1", []))
            await starting.wait()
            process.check_process()
            assert (process.pid, process.memory_kb(), process.descriptors()) == (None, 0, 0)
        assert not site.tasks and not site.records.violations

    asyncio.run(end_while_starting())


def test_an_event_that_raises_fails_its_seed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an event's task that raises unnoticed, with the seed going on without the event."""

    async def fail(*_: object) -> None:
        raise OSError("address already in use")

    async def play() -> Result:
        monkeypatch.setattr(SoakSite, "apply_event", fail)
        monkeypatch.setattr(LoadGenerator, "run_request", fail)
        async with SoakSite(replace(SETTINGS, gateways=0, duration_s=0.1), tmp_path) as site:
            site.clients.ports.append(1)
            return await site.run()

    monkeypatch.setattr(
        "faultlab.soak.site.schedule", lambda _: [ScheduledEvent(0.0, EventKind.DRAIN, 0, 1.0)]
    )
    rules = {violation.rule for violation in asyncio.run(play()).violations}
    assert rules == {"lab"}


def test_short_seeds_break_no_rule(capsys: pytest.CaptureFixture[str]) -> None:
    """Three seeds, the last with a crowd of idle clients. Longer and more seeds are run by hand."""
    assert main(["soak", "--seeds", "1-3", "--minutes", "0.4", "--json"]) == 0, capsys.readouterr().out
