"""A stand-in for the resource that duties act on: it rejects actions under an outdated fencing token.

A token is outdated if it is lower than the highest one seen of its duty. An action is a line
`duty token holder sent_s`, with `sent_s` by the monotonic clock that all processes of the machine share. A
holder whose name ends in CARELESS_SUFFIX does not check whether it still holds the duty: only the tokens stop
it.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field


CARELESS_SUFFIX = "!"


@dataclass(slots=True, frozen=True)
class FirstAction:
    """The first accepted action under a token."""

    duty: str
    token: int
    holder: str
    accepted_s: float


@dataclass
class Resource:
    """Accepts and rejects actions, and counts the violations.

    `overlaps`: first actions under a new token that were sent before the last accepted action of a holder
    that checks its lease. `rejected`: actions under a token lower than the highest seen.
    """

    accepted: Counter[str] = field(default_factory=Counter)
    guarded: Counter[str] = field(default_factory=Counter)  # accepted, of holders that check their lease
    rejected: Counter[str] = field(default_factory=Counter)
    overlaps: int = 0
    repeated_tokens: int = 0  # accepted actions under a token of another holder
    first_actions: list[FirstAction] = field(default_factory=list)
    highest: dict[str, FirstAction] = field(default_factory=dict)
    last_guarded_sent_s: dict[str, float] = field(default_factory=dict)  # by duty
    first_action_seen: asyncio.Event = field(default_factory=asyncio.Event)  # set at each first action
    server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free port; returns it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                duty, token, holder, sent_s = line.decode().split()
                self.receive_action(duty, int(token), holder, float(sent_s))
        except (ValueError, ConnectionError):
            return  # the worker was killed while it sent a line
        finally:
            writer.close()

    def receive_action(self, duty: str, token: int, holder: str, sent_s: float) -> None:
        """Accept or reject one action."""
        highest = self.highest.get(duty)
        if highest is not None and token < highest.token:
            self.rejected[duty] += 1
            return
        if highest is None or token > highest.token:
            # An overlap, unless the previous holder sent its last accepted action before this one was sent.
            self.overlaps += sent_s < self.last_guarded_sent_s.get(duty, 0.0)
            self.highest[duty] = FirstAction(duty, token, holder, time.monotonic())
            self.first_actions.append(self.highest[duty])
            self.first_action_seen.set()
        elif highest.holder != holder:
            self.repeated_tokens += 1
        self.accepted[duty] += 1
        if not holder.endswith(CARELESS_SUFFIX):
            self.guarded[duty] += 1
            self.last_guarded_sent_s[duty] = max(sent_s, self.last_guarded_sent_s.get(duty, 0.0))

    async def wait_first_action(self, duty: str, token: int, timeout_s: float) -> FirstAction | None:
        """Wait for the first action under a token higher than `token`; None if there is none in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    action = self.highest.get(duty)
                    if action is not None and action.token > token:
                        return action
                    self.first_action_seen.clear()
                    await self.first_action_seen.wait()
        except TimeoutError:
            return None
