"""Duties beside one gateway: begun once the state store is there, told to operators, let go at the end."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import sqlite3
from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverkeel.fleet import events
from cloverkeel.fleet.operator_queries import JSON_CONTENT_TYPE, query_value, error_answer
from cloverkeel.fleet.duties.chores import CHORES, Chore
from cloverkeel.fleet.duties.founding import Founding
from cloverkeel.fleet.duties.interface import Duty
from cloverkeel.fleet.duties.settings import DutySettings
from cloverkeel.fleet.duties.shell import Service
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.operator import Answer

if TYPE_CHECKING:
    from cloverkeel.config import Config
    from cloverkeel.fleet.duties.local import LocalBackend
    from cloverkeel.fleet.duties.quorum import QuorumBackend
    from cloverkeel.fleet.membership.service import Membership

KIND = "duties.founding"
AGAIN_S = 0.5  # between two rounds of the founding
CALL_S = 1.0
NOT_YET = Answer(503, b"duties have not started yet\n")


class DutiesPart:
    """`start` after the store and membership; `leave` at the signal to end."""

    def __init__(self, settings: DutySettings, name: str, directory: str) -> None:
        events.setup_logging()
        self.settings, self.name, self.directory = settings, name, directory
        self.life = secrets.randbits(62) + 1
        self.holder = f"{name}/{self.life:x}"  # the old and the new process of an upgrade are two
        self.wanted: tuple[Duty, ...] = settings.duties
        self.service: Service | None = None
        self.backend: LocalBackend | QuorumBackend | None = None
        self.beginning: asyncio.Task[None] | None = None
        self.chores: list[Chore] = []
        self.listeners: list[tuple[str, Callable[[int | None], None]]] = []  # until the service is there

    def start(self, membership: Membership | None) -> None:
        if self.settings.backend == "local":
            from cloverkeel.fleet.duties.local import LocalBackend

            self._begin(LocalBackend(self.directory, self.holder))
            return
        assert membership is not None, "settings.parse_duties sees to it"
        self.beginning = asyncio.get_running_loop().create_task(self._found(membership))

    def listen(self, duty: str, listener: Callable[[int | None], None]) -> None:
        """See `Service.listen`; also before there is one."""
        if self.service is not None:
            self.service.listen(duty, listener)
        else:
            self.listeners.append((duty, listener))

    def reconfigured(self, config: Config) -> None:
        """After a SIGHUP: which duties are named may change, the backend may not."""
        self.wanted = config.duties.duties if config.duties is not None else ()
        if self.service is not None:
            self.service.named(self.wanted)

    def _begin(self, backend: LocalBackend | QuorumBackend) -> None:
        self.backend = backend
        self.service = Service(self.holder, backend)
        self.chores = [Chore(duty, self.service, self.directory, CHORES[duty]) for duty in CHORES]
        for duty, listener in self.listeners:
            self.service.listen(duty, listener)
        self.service.named(self.wanted)

    async def _found(self, membership: Membership) -> None:
        from cloverkeel.fleet.duties.quorum import JOURNAL, QuorumBackend

        voters = self.settings.voters
        others = frozenset(voters) - {self.name}
        has_journal = os.path.exists(os.path.join(self.directory, JOURNAL))
        founding = Founding(self.name, self.life, others, has_journal)
        membership.calls.serve(KIND, lambda member, life: founding.answer(member, int(life)))
        said = ""
        while not founding.may_begin:
            view = membership.view()
            for member in others:
                rumour = view.get(member)
                if rumour is None:
                    continue
                try:
                    has_log, life = await membership.calls.call(rumour.address, KIND, self.life, CALL_S)
                    founding.told(member, bool(has_log), int(life))
                except (CallFailed, TypeError, ValueError):
                    continue  # it is asked again
            waits = founding.refused or f"waits for {', '.join(sorted(others - founding.heard.keys()))}"
            if not founding.may_begin:
                if waits != said:
                    events.event("duties.no_vote", voter=self.name, reason=waits)
                    said = waits
                await asyncio.sleep(AGAIN_S)
        addresses = tuple(voters[member] for member in sorted(others))
        backend = QuorumBackend(
            self.holder, self.directory, voters[self.name], addresses, self.settings.password or None
        )
        events.event("duties.voter", voter=self.name, founded=not has_journal)
        self._begin(backend)

    async def leave(self) -> None:
        """Let go of all duties; the next process has them at once."""
        if self.beginning is not None:
            self.beginning.cancel()
        for chore in self.chores:
            chore.close()
        if self.service is not None:
            await self.service.close()

    def counters(self) -> dict[str, int]:
        """For telemetry."""
        if self.service is None or self.backend is None:
            return {}
        counts = {"transactions": self.backend.transactions, **self.service.counts}
        return {f"duties_{name}_total": number for name, number in counts.items()}

    def gauges(self) -> dict[str, int]:
        return {"duties_held": self.service.held() if self.service is not None else 0}

    # Operators' calls

    def status(self) -> Answer:
        if self.service is None or self.backend is None:
            return NOT_YET
        try:
            rows = [row.shown() for row in self.backend.table()]
        except (OSError, sqlite3.Error) as error:
            return error_answer(503, error)
        body = {"process": self.holder, "backend": self.settings.backend, "duties": rows}
        return Answer(200, json.dumps(body).encode(), JSON_CONTENT_TYPE)

    async def release(self, query: bytes, body: bytes) -> Answer:
        """`name` in the query: let go of it, whoever holds it."""
        if self.service is None or self.backend is None:
            return NOT_YET
        try:
            name = query_value(query, "name")
            token = await self.service.run(lambda: force(self.backend, name))
        except ValueError as error:
            return error_answer(400, error)
        except (OSError, sqlite3.Error) as error:
            return error_answer(503, error)
        events.event("duties.released", duty=name, token=token, by="operators")
        return Answer(200, json.dumps({"duty": name, "token": token}).encode(), JSON_CONTENT_TYPE)


def force(backend: LocalBackend | QuorumBackend | None, name: str) -> int:
    """The token from which on a duty is free. Raises ValueError where nobody ever held it."""
    assert backend is not None
    try:
        return backend.force(name)
    except KeyError:
        raise ValueError(f"nobody has ever held a duty {name!r:.80}") from None
