"""Whom a cold start asks for what they learned: several members' calls on loopback."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

from caperdrift.interface import Learned, LearnedBreaker, LearnedServer

from cloverkeel.fleet.membership.calls import Calls
from cloverkeel.fleet.membership.rumours import Rumour, Status
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.warm.neighbours import NEIGHBOURS, Neighbours
from cloverkeel.gateway import Gateway
from faultlab.ports import free_port
from tests.sockets import on_loop
from tests.test_membership_service import member

OPEN = LearnedBreaker((), "open", 500_000, 1_000_000)


def neighbours(membership: Any, learned: Learned) -> Neighbours:
    gateway = SimpleNamespace(
        names=SimpleNamespace(by_class=(b"view",)), balancer=SimpleNamespace(learned=lambda: learned)
    )
    made = Neighbours(cast(Membership, membership), cast(Gateway, gateway), random.Random(1))
    made.since_s -= 60.0  # it has served for long
    return made


@on_loop
async def test_in_the_place_of_members_that_are_gone_others_are_asked() -> None:
    bad = Learned((LearnedServer(7, 0, 0.5, 1.0, OPEN, ()),), (), ())
    serving = [await member(f"m{n}") for n in range(NEIGHBOURS)]
    told = [neighbours(made, bad) for made in serving]
    rumours = [Rumour(made.name, made.address, 1, Status.ALIVE, "a") for made in serving]
    gone = [Rumour(f"gone{n}", f"127.0.0.1:{free_port()}", 1, Status.ALIVE, "a") for n in range(7)]
    me = SimpleNamespace(name="me", zone="a", calls=Calls("blue", "me"), live=lambda: [*gone, *rumours])
    starting = neighbours(me, Learned((), (), ()))
    learned = await starting.within(5.0)
    assert starting.answers == len(told) and learned is not None
    assert [(server.server, server.breaker.state) for server in learned.servers] == [(7, "open")]
    for made in serving:
        made.close()
