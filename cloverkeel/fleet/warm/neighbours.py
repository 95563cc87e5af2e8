"""Warm start: fetches the learned state of up to three members of the zone at a cold start."""

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

LEARNED_GET = "learned.get"  # name of the call between members
MAX_ANSWERS = 3  # neighbours whose learned state is combined
# Members tried to get these answers. After a crash of many, most are down but not yet detected as dead.
MAX_CANDIDATES = 12
MIN_SERVED_S = 5.0  # a gateway that has run for less has not learned enough to share


class Neighbours:
    """Serves this gateway's learned state to other members, and fetches theirs."""

    def __init__(self, membership: Membership, gateway: Gateway, rng: random.Random | None = None) -> None:
        self.membership, self.gateway = membership, gateway
        self.rng = rng or random.Random()
        self.loop = asyncio.get_running_loop()
        self.started_s = self.loop.time()
        self.answer_count = 0
        membership.calls.serve(LEARNED_GET, self._on_get)

    @property
    def class_names(self) -> list[str]:
        """The class names, in the order of the class numbers used in learned state."""
        return [name.decode("latin-1") for name in self.gateway.names.class_names]

    def _on_get(self, peer: str, raw: Any) -> dict[str, Any] | None:
        if self.loop.time() < self.started_s + MIN_SERVED_S:
            return None
        learned = self.gateway.balancer.learned_state()
        return {"classes": self.class_names, "learned": encode(Snapshot(time.time(), learned))}

    async def gather(self, wait_s: float) -> LearnedState | None:
        """Return the combined learned state of the neighbours that answer within `wait_s`; None if none does.

        A neighbour that cannot be reached is replaced by another candidate.
        """
        others = [member for member in self.membership.live() if member.name != self.membership.name]
        in_zone = [member for member in others if member.zone == self.membership.zone]
        if not in_zone:
            return None
        end_s = self.loop.time() + wait_s
        candidates = iter(self.rng.sample(in_zone, min(MAX_CANDIDATES, len(in_zone))))

        async def fetch_from_next() -> LearnedState | None:
            for member in candidates:
                try:
                    return await self._fetch(member.name, member.address, end_s - self.loop.time())
                except CallFailed:
                    continue
            return None

        fetches = [self.loop.create_task(fetch_from_next()) for _ in range(min(MAX_ANSWERS, len(in_zone)))]
        done, pending = await asyncio.wait(fetches, timeout=wait_s)
        for task in pending:
            task.cancel()
        answers = [learned for task in done if (learned := task.result()) is not None]
        self.answer_count = len(answers)
        return combine(answers)

    async def _fetch(self, name: str, address: str, wait_s: float) -> LearnedState | None:
        """Fetch from one member; None if it has nothing usable. Raises CallFailed if it cannot be reached."""
        try:
            raw = await self.membership.calls.call(address, LEARNED_GET, None, wait_s)
            return self._decode_answer(raw) if raw is not None else None
        except ValueError as error:
            event("warm.refused", peer=name, reason=str(error)[:200])
            return None

    def _decode_answer(self, raw: object) -> LearnedState:
        """Decode an answer. Raises ValueError for one that is not a valid learned state.

        Where the neighbour numbers its classes differently, only the state per host is used.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("learned"), bytes):
            raise ValueError(f"answer is not a learned state: {raw!r:.40}")
        learned = validate(decode(raw["learned"]).learned)
        if raw.get("classes") == self.class_names:
            return learned
        servers = tuple(type(s)(s.server, s.started_us, s.weight, s.idle, s.breaker) for s in learned.servers)
        return LearnedState(servers, (), ())
