"""Messages on their way to other members: one call at a time to each, several messages in one."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet.ledger.messages import Message, decode, encode
from cloverkeel.fleet.membership.calls import CallFailed, Calls

CALL_KIND = "ledger"
CALL_TIMEOUT_S = 2.0
QUEUE_MAX = 256  # messages that wait for one member
MESSAGES_PER_CALL, BYTES_PER_CALL = 64, 512 * 1024  # messages and bytes of one call, or of its answer
CONCURRENT_CALLS = 32  # calls of this member at once


def pack(messages: collections.deque[bytes]) -> list[bytes]:
    """Take out the first messages that go into one call."""
    packed: list[bytes] = []
    size = 0
    while (
        messages
        and len(packed) < MESSAGES_PER_CALL
        and (not packed or size + len(messages[0]) <= BYTES_PER_CALL)
    ):
        size += len(messages[0])
        packed.append(messages.popleft())
    return packed


def unpack(body: Any) -> list[Message]:
    """The messages of a call or of its answer; raises ValueError with one line of why it has none."""
    if (
        not isinstance(body, list)
        or len(body) > MESSAGES_PER_CALL
        or not all(isinstance(b, bytes) for b in body)
    ):
        raise ValueError(f"not a list of up to {MESSAGES_PER_CALL} messages")
    return [decode(each) for each in body]


class Outbox:
    """`address_of` gives a member's address, or None: then what waits for it is dropped. `answered` is called
    with the messages of an answer. What is lost here is told again by the core."""

    def __init__(
        self,
        calls: Calls,
        address_of: Callable[[str], str | None],
        answered: Callable[[str, list[Message]], None],
    ) -> None:
        self.calls, self.address_of, self.on_answer = calls, address_of, answered
        self.queues: dict[str, collections.deque[bytes]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.call_slots = asyncio.Semaphore(CONCURRENT_CALLS)
        self.counts: collections.Counter[str] = collections.Counter()

    def send(self, member: str, message: Message) -> None:
        waiting = self.queues.setdefault(member, collections.deque())
        if len(waiting) >= QUEUE_MAX:
            self.counts["unsent_full"] += 1
            return
        waiting.append(encode(message))
        if member not in self.tasks:
            self.tasks[member] = asyncio.get_running_loop().create_task(self._run(member, waiting))

    async def _run(self, member: str, waiting: collections.deque[bytes]) -> None:
        try:
            while waiting:
                async with self.call_slots:
                    await self._call(member, pack(waiting))
        finally:
            del self.tasks[member], self.queues[member]

    async def _call(self, member: str, bodies: list[bytes]) -> None:
        address = self.address_of(member)
        if address is None:
            self.counts["unsent_gone"] += len(bodies)
            return
        self.counts["calls_out"] += 1
        self.counts["bytes_out"] += sum(map(len, bodies))
        try:
            messages = unpack(await self.calls.call(address, CALL_KIND, bodies, CALL_TIMEOUT_S))
        except (CallFailed, ValueError):
            self.counts["calls_failed"] += 1
            return
        self.on_answer(member, messages)

    def close(self) -> None:
        for task in list(self.tasks.values()):
            task.cancel()
