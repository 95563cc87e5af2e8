"""Unusual settings, and settings changes under load, after which the previous settings have no effect."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from caperdrift.checks import attach_checks
from caperdrift.interface import (
    Effect,
    Event,
    Outcome,
    RequestClass,
    Scope,
    Settings,
    SettingsChanged,
    Tenant,
)
from caperdrift.policy.admission import tenant_excess
from caperdrift.policy.balancer import Balancer
from cloverkeel.config import Config, merge_reloaded, parse
from faultlab.storm.world.draws import draw_settings
from faultlab.storm.world.world import World
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver, sends
from tests.sockets import configuration


def test_target_latency_grows_with_the_work_hint_up_to_the_deadline() -> None:
    stretched = replace(SAFE, late_worth=0.0, aim_stretch=2.0)
    driver = Driver(replace(SETTINGS, classes=(stretched,)))
    timeouts = [sends(driver.arrive(work_us=work_us)[1])[0].timeout_us for work_us in (0, 50_000, 500_000)]
    assert timeouts == [int(0.98 * 200_000), int(0.98 * 300_000), int(0.98 * 400_000)]


def test_a_dropped_class_does_not_excuse_a_failing_server() -> None:
    """Its last success is out of date: a server that fails all present classes is bad as a whole."""
    driver = Driver(servers=1)
    for klass, client_timeout_us in ((0, 400_000), (2, 1_000_000)):
        name, actions = driver.arrive(klass, client_timeout_us)
        driver.end(name, sends(actions)[0].server)
    classes = (replace(SAFE, dropped=True), KEYED, UNSAFE)
    driver.handle(SettingsChanged(replace(SETTINGS, classes=classes)))
    name, actions = driver.arrive(2, 1_000_000)
    driver.end(name, sends(actions)[0].server, Outcome.ERROR)
    assert list(driver.balancer.servers[0].breaker.ring) == [False, False, True]


def test_estimated_latencies_follow_the_target_and_measured_ones_stay() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.end(name, sends(actions)[0].server, latency_us=10_000)
    measured = driver.balancer.smoothed_us[0]
    classes = tuple(replace(c, aim_us=10 * c.aim_us, give_up_us=10 * c.give_up_us) for c in SETTINGS.classes)
    driver.handle(SettingsChanged(replace(SETTINGS, classes=classes)))
    assert driver.balancer.smoothed_us == [measured, 500_000.0, 750_000.0]
    assert driver.balancer.baseline_us[1:] == [500_000.0, 750_000.0]
    assert driver.balancer.client_timeouts == [(4_000_000, 0), (8_000_000, 0), (10_000_000, 0)]


@pytest.mark.parametrize("overloaded", [False, True])
@pytest.mark.parametrize("aim_ms", [20, 40, 60, 200])
def test_an_unreachable_target_sheds_no_other_class_without_overload(aim_ms: int, overloaded: bool) -> None:
    """Idle hosts take about 40 ms, overloaded ones four times as long; late answers have some worth."""
    tight = replace(SAFE, aim_us=aim_ms * 1000, give_up_us=400_000)
    relaxed = replace(SAFE, aim_us=500_000, give_up_us=2_000_000, worth=1.0)
    driver, rng, refused = Driver(replace(SETTINGS, classes=(tight, relaxed)), servers=8), Random(1), 0
    for number in range(400):
        driver.now_us += 40_000
        name, actions = driver.arrive(number % 2, 400_000 if number % 2 == 0 else 2_000_000)
        if not sends(actions):
            refused += 1
            continue
        slowdown = 4 if overloaded and number >= 200 else 1
        latency_us = int(slowdown * 40_000 * rng.lognormvariate(0.0, 0.3))
        driver.now_us += latency_us
        driver.end(name, sends(actions)[0].server, latency_us=latency_us)
    assert refused > 40 if overloaded else refused < 4


@pytest.mark.parametrize("count", [2, 8, 20])
def test_a_tenant_within_its_share_is_rarely_counted_over_it(count: int) -> None:
    settings = replace(SETTINGS, tenants=(Tenant(1 / count),) * count, over_share_worth=0.0)
    driver, rng = Driver(settings), Random(1)
    excesses = [max(0.0, tenant_excess(driver.balancer, rng.randrange(count))) for _ in range(20_000)]
    assert sum(excesses) / len(excesses) < 0.01
    over_share = [
        tenant_excess(driver.balancer, 0) for _ in range(1_000)
    ]  # a tenant over its share is detected
    assert over_share[-1] > 0.2


# Changes under load, verified by caperdrift/checks


def any_class(rng: Random) -> RequestClass:
    aim_us = rng.choice((1, 5_000, 60_000, 300_000, 5_000_000))
    return RequestClass(
        aim_us=aim_us,
        give_up_us=max(1, int(aim_us * rng.choice((0.5, 1.0, 2.0, 4.0)))),
        worth=rng.choice((0.0, 1.0, 5.0)),
        late_worth=rng.choice((0.0, 0.2)),
        effect=rng.choice(tuple(Effect)),
        scope=rng.choice(tuple(Scope)),
        window_us=rng.choice((0, 1, 20_000, 150_000, 10_000_000)),
        in_order=rng.random() < 0.25,
        aim_stretch=rng.choice((0.0, 0.0, 3.0)),
    )


def other_settings(rng: Random, old: Settings) -> Settings:
    """Draws new settings in which classes and tenants keep their numbers."""
    classes = list(old.classes)
    for number, klass in enumerate(classes):
        kind_of_change = rng.randrange(6)
        if kind_of_change == 0:
            classes[number] = replace(klass, dropped=True)
        elif kind_of_change == 1:
            classes[number] = any_class(rng)
        elif kind_of_change == 2:
            effect, scope = rng.choice(tuple(Effect)), rng.choice(tuple(Scope))
            classes[number] = replace(klass, dropped=False, effect=effect, scope=scope)
    if len(classes) < 7 and rng.random() < 0.3:
        classes.append(any_class(rng))
    if all(klass.dropped for klass in classes):
        classes[0] = replace(classes[0], dropped=False)
    tenants = [Tenant(rng.choice((0.0, t.share, rng.random()))) for t in old.tenants]
    if len(tenants) < 20 and rng.random() < 0.3:
        tenants += [Tenant(rng.random()) for _ in range(rng.randint(1, 5))]
    other = draw_settings(rng)
    return replace(other, classes=tuple(classes), tenants=tuple(tenants), zone=rng.randrange(5))


class ChangingWorld(World):
    """Changes settings every few dozen events; no process stalls, so every answer must be in time."""

    late: list[str]

    def change_settings(self) -> Event | None:
        self.schedule(self.draw_delay_us(100_000), self.change_settings)
        self.settings = other_settings(self.rng, self.settings)
        return SettingsChanged(self.settings)

    def unexpected_event(self) -> Event | None:
        now_us = self.now_us
        event = super().unexpected_event()
        self.now_us = now_us
        return event

    def client_leaves(self, name: str) -> Event | None:
        client_request = self.requests.get(name)
        is_late = (
            client_request is not None
            and not client_request.closed
            and self.now_us >= client_request.deadline_us + 1_500
        )
        if (
            client_request is not None
            and is_late
            and not any(attempt.streaming for attempt in client_request.attempts)
        ):
            self.late.append(name)
        return super().client_leaves(name)


@examples(max_examples=25, deadline=None)
@given(seed=st.integers(0, 2**32), events=st.integers(500, 3_000))
def test_invariants_and_deadlines_hold_while_settings_change(seed: int, events: int) -> None:
    rng = Random(seed)
    settings = draw_settings(rng)
    balancer = Balancer(settings, seed)
    attach_checks(balancer, seed)
    world = ChangingWorld(rng, settings, None, Random(seed + 1))
    world.late = []
    for _ in range(events):
        now_us, event = world.next_event()
        world.handle_actions(balancer.handle(now_us, event))
    assert world.late == []


# Numbers across SIGHUP

names = st.lists(st.sampled_from("abcdef"), unique=True, max_size=6)


def numbered_config(
    lanes: list[str], tenants: list[str], zones: list[str], kinds: list[str], zone: int
) -> Config:
    """A configuration in which each class's deadline and each tenant's share is derived from its name."""
    config = configuration("127.0.0.1:1")
    settings = config["settings"]
    lane = settings["lanes"][0]
    settings["lanes"] = [lane | {"name": n, "giveUpUs": 20_000_000 + ord(n)} for n in lanes or ["a"]]
    settings["tenants"] = [{"name": n, "fraction": ord(n) / 1000} for n in tenants]
    settings |= {"zones": zones, "shapes": kinds, "zone": zone % max(1, len(zones))}
    return parse(config)


@examples(max_examples=200, deadline=None)
@given(
    st.lists(
        st.builds(numbered_config, names, names, names, names, st.integers(0, 5)), min_size=2, max_size=6
    )
)
def test_numbers_and_their_settings_stay_stable_across_reloads(files: list[Config]) -> None:
    now = files[0]
    for file in files[1:]:
        before, now = now, merge_reloaded(now, file)
        for kind in ("tenants", "zones", "kinds"):
            old, new = getattr(before.names, kind), getattr(now.names, kind)
            assert new == old | new and sorted(new.values()) == list(range(len(new))), kind
        assert now.names.class_names[: len(before.names.class_names)] == before.names.class_names
        assert len(now.settings.classes) == len(now.names.class_names) == len(set(now.names.class_names))
        for number, name in enumerate(now.names.class_names):
            assert now.settings.classes[number].give_up_us == 20_000_000 + ord(name)
            assert now.settings.accepts_class(number) is (name in file.names.classes)
            assert now.names.classes.get(name, number) == number
        for tenant, number in now.names.tenants.items():
            share = ord(tenant) / 1000 if tenant in file.names.tenants else 0.0
            assert now.settings.tenants[number].share == pytest.approx(share)
        if file.names.zones:
            place = {number: name for name, number in file.names.zones.items()}[file.settings.zone]
            assert now.names.zones[place] == now.settings.zone
