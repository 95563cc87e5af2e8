"""Reload at SIGHUP: a valid file is applied as a whole, an invalid one not at all."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from caperdrift.interface import BodyEnded, Effect, Outcome, RequestClass, SettingsChanged
from cloverkeel.config import REQUIRED_KEYS, merge_reloaded, parse
from cloverkeel.host_entries import parse_list
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver, finals, sends, trip
from tests.sockets import (
    Running,
    answers,
    configuration,
    endpoint,
    hosts_list,
    list_reply,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)
from tests.test_telemetry import handled, read

Edit = Callable[[dict[str, Any]], object]


@asynccontextmanager
async def reloadable_gateway(
    folder: Path, monkeypatch: pytest.MonkeyPatch, config: dict[str, Any]
) -> AsyncIterator[tuple[Running, Callable[[object], None]]]:
    """Runs a gateway; yields it and a function that writes its settings file and reloads it."""
    file = folder / "config.json"
    monkeypatch.setenv("LB_CONFIG", str(file))

    async with running(config) as gateway:

        def reload(content: object) -> None:
            file.write_text(content if isinstance(content, str) else json.dumps(content))
            gateway.server.reload()

        yield gateway, reload


def deep_copy(config: dict[str, Any]) -> Any:
    return json.loads(json.dumps(config))


def lane(config: dict[str, Any], name: str) -> dict[str, Any]:
    """The class of this name in a configuration."""
    found = next(lane for lane in config["settings"]["lanes"] if lane["name"] == name)
    assert isinstance(found, dict)
    return found


def remove_key(place: str, key: str) -> Edit:
    """An edit that removes a key from the object (or the last object of the list) at a dotted path."""

    def edit(config: dict[str, Any]) -> None:
        node: Any = config
        for part in filter(None, place.split(".")):
            node = node[part]
        del (node[-1] if isinstance(node, list) else node)[key]

    return edit


def set_value(path: str, value: object) -> Edit:
    """An edit that sets the value at a dotted path."""

    def edit(config: dict[str, Any]) -> None:
        *parts, last = [int(part) if part.isdigit() else part for part in path.split(".")]
        node: Any = config
        for part in parts:
            node = node[part]
        node[last] = value

    return edit


INVALID_NUMBERS: list[object] = [0, -1, math.inf, math.nan, True, "5", None, [5], 0.5]
INVALID_FILES: dict[str, Edit | str] = {
    "empty": "",
    "blank": " \n",
    "not an object": "[]",
    "null": "null",
    "nested too deeply": "[" * 100_000,
    "no classes": set_value("settings.lanes", []),
    "classes not a list": set_value("settings.lanes", {}),
    "a class not an object": set_value("settings.lanes.0", 5),
    "duplicate class": set_value("settings.lanes.0.name", "transfer"),
    "an unknown effect": set_value("settings.lanes.0.effect", "whatever"),
    "an unknown group": set_value("settings.lanes.0.group", "whatever"),
    "limits not an object": set_value("limits", [1]),
    "sockets infinite": set_value("limits.sockets", math.inf),
    "invalid address": set_value("discovery", "nowhere"),
    **{
        f"{place} without {key}": remove_key(place, key)
        for place, keys in REQUIRED_KEYS.items()
        for key in keys
    },
    **{f"attempts {value}": set_value("settings.caps.maxAttempts", value) for value in INVALID_NUMBERS},
    **{f"deadline {value}": set_value("settings.lanes.1.giveUpUs", value) for value in INVALID_NUMBERS},
    **{f"target latency {value}": set_value("settings.lanes.2.aimUs", value) for value in INVALID_NUMBERS},
}


@on_loop
async def test_an_invalid_file_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async with peer() as host:
        config = configuration(host)
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
            before = gateway.server.config, gateway.gateway.settings, gateway.gateway.discovery.address
            valid = json.dumps(config)
            cases = list(INVALID_FILES.items()) + [
                (f"cut off at {n}", valid[:n]) for n in range(1, len(valid), 97)
            ]
            for count, (case, edit) in enumerate(cases, 1):
                if isinstance(edit, str):
                    reload(edit)
                else:
                    invalid = deep_copy(config) | {"discovery": "127.0.0.1:7"}
                    lane(invalid, "search")["effect"] = "single_shot"
                    edit(invalid)
                    reload(invalid)
                now = gateway.server.config, gateway.gateway.settings, gateway.gateway.discovery.address
                assert all(a is b for a, b in zip(now, before, strict=True)), case
                assert gateway.gateway.telemetry.load_errors == count, case
            assert gateway.gateway.telemetry.loads == 0
            assert gateway.gateway.balancer.settings is before[1]
            assert (await gateway.ask(request("search"))).status == 200


@on_loop
async def test_a_missing_file_counts_as_a_load_error(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    async with running(configuration("127.0.0.1:1")) as gateway:
        monkeypatch.setenv("LB_CONFIG", str(tmp_path / "none"))
        gateway.server.reload()
        assert (read(gateway)["lb_load_errors"], read(gateway)["lb_loads"]) == (1, 0)


@on_loop
async def test_an_added_class_is_served_by_its_own_settings(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with peer() as host:
        config = configuration(host)
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
            assert (await gateway.ask(request("audit"))).status == 400
            other = deep_copy(config)
            # First in the file: the other classes must keep their numbers.
            other["settings"]["lanes"].insert(
                0, lane(config, "transfer") | {"name": "audit", "effect": "guarded"}
            )
            reload(other)
            assert (await gateway.ask(request("audit"))).status == 400  # a guarded class requires a key
            assert (await gateway.ask(request("audit", idempotency_key="k"))).status == 200
            assert (await gateway.ask(request("transfer"))).status == 200
            now = read(gateway)
            assert handled(now, "audit") == handled(now, "transfer") == [1, 0, 0]
            assert handled(now, "search") == [0, 0, 0]


@on_loop
async def test_a_removed_class_finishes_pending_requests_and_returns_with_its_number(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with peer(silent) as host:
        config = configuration(host)
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
            client = await gateway.connect()
            client.send(request("search"))
            await until(lambda: host.seen)
            other = deep_copy(config)
            other["settings"]["lanes"] = [lane(other, "transfer")]
            reload(other)
            assert (await gateway.ask(request("search"))).status == 400
            # Pending requests keep the class settings they arrived with: a safe one is refused, not failed.
            host.seen[0].answer(reply(500))
            host.script = answers(reply())
            assert (await client.answer()).status == 503
            assert (await gateway.ask(request("transfer"))).status == 200
            reload(config)
            assert (await gateway.ask(request("search"))).status == 200
            now = read(gateway)
            assert sum(handled(now, "search")) == 2 and handled(now, "transfer") == [1, 0, 0]
            assert gateway.server.config.names.classes == {b"search": 0, b"hold": 1, b"transfer": 2}
            client.close()


@on_loop
async def test_a_pending_request_keeps_its_attempt_limit_across_a_reload(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All three hosts refuse: a request that never ran is retried until its attempts are used up."""
    async with peer(silent) as one, peer(silent) as two, peer(silent) as three:
        hosts = (one, two, three)
        config = configuration(*hosts, maxAttempts=3)
        full = reply(503, b"", "X-Rejected: 1")
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
            client = await gateway.connect()
            client.send(request("transfer"))
            await until(lambda: any(h.seen for h in hosts))
            other = deep_copy(config)
            other["settings"]["caps"]["maxAttempts"] = 1
            reload(other)
            for attempt in (1, 2, 3):
                await until(lambda n=attempt: sum(len(h.seen) for h in hosts) == n)  # type: ignore[misc]
                last = next(h.seen[-1] for h in hosts if h.seen and h.script is silent)
                for host in hosts:
                    if last in host.seen:
                        host.script = answers(full)
                last.answer(full)
            assert (await client.answer()).status == 503
            assert (await gateway.ask(request("transfer"))).status == 503
            assert sum(len(h.seen) for h in hosts) == 4
            client.close()


