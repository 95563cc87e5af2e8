"""Warm by neighbours: what up to three members of the zone learned, asked for at a cold start."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from caperdrift.interface import LearnedState

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import Snapshot
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.state.codec import decode, encode
from cloverkeel.fleet.warm.median import validate, combine

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

LEARNED_GET = "learned.get"
MAX_ANSWERS = 3
MAX_CANDIDATES = (
    12  # members that are tried for these: after a crash of many most are gone, and not yet missed
)
MIN_SERVED_S = 5.0  # a gateway that has served for less has learned nothing worth telling


class Neighbours:
    """Serves what this gateway learned, and asks others for theirs."""

    def __init__(self, membership: Membership, gateway: Gateway, rng: random.Random | None = None) -> None:
        self.membership, self.gateway = membership, gateway
        self.rng = rng or random.Random()
        self.loop = asyncio.get_running_loop()
        self.started_s = self.loop.time()
        self.answer_count = 0
        membership.calls.serve(LEARNED_GET, self._on_get)

    @property
    def class_names(self) -> list[str]:
        """The names behind the classes' numbers."""
        return [name.decode("latin-1") for name in self.gateway.names.class_names]

    def _on_get(self, peer: str, raw: Any) -> dict[str, Any] | None:
        if self.loop.time() < self.started_s + MIN_SERVED_S:
            return None
        learned = self.gateway.balancer.learned_state()
        return {"classes": self.class_names, "learned": encode(Snapshot(time.time(), learned))}

    async def gather(self, wait_s: float) -> LearnedState | None:
        """The median of what those told that answered within `wait_s`; None: nobody has. In the place of one
        that cannot be reached another is asked."""
        others = [r for r in self.membership.live() if r.name != self.membership.name]
        near = [r for r in others if r.zone == self.membership.zone]
        if not near:
            return None
        end_s = self.loop.time() + wait_s
        candidates = iter(self.rng.sample(near, min(MAX_CANDIDATES, len(near))))

        async def one() -> LearnedState | None:
            for r in candidates:
                try:
                    return await self._fetch(r.name, r.address, end_s - self.loop.time())
                except CallFailed:
                    continue
            return None

        asked = [self.loop.create_task(one()) for _ in range(min(MAX_ANSWERS, len(near)))]
        done, late = await asyncio.wait(asked, timeout=wait_s)
        for task in late:
            task.cancel()
        answers = [learned for task in done if (learned := task.result()) is not None]
        self.answer_count = len(answers)
        return combine(answers)

    async def _fetch(self, name: str, address: str, wait_s: float) -> LearnedState | None:
        """None where it has nothing of use. Raises CallFailed where it cannot be reached."""
        try:
            raw = await self.membership.calls.call(address, LEARNED_GET, None, wait_s)
            return self._decode_answer(raw) if raw is not None else None
        except ValueError as error:
            event("warm.refused", peer=name, reason=str(error)[:200])
            return None

    def _decode_answer(self, raw: object) -> LearnedState:
        """Raises ValueError for what is no learned state. Where the classes have other numbers there, only
        what is known of hosts is used."""
        if not isinstance(raw, dict) or not isinstance(raw.get("learned"), bytes):
            raise ValueError(f"no learned state: {raw!r:.40}")
        learned = validate(decode(raw["learned"]).learned)
        if raw.get("classes") == self.class_names:
            return learned
        servers = tuple(type(s)(s.server, s.started_us, s.weight, s.idle, s.breaker) for s in learned.servers)
        return LearnedState(servers, (), ())
