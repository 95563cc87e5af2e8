"""Which members a cold start fetches learned state from: calls of several members on loopback."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer

from cloverkeel.fleet.membership.calls import Calls
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.warm.neighbours import MAX_ANSWERS, Neighbours
from cloverkeel.gateway import Gateway
from faultlab.ports import free_port
from tests.sockets import on_loop
from tests.test_membership_service import member

OPEN = LearnedBreaker((), "open", 500_000, 1_000_000)


def neighbours(membership: Any, learned: LearnedState) -> Neighbours:
    gateway = SimpleNamespace(
        names=SimpleNamespace(class_names=(b"view",)), balancer=SimpleNamespace(learned_state=lambda: learned)
    )
    made = Neighbours(cast(Membership, membership), cast(Gateway, gateway), random.Random(1))
    made.started_s -= 60.0  # it has run long enough to share its learned state
    return made


@on_loop
async def test_members_that_are_down_are_replaced_by_other_candidates() -> None:
    bad = LearnedState((LearnedServer(7, 0, 0.5, 1.0, OPEN, ()),), (), ())
    serving = [await member(f"m{n}") for n in range(MAX_ANSWERS)]
    answering = [neighbours(made, bad) for made in serving]
    updates = [MemberUpdate(made.name, made.address, 1, Status.ALIVE, "a") for made in serving]
    gone = [MemberUpdate(f"gone{n}", f"127.0.0.1:{free_port()}", 1, Status.ALIVE, "a") for n in range(7)]
    me = SimpleNamespace(name="me", zone="a", calls=Calls("blue", "me"), live=lambda: [*gone, *updates])
    starting = neighbours(me, LearnedState((), (), ()))
    learned = await starting.gather(5.0)
    assert starting.answer_count == len(answering) and learned is not None
    assert [(server.server, server.breaker.state) for server in learned.servers] == [(7, "open")]
    for made in serving:
        made.close()