@on_loop
async def test_reloads_in_quick_succession_end_with_the_last_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with peer() as host, peer(answers(list_reply(3, endpoint("s-0", host.address)))) as list_service:
        config = configuration(host)
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
            for number in range(20):
                other = deep_copy(config) | {
                    "discovery": "127.0.0.1:9" if number < 19 else list_service.address
                }
                other["settings"]["lanes"].append(lane(config, "search") | {"name": f"c{number}"})
                reload("{" if number % 4 == 1 else other)
            assert (read(gateway)["lb_loads"], read(gateway)["lb_load_errors"]) == (15, 5)
            assert (
                await gateway.ask(request("c19", content_length=""))
            ).status == 405  # a known class, which requires GET
            assert (await gateway.ask(request("c18", content_length=""))).status == 400
            await until(lambda: list_service.seen)
            assert (await gateway.ask(request("transfer"))).status == 200


@on_loop
async def test_zones_keep_their_numbers_when_reordered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    config = configuration("127.0.0.1:1")
    async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
        other = deep_copy(config)
        other["settings"] |= {"zones": ["c", "b", "a"], "zone": 0}
        reload(other)
        assert gateway.server.config.names.zones == {"a": 0, "b": 1, "c": 2}
        assert gateway.gateway.balancer.settings.zone == 2


