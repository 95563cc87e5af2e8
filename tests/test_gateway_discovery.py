"""The list of hosts: loaded at the start, fetched, watched, and what happens on failures."""

from __future__ import annotations

import asyncio
import json
import re

import pytest

from caperdrift.interface import FetchList, ListKind, ServerList, WatchList
from cloverkeel.config import parse_address
from cloverkeel.discovery_timing import CALL_TIMEOUT_S, call_timeout_s, retry_delay_s
from tests.sockets import (
    Exchange,
    Peer,
    Running,
    Script,
    answers,
    configuration,
    endpoint,
    host_id,
    list_reply,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)


def lists(run: Running) -> list[ServerList]:
    """The ServerList events that the decision module gets from now on."""
    events: list[ServerList] = []
    handle = run.gateway.balancer.handle

    def listen(now_us: int, event: object) -> object:
        if isinstance(event, ServerList):
            events.append(event)
        return handle(now_us, event)  # type: ignore[arg-type]

    run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
    return events


def asked(registry: Peer) -> list[str]:
    """The targets of the calls that the list service got."""
    return [exchange.message.first.split(" ")[1] for exchange in registry.seen]


def start_watch(run: Running) -> None:
    run.gateway.execute(WatchList())


@on_loop
async def test_a_watch_continues_from_the_index_held() -> None:
    news = [
        list_reply(8, endpoint("s-1", "127.0.0.1:1"), snapshot=False),
        list_reply(8, snapshot=False),
        list_reply(9, endpoint("s-0", "127.0.0.1:1", status="DELETED"), snapshot=False),
    ]

    def script(exchange: Exchange) -> None:
        if news:
            exchange.answer(news.pop(0))

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        start_watch(run)
        start_watch(run)  # no effect while one is running
        await until(lambda: len(registry.seen) == 4)
        assert asked(registry)[0] == "/registry/instances?from=7&hold_ms=0"  # without waiting
        form = re.compile(r"/registry/instances\?from=(\d+)&hold_ms=(\d+)")
        calls = [form.fullmatch(target) for target in asked(registry)[1:]]
        assert [call and call[1] for call in calls] == ["8", "8", "9"]
        waits = {int(call[2]) for call in calls if call}
        assert len(waits) == 3  # each call draws its own hold time
        # A silent watch is reconnected before the changes that it misses exceed their bound (6 s).
        assert min(waits) >= 2_000 and max(waits) / 1000 + 2 * CALL_TIMEOUT_S <= 6.0
        assert registry.opened == 1
        assert set(run.gateway.pools.hosts) == {host_id(1)} == set(run.gateway.balancer.servers)


