"""What duties act on, as a stand-in: it rejects a token lower than the highest that it has seen of a duty.

An action is a line `duty token holder sent_s`, `sent_s` by the clock that all processes of the machine share.
A holder whose name ends in CARELESS does not look whether it still holds the duty: the tokens alone stop it.
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
    """`overlaps`: first actions of a holder that were sent before the last accepted one of the holder before,
    which looked. `rejected`: actions under a lower token than the highest seen."""

    accepted: Counter[str] = field(default_factory=Counter)
    guarded: Counter[str] = field(default_factory=Counter)  # accepted ones of holders that look
    rejected: Counter[str] = field(default_factory=Counter)
    overlaps: int = 0
    repeated_tokens: int = 0  # tokens that two holders acted under
    first_actions: list[FirstAction] = field(default_factory=list)
    highest: dict[str, FirstAction] = field(default_factory=dict)
    last_guarded_sent_s: dict[str, float] = field(
        default_factory=dict
    )  # when the newest accepted action was sent
    first_action_seen: asyncio.Event = field(
        default_factory=asyncio.Event
    )  # set at each first action, for who waits
    server: asyncio.Server | None = None

    async def start(self) -> int:
        """Its port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                duty, token, holder, sent_s = line.decode().split()
                self.receive_action(duty, int(token), holder, float(sent_s))
        except (ValueError, ConnectionError):
            return  # a worker that was killed within a line
        finally:
            writer.close()

    def receive_action(self, duty: str, token: int, holder: str, sent_s: float) -> None:
        highest = self.highest.get(duty)
        if highest is not None and token < highest.token:
            self.rejected[duty] += 1
            return
        if highest is None or token > highest.token:
            # Whoever had it before sent its last accepted action before this one was sent, or they overlap.
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
        """The first action under a higher token, as soon as there is one; None: none in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    found = self.highest.get(duty)
                    if found is not None and found.token > token:
                        return found
                    self.first_action_seen.clear()
                    await self.first_action_seen.wait()
        except TimeoutError:
            return None
