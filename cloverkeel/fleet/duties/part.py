"""Runs the duties of one gateway: starts them once the state store is open, shows them to operators."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import sqlite3
from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverkeel.fleet import events
from cloverkeel.fleet.duties.bootstrap import Bootstrap
from cloverkeel.fleet.duties.interface import Duty
from cloverkeel.fleet.duties.jobs import JOBS, PeriodicJob
from cloverkeel.fleet.duties.settings import DutySettings
from cloverkeel.fleet.duties.shell import DutyService
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.operator_queries import JSON_CONTENT_TYPE, error_answer, query_value
from cloverkeel.operator import Answer

if TYPE_CHECKING:
    from cloverkeel.config import Config
    from cloverkeel.fleet.duties.local import LocalBackend
    from cloverkeel.fleet.duties.quorum import QuorumBackend
    from cloverkeel.fleet.membership.service import Membership

BOOTSTRAP_CALL = "duties.founding"
BOOTSTRAP_RETRY_S = 0.5  # between two rounds of calls to the other voters
BOOTSTRAP_CALL_TIMEOUT_S = 1.0  # for the answer of one voter
NOT_STARTED = Answer(503, b"duties have not started yet\n")


class DutiesPart:
    """The gateway's duties. Call `start` after the store and membership have started, `leave` on shutdown."""

    def __init__(self, settings: DutySettings, name: str, directory: str) -> None:
        events.setup_logging()
        self.settings, self.name, self.directory = settings, name, directory
        self.run_id = secrets.randbits(62) + 1
        self.holder = f"{name}/{self.run_id:x}"  # unique: the two processes of an upgrade have one name
        self.configured: tuple[Duty, ...] = settings.duties
        self.service: DutyService | None = None
        self.backend: LocalBackend | QuorumBackend | None = None
        self.start_task: asyncio.Task[None] | None = None
        self.jobs: list[PeriodicJob] = []
        self.listeners: list[
            tuple[str, Callable[[int | None], None]]
        ] = []  # added before the service started

    def start(self, membership: Membership | None) -> None:
        """Starts the duties; with the quorum backend in the background, once this voter may join."""
        if self.settings.backend == "local":
            from cloverkeel.fleet.duties.local import LocalBackend

            self._start_service(LocalBackend(self.directory, self.holder))
            return
        assert membership is not None, "settings.parse_duties sees to it: quorum needs a cluster"
        self.start_task = asyncio.get_running_loop().create_task(self._bootstrap(membership))

    def add_listener(self, duty: str, listener: Callable[[int | None], None]) -> None:
        """As `DutyService.add_listener`, also before the service has started."""
        if self.service is not None:
            self.service.add_listener(duty, listener)
        else:
            self.listeners.append((duty, listener))

    def reconfigured(self, config: Config) -> None:
        """Applies the configuration after a SIGHUP: the duties may change, the backend may not."""
        self.configured = config.duties.duties if config.duties is not None else ()
        if self.service is not None:
            self.service.set_duties(self.configured)

    def _start_service(self, backend: LocalBackend | QuorumBackend) -> None:
        """Contends for the configured duties on a backend that is ready."""
        self.backend = backend
        self.service = DutyService(self.holder, backend)
        self.jobs = [PeriodicJob(duty, self.service, self.directory, JOBS[duty]) for duty in JOBS]
        for duty, listener in self.listeners:
            self.service.add_listener(duty, listener)
        self.service.set_duties(self.configured)

    async def _bootstrap(self, membership: Membership) -> None:
        """Asks the other voters until this one may join, then starts the quorum backend."""
        from cloverkeel.fleet.duties.quorum import JOURNAL, QuorumBackend

        voters = self.settings.voters
        others = frozenset(voters) - {self.name}
        has_journal = os.path.exists(os.path.join(self.directory, JOURNAL))
        bootstrap = Bootstrap(self.name, self.run_id, others, has_journal)
        membership.calls.serve(BOOTSTRAP_CALL, lambda voter, run_id: bootstrap.answer(voter, int(run_id)))
        logged_reason = ""
        while not bootstrap.may_start:
            view = membership.view()
            for voter in others:
                update = view.get(voter)
                if update is None:
                    continue
                try:
                    has_log, run_id = await membership.calls.call(
                        update.address, BOOTSTRAP_CALL, self.run_id, BOOTSTRAP_CALL_TIMEOUT_S
                    )
                    bootstrap.handle_answer(voter, bool(has_log), int(run_id))
                except (CallFailed, TypeError, ValueError):
                    continue  # it is asked again in the next round
            reason = (
                bootstrap.refusal
                or f"waits for answers of {', '.join(sorted(others - bootstrap.founder_run_ids.keys()))}"
            )
            if not bootstrap.may_start:
                if reason != logged_reason:
                    events.event("duties.no_vote", voter=self.name, reason=reason)
                    logged_reason = reason
                await asyncio.sleep(BOOTSTRAP_RETRY_S)
        addresses = tuple(voters[voter] for voter in sorted(others))
        backend = QuorumBackend(
            self.holder, self.directory, voters[self.name], addresses, self.settings.password or None
        )
        events.event("duties.voter", voter=self.name, founded=not has_journal)
        self._start_service(backend)

    async def leave(self) -> None:
        """Releases all duties, so that other processes can take them at once."""
        if self.start_task is not None:
            self.start_task.cancel()
        for job in self.jobs:
            job.close()
        if self.service is not None:
            await self.service.close()

    def counters(self) -> dict[str, int]:
        """The duties' counters under their metric names; empty before the start."""
        if self.service is None or self.backend is None:
            return {}
        counts = {"transactions": self.backend.transactions, **self.service.counts}
        return {f"duties_{name}_total": number for name, number in counts.items()}

    def gauges(self) -> dict[str, int]:
        """The number of duties held now, under its metric name."""
        return {"duties_held": self.service.held_count() if self.service is not None else 0}

    # Operator interface

    def status(self) -> Answer:
        """Answers with all leases of the backend."""
        if self.service is None or self.backend is None:
            return NOT_STARTED
        try:
            rows = [row.to_dict() for row in self.backend.list_leases()]
        except (OSError, sqlite3.Error) as error:
            return error_answer(503, error)
        body = {"process": self.holder, "backend": self.settings.backend, "duties": rows}
        return Answer(200, json.dumps(body).encode(), JSON_CONTENT_TYPE)

    async def release(self, query: bytes, body: bytes) -> Answer:
        """Releases the duty that the query's `name` names, whichever process holds it."""
        if self.service is None or self.backend is None:
            return NOT_STARTED
        try:
            name = query_value(query, "name")
            token = await self.service.run_on_thread(lambda: force_release(self.backend, name))
        except ValueError as error:
            return error_answer(400, error)
        except (OSError, sqlite3.Error) as error:
            return error_answer(503, error)
        events.event("duties.released", duty=name, token=token, by="operators")
        return Answer(200, json.dumps({"duty": name, "token": token}).encode(), JSON_CONTENT_TYPE)


def force_release(backend: LocalBackend | QuorumBackend | None, name: str) -> int:
    """Releases a duty; returns the token under which it is free. Raises ValueError if it was never held."""
    assert backend is not None
    try:
        return backend.force_release(name)
    except KeyError:
        raise ValueError(f"nobody has ever held a duty {name!r:.80}") from None