def test_an_unconfigured_zone_or_kind_keeps_its_number() -> None:
    """Otherwise one zone has two numbers until the next list, which splits the scope of keyed requests."""
    config = configuration("127.0.0.1:1")
    before = parse(config)
    config["settings"] |= {"zones": ["a", "b", "c"], "shapes": ["m", "n"]}
    after = merge_reloaded(before, parse(config))
    host = endpoint("s-1", "127.0.0.1:2", zone="z", type="q")
    entries = [parse_list(hosts_list(1, host), now.names)[2][0].listed_server for now in (before, after)]
    assert entries[0] == entries[1]
    assert min(entries[0].zone, entries[0].kind) > len(after.names.zones)


NEW = RequestClass(aim_us=100_000, give_up_us=200_000, effect=SAFE.effect)


def test_learned_state_of_servers_survives_a_settings_change() -> None:
    driver = Driver()
    trip(driver.balancer.servers[0].breaker, driver.now_us)
    driver.balancer.servers[1].weight = 0.3
    smoothed = list(driver.balancer.smoothed_us)
    driver.handle(SettingsChanged(replace(SETTINGS, classes=(*SETTINGS.classes, NEW), max_attempts=1)))
    assert driver.balancer.count_skipped(driver.now_us) == 1
    assert driver.balancer.servers[1].weight == 0.3
    assert driver.balancer.smoothed_us == [*smoothed, 25_000.0]
    name, actions = driver.arrive(klass=3, client_timeout_us=200_000)
    assert sends(actions)[0].server in (1, 2)
    assert not driver.end(name, sends(actions)[0].server)


def test_a_pending_request_of_a_class_that_became_unsafe_is_still_retried() -> None:
    driver = Driver(servers=3)
    name, actions = driver.arrive()
    driver.handle(SettingsChanged(replace(SETTINGS, classes=(UNSAFE, KEYED, UNSAFE))))
    again = driver.end(name, sends(actions)[0].server, Outcome.ERROR)
    assert len(sends(again)) == 1
    later, actions = driver.arrive(client_timeout_us=1_000_000)
    assert not sends(driver.end(later, sends(actions)[0].server, Outcome.ERROR))


