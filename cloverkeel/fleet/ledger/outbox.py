"""Queues messages to other members and sends them in calls: one call at a time to each, in batches."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet.ledger.messages import Message, decode, encode
from cloverkeel.fleet.membership.calls import CallFailed, Calls

CALL_KIND = "ledger"
CALL_TIMEOUT_S = 2.0
QUEUE_MAX = 256  # most messages queued for one member; further ones are dropped
MESSAGES_PER_CALL, BYTES_PER_CALL = 64, 512 * 1024  # most in one call, or in its answer
CONCURRENT_CALLS = 32  # most calls to other members at once


def pack(messages: collections.deque[bytes]) -> list[bytes]:
    """Removes from the queue the first messages that fit into one call, at least one, and returns them."""
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
    """Decodes the messages of a call or of its answer. Raises ValueError with a reason of one line."""
    if (
        not isinstance(body, list)
        or len(body) > MESSAGES_PER_CALL
        or not all(isinstance(b, bytes) for b in body)
    ):
        raise ValueError(f"the body is not a list of up to {MESSAGES_PER_CALL} messages")
    return [decode(message) for message in body]


class Outbox:
    """Sends messages to other members. Messages may be dropped: the protocol core repeats what matters.

    `address_of` returns a member's address, or None: then its queued messages are dropped. `on_answer` is
    called with the member's name and the messages of its answer.
    """

    def __init__(
        self,
        calls: Calls,
        address_of: Callable[[str], str | None],
        on_answer: Callable[[str, list[Message]], None],
    ) -> None:
        self.calls, self.address_of, self.on_answer = calls, address_of, on_answer
        self.queues: dict[str, collections.deque[bytes]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}  # by member; one for each queue
        self.call_slots = asyncio.Semaphore(CONCURRENT_CALLS)
        self.counts: collections.Counter[str] = collections.Counter()

    def send(self, member: str, message: Message) -> None:
        """Queues a message, or drops it if the member's queue is full."""
        queue = self.queues.setdefault(member, collections.deque())
        if len(queue) >= QUEUE_MAX:
            self.counts["unsent_full"] += 1
            return
        queue.append(encode(message))
        if member not in self.tasks:
            self.tasks[member] = asyncio.get_running_loop().create_task(self._run(member, queue))

    async def _run(self, member: str, queue: collections.deque[bytes]) -> None:
        """Sends the member's queue in calls until it is empty."""
        try:
            while queue:
                async with self.call_slots:
                    await self._call(member, pack(queue))
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
        """Cancels the running calls."""
        for task in list(self.tasks.values()):
            task.cancel()