@on_loop
async def test_the_first_call_of_a_watch_may_be_a_long_poll_if_there_is_a_list() -> None:
    async with (
        peer(silent) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        discovery = run.gateway.discovery
        for index, first in ((7, r".*from=7&hold_ms=[1-9]\d{3}"), (None, r"/registry/instances")):
            discovery.watch(False)
            discovery.index = index
            registry.seen.clear()
            discovery.watch(True, hold_first=True)
            await until(lambda: registry.seen)
            assert re.fullmatch(first, asked(registry)[0])


@on_loop
async def test_a_stopped_watch_closes_its_connection_and_reports_nothing() -> None:
    async with (
        peer(silent) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        start_watch(run)
        await until(lambda: registry.seen)
        events = lists(run)
        run.gateway.execute(WatchList(False))
        await until(lambda: registry.ended == 1)
        assert not events and run.gateway.discovery.watching is None


@on_loop
async def test_without_a_list_a_slow_service_gets_a_longer_time_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cloverkeel.discovery_timing.CALL_TIMEOUT_S", 0.2)

    async def slow(exchange: Exchange) -> None:
        await asyncio.sleep(0.3)  # longer than one call's time-out
        exchange.answer(list_reply(9, endpoint("s-3", "127.0.0.1:1")))

    async with peer(slow) as registry:
        config = configuration(discovery=registry.address)
        config["known"] = {}
        config["settings"]["membershipMode"] = "on_request"
        async with running(config) as run:
            await until(lambda: host_id(3) in run.gateway.pools.hosts)
            assert len(asked(registry)) >= 2 and run.gateway.discovery.consecutive_timeouts == 0


@on_loop
async def test_a_full_list_removes_hosts_that_it_does_not_contain() -> None:
    listed = endpoint("s-1", "127.0.0.1:1", zone="b", group=3, since_ms=5, weight=2)
    async with peer(answers(list_reply(12, listed))) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request", "contract": {"mustAskInUs": 10**12}}
        async with running(config) as run:  # the decision module makes no calls
            events = lists(run)
            run.gateway.execute(FetchList())
            await until(lambda: events)
            assert asked(registry) == ["/registry/instances"]
            (event,) = events
            assert event.kind is ListKind.FULL
            (entry,) = event.servers
            assert (entry.zone, entry.group, entry.started_us, entry.weight) == (1, 3, 5_000, 2.0)
            assert set(run.gateway.pools.hosts) == {host_id(1)}


def reset(exchange: Exchange) -> None:
    exchange.reset()


@pytest.mark.parametrize(
    "script",
    [
        reset,
        answers(reply(503)),
        answers(reply(200, b"not JSON")),
        answers(reply(200, b"[]")),
        answers(reply(200, b"{}")),
        answers(reply(200, b'{"index":1,"endpoints":{}}')),
        answers(reply(200, b'{"index":1e999,"endpoints":[]}')),
        answers(reply(200, b"[" * 60_000)),
        answers(b"no HTTP\r\n\r\n"),
    ],
)
@on_loop
async def test_a_failed_call_is_reported_and_repeated_when_the_module_asks(script: Script) -> None:
    async with peer(script) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = "on_request"  # the decision module requests each call
        async with running(config) as run:
            events = lists(run)
            await until(lambda: len(events) >= 2)
            assert {event.kind for event in events} == {ListKind.ERROR}
            assert set(run.gateway.pools.hosts) == {host_id(0)}  # the old list is kept
            registry.script = answers(list_reply(9, endpoint("s-3", "127.0.0.1:1")))
            await until(lambda: host_id(3) in run.gateway.pools.hosts)
            registry.script = silent


@on_loop
async def test_a_pushed_list_is_watched_from_the_start_and_again_after_a_failure() -> None:
    async with (
        peer(reset) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await until(lambda: len(registry.seen) >= 2)
        registry.script = answers(list_reply(9, endpoint("s-3", "127.0.0.1:1")))
        await until(lambda: host_id(3) in run.gateway.pools.hosts)
        registry.script = silent


@on_loop
async def test_a_new_address_is_called_at_once_whatever_failed_at_the_old_one() -> None:
    """Guards against the retry delay of a failed call, up to 4 s, outlasting a change of address: changes are
    due 4 s after it."""
    async with peer(reset) as old, peer(silent) as new:
        config = configuration("127.0.0.1:1", discovery=old.address)
        config["settings"] |= {"membershipMode": "on_request", "contract": {"mustAskInUs": 10**12}}
        async with running(config) as run:  # the decision module makes no calls
            events = lists(run)
            start_watch(run)
            await until(lambda: events)
            assert run.gateway.discovery.watching is None
            run.gateway.discovery.change_address(parse_address(new.address, "discovery"))
            await until(lambda: new.seen)
            assert asked(new) == ["/registry/instances"]


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_a_silent_watch_is_reconnected(monkeypatch: pytest.MonkeyPatch, mode: str) -> None:
    """Guards against a silent watch that is kept for 20 s and more: changes are due after 6 s."""
    monkeypatch.setattr("cloverkeel.discovery_timing.HOLD_S", 0.05)
    monkeypatch.setattr("cloverkeel.discovery_timing.CALL_TIMEOUT_S", 0.5)

    def script(exchange: Exchange) -> None:
        if "hold_ms=0 " in exchange.message.first:
            fresh = [endpoint("s-3", "127.0.0.1:1")] if exchange.connection == 2 else []
            exchange.answer(list_reply(7 + exchange.connection, *fresh, snapshot=False))

    async with peer(script) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = mode
        async with running(config) as run:
            events = lists(run)
            await until(lambda: host_id(3) in run.gateway.pools.hosts)
            await until(lambda: registry.ended)
            assert ListKind.ERROR not in {event.kind for event in events}


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_replies_slower_than_the_time_out_are_used(monkeypatch: pytest.MonkeyPatch, mode: str) -> None:
    """Guards against every call being abandoned before its reply arrives, if the service is slow for all."""
    monkeypatch.setattr("cloverkeel.discovery_timing.HOLD_S", 0.2)
    monkeypatch.setattr("cloverkeel.discovery_timing.CALL_TIMEOUT_S", 0.2)
    opened: list[int] = []  # number of connections, at each call

    async def slow(exchange: Exchange) -> None:
        opened.append(registry.opened - registry.ended)
        await asyncio.sleep(0.35)  # longer than a call's time-out
        news = 8 if "from=7" in exchange.message.first else 9
        exchange.answer(list_reply(news, endpoint(f"s-{news}", "127.0.0.1:1"), snapshot=False))

    async with peer(slow) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = mode
        async with running(config) as run:
            events = lists(run)
            await until(lambda: host_id(9) in run.gateway.pools.hosts)
            assert [e.kind for e in events if e.kind is not ListKind.ERROR] == [ListKind.DELTA] * 2
            assert registry.opened <= 4 and max(opened) <= 2


@on_loop
async def test_a_late_reply_is_never_used_after_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cloverkeel.discovery_timing.CALL_TIMEOUT_S", 0.1)

    def script(exchange: Exchange) -> None:
        if len(registry.seen) == 2:  # the first call gets no reply
            exchange.answer(list_reply(9, endpoint("s-4", "127.0.0.1:1"), snapshot=False))

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await until(lambda: host_id(4) in run.gateway.pools.hosts)
        await until(lambda: registry.ended == 1)  # the first call: its reply would be outdated
        assert registry.seen[0].writer.is_closing() and not registry.seen[1].writer.is_closing()
        assert run.gateway.discovery.late_reply_task is None and run.gateway.discovery.index == 9


@pytest.mark.parametrize("stop_sending_s", [0.5, 1.0, 2.0, 10.0])
def test_the_agent_is_called_in_time_after_an_outage_of_any_length(stop_sending_s: float) -> None:
    """Guards against retry delays up to 5 s, against an overflow of the delay after 1,024 failures, and
    against delays that suit only hosts that may be used for 2 s after a drain, not for less."""
    waits = [retry_delay_s(True, stop_sending_s, failures, False) for failures in range(5_000)]
    assert call_timeout_s(True, stop_sending_s) + max(waits) < min(stop_sending_s, 2.0) * 0.8
    assert min(waits[2:]) >= min(stop_sending_s, 2.0) / 8


@on_loop
async def test_long_polls_continue_if_the_service_closes_each_connection() -> None:
    def script(exchange: Exchange) -> None:
        if exchange.connection < 3:
            exchange.answer(list_reply(7, snapshot=False).replace(b"\r\n", b"\r\nConnection: close\r\n", 1))

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)),
    ):
        await until(lambda: len(registry.seen) == 3)
        assert registry.opened == 3
        assert [call.endswith("hold_ms=0") for call in asked(registry)] == [True, False, False]