@pytest.mark.parametrize("waits_for", ["key queue", "body"])
def test_an_unsent_request_keeps_the_class_settings_of_its_arrival(waits_for: str) -> None:
    """Effect, scope, window, attempts and deadline have all changed by the time it is sent."""
    keyed = replace(KEYED, in_order=waits_for == "key queue")
    driver = Driver(replace(SETTINGS, classes=(keyed,), max_attempts=2), servers=6)
    first, ahead = driver.arrive(client_timeout_us=800_000, key=7)
    name, actions = driver.arrive(client_timeout_us=800_000, key=7, body_incomplete=waits_for == "body")
    arrived_us = driver.now_us
    other = RequestClass(aim_us=5_000, give_up_us=9_000, effect=Effect.UNSAFE, late_worth=0.2)
    driver.handle(SettingsChanged(replace(SETTINGS, classes=(other,), max_attempts=1)))
    driver.now_us += 50_000
    if waits_for == "key queue":
        assert not sends(actions)
        actions = driver.end(first, sends(ahead)[0].server)
        assert sends(actions)[0].timeout_us == arrived_us + 800_000 - driver.now_us
    else:
        driver.handle(BodyEnded(name))
    sent_us = driver.now_us
    driver.now_us += 60_000
    again = driver.end(name, sends(actions)[0].server, Outcome.ERROR)
    assert sends(again)[0].write_deadline_us == sent_us + KEYED.window_us - 1
    assert sends(again)[0].server % 2 == sends(actions)[0].server % 2
    assert not sends(driver.end(name, sends(again)[0].server, Outcome.CONNECT_FAILED, attempt=1))


def test_a_dropped_class_is_refused_and_ignored_by_load_shedding() -> None:
    driver = Driver(servers=3)
    balancer = driver.balancer
    open_, actions = driver.arrive(klass=2, client_timeout_us=1_000_000)
    balancer.smoothed_us[2] = 9e9
    changed = replace(SETTINGS, classes=(SAFE, KEYED, replace(UNSAFE, dropped=True)))
    driver.handle(SettingsChanged(changed))
    assert balancer.longest_latency_us() == max(balancer.smoothed_us[:2])
    refused = driver.arrive(klass=2, client_timeout_us=1_000_000)[1]
    assert len(finals(refused)) == 1 and not sends(refused)
    shed = balancer.shed_low_value
    # Its response is far over the target latency, but a dropped class does not count as overload.
    driver.end(open_, sends(actions)[0].server, latency_us=900_000)
    assert balancer.shed_low_value == shed
    assert balancer.offered[2] == balancer.served[2] == 0.0


@on_loop
async def test_list_watch_starts_when_the_mode_changes_from_pushed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with peer(silent) as list_service:
        config = configuration("127.0.0.1:1")
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (_, reload):
            other = deep_copy(config) | {"discovery": list_service.address}
            other["settings"]["membershipMode"] = "on_request"
            reload(other)
            await until(lambda: list_service.seen)
            await asyncio.sleep(0)


@on_loop
async def test_a_pipelined_request_keeps_the_settings_of_its_arrival(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client sends two requests at once, and SIGHUP arrives while the first is in flight.

    The second was handled by the settings in force when its turn came, in which its class is dropped. It was
    answered 400, though it had arrived complete and valid before the signal.
    """
    async with peer(silent) as host:
        config = configuration(host)
        async with reloadable_gateway(tmp_path, monkeypatch, config) as (gateway, reload):
            client = await gateway.connect()
            client.send(request("search") + request("hold"))
            await until(lambda: host.seen)
            (connection,) = gateway.server.connections
            await until(lambda: connection.queue and connection.queue[0].complete)
            changed = deep_copy(config)
            changed["settings"]["lanes"] = [
                entry for entry in changed["settings"]["lanes"] if entry["name"] != "hold"
            ]
            reload(changed)
            host.script = answers(reply())
            host.seen[0].answer(reply())
            assert (await client.answer()).status == 200
            assert (await client.answer()).status == 200
            client.close()
