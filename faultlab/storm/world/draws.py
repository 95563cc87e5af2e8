"""Random settings of one gateway, and random changes of them by an operator."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from caperdrift.interface import Effect, Goal, Prices, RequestClass, Scope, Settings, Tenant
from faultlab.storm.world.state import SECOND_US


def draw_class(rng: Random) -> RequestClass:
    """A random request class."""
    aim_us = rng.choice((60_000, 150_000, 300_000))
    effect = rng.choice(tuple(Effect))
    return RequestClass(
        aim_us=aim_us,
        give_up_us=int(aim_us * rng.choice((1.0, 2.0, 4.0))),
        worth=rng.choice((0.0, 1.0, 5.0)),
        late_worth=rng.choice((0.0, 0.2)),
        effect=effect,
        scope=rng.choice(tuple(Scope)),
        window_us=rng.choice((20_000, 150_000, 400_000)),
        in_order=rng.random() < 0.25,
    )


def draw_settings(rng: Random) -> Settings:
    """Random settings of one gateway out of a fleet of 1 to 60, with every feature on or off at random."""
    proxies = rng.choice((1, 3, 12, 60))
    shares = rng.choice(((), (0.5, 0.5), (0.2, 0.3, 0.4)))
    return Settings(
        classes=tuple(draw_class(rng) for _ in range(rng.randint(1, 4))),
        goal=Goal(1.0, rng.choice((0.0, 0.3)), rng.choice((0.0, 0.5)), rng.choice((0.0, 0.2))),
        worth_by_work=rng.random() < 0.3,
        proxies=proxies,
        proxy=rng.randrange(proxies),
        zone=rng.randrange(3),
        prices=Prices(cross_zone=rng.choice((0.0, 0.01, 0.1))),
        tenants=tuple(Tenant(share, 100.0) for share in shares),
        over_share_worth=rng.choice((0.1, 1.0)),
        marks_retry=rng.random() < 0.5,
        max_attempts=rng.randint(1, 4),
        may_cancel=rng.random() < 0.8,
        second_copies=rng.random() < 0.7,
        attempts_per_connection=rng.choice((1, 8)),
        warm_keys=rng.random() < 0.4,
        list_is_pushed=rng.random() < 0.5,
        must_ask_within_us=rng.choice((2 * SECOND_US, 10 * SECOND_US)),
        max_retry_after_us=rng.choice((0, SECOND_US)),
        start_capacity=rng.choice((0.1, 0.3, 1.0)),
        warm_after_us=rng.choice((0, 0, 2 * SECOND_US, 8 * SECOND_US)),
        fall_multiple=rng.choice((1.0, 2.0)),
        fall_us=rng.choice((SECOND_US // 2, SECOND_US)),
        full_unproven=rng.random() < 0.3,
        key_rest_us=rng.choice((0, 30_000)),
    )


def reconfigured(rng: Random, old: Settings) -> Settings:
    """The settings after an operator's change. Classes and tenants keep their numbers."""
    classes = list(old.classes)
    index = rng.randrange(len(classes))
    choice = rng.randrange(4)
    if choice == 0 and len(classes) < 6:
        classes.append(draw_class(rng))
    elif choice == 1 and sum(not c.dropped for c in classes) > 1:
        classes[index] = replace(classes[index], dropped=True)
    elif choice == 2:
        classes[index] = replace(draw_class(rng), dropped=classes[index].dropped)
    tenants = (*old.tenants, Tenant(0.1)) if rng.random() < 0.2 and len(old.tenants) < 6 else old.tenants
    other = draw_settings(rng)
    kept_fields = {"classes": tuple(classes), "tenants": tenants, "zone": old.zone}
    return replace(other, **kept_fields, proxies=old.proxies, proxy=old.proxy)  # type: ignore[arg-type]