@on_loop
async def test_malformed_entries_are_skipped_and_unknown_fields_ignored() -> None:
    async with peer() as host:
        good = endpoint("s-1", host.address, colour="red")
        bad: list[object] = [
            None,
            7,
            {},
            endpoint("", host.address),
            endpoint("s-2", "nowhere"),
            endpoint("s-2", "127.0.0.1:99999"),
            endpoint("s-2", host.address, status="NAPPING"),
            endpoint("s-2", host.address, weight="heavy"),
            endpoint("s-2", host.address, weight=-1),
            endpoint("s-2", host.address, since_ms="long ago"),
            {**endpoint("s-2", host.address), "name": ["s-2"]},
            endpoint("\ud800", host.address, status="DRAINING"),
        ]
        text = json.dumps({"index": 9, "snapshot": True, "more": {}, "endpoints": [*bad, good]})
        script = answers(reply(200, text.encode()))
        async with (
            peer(script) as registry,
            running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
        ):
            await until(lambda: host_id(1) in run.gateway.pools.hosts)
            registry.script = silent
            assert set(run.gateway.pools.hosts) == {host_id(1)}
            assert (await run.ask(request())).status == 200


@on_loop
async def test_an_unusable_known_list_is_ignored() -> None:
    async with peer(silent) as registry:
        config = configuration(discovery=registry.address)
        config["known"] = {"index": "new", "endpoints": 3}
        async with running(config) as run:
            await until(lambda: registry.seen)
            assert asked(registry) == ["/registry/instances"]
            assert not run.gateway.pools.hosts
    await asyncio.sleep(0)
