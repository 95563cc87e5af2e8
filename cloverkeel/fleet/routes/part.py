"""The routes of one gateway: starts the merge and handles operators' calls. docs/routes.md."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cloverkeel.fleet.operator_queries import (
    JSON_CONTENT_TYPE,
    LEDGER_NOT_STARTED,
    LEVEL_TIMEOUT_S,
    query_level,
    query_value,
    error_answer,
)
from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.ledger.interface import Acknowledged, Level
from cloverkeel.fleet.ledger.part import LedgerPart
from cloverkeel.fleet.ledger.shell import WriteRefused
from cloverkeel.fleet.ledger.reader import read_payloads
from cloverkeel.fleet.routes import files
from cloverkeel.fleet.routes.changes import KIND, Accept, Edit, key_of
from cloverkeel.fleet.routes.interface import View, Environment
from cloverkeel.fleet.routes.merge import Merge
from cloverkeel.fleet.routes.resolution import Resolution, parse_change_name, resolution_edits, edit_faults
from cloverkeel.fleet.routes.settings import RoutesSettings
from cloverkeel.fleet.routes.shell import RoutesService, preload, run_in_slices
from cloverkeel.fleet.routes.status import file_notes, json_pieces, change_outcome
from cloverkeel.fleet.routes.environment import GatewayEnvironment
from cloverkeel.operator import Answer

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway
    from cloverkeel.transforms.activation.part import TransformsPart

FIRST_PLAN_WAIT_S = 1.0  # longest wait for the first plan at the start
TOML_CONTENT_TYPE = (b"Content-Type", b"application/toml")
PIECES_PER_TURN = 64  # pieces of an answer encoded between turns of the event loop
ChangeContent = tuple[str, tuple[Edit, ...], tuple[Accept, ...], Context]  # team, edits, acceptances, context


class RoutesPart:
    """Start it after the ledger's part, and close it before."""

    def __init__(
        self,
        settings: RoutesSettings,
        gateway: Gateway,
        ledger: LedgerPart,
        transforms: TransformsPart | None,
        serve: Callable[[View], None],
    ) -> None:
        self.settings, self.gateway, self.ledger, self.serve = settings, gateway, ledger, serve
        self.environment_source = GatewayEnvironment(gateway, settings.room, transforms)
        self.routes: RoutesService | None = None
        self.start_task: asyncio.Task[None] | None = None
        self.first_plan_task: asyncio.Task[None] | None = None  # the task that provides the first plan

    async def start(self, take_over: bool) -> None:
        """Start merging once the ledger has started.

        Waits up to FIRST_PLAN_WAIT_S for the first plan, so that it applies to the first clients. In an
        upgrade (`take_over`) the predecessor holds the ledger until it ends, so the first plan is read from
        its file.
        """
        loop = asyncio.get_running_loop()
        self.start_task = loop.create_task(self._start_merging())
        self.first_plan_task = loop.create_task(self._preload_plan()) if take_over else self.start_task
        await asyncio.wait([self.first_plan_task], timeout=FIRST_PLAN_WAIT_S)

    async def _preload_plan(self) -> None:
        """Serve the plan in the predecessor's ledger file, unless this process has merged one already."""
        held = await asyncio.to_thread(read_payloads, self.ledger.keeper.directory, KIND)
        # Published transforms are in the ledger as well: until it starts, they are not checked.
        environment = await GatewayEnvironment(self.gateway, self.settings.room).poll_changed()
        merge = Merge(environment or Environment())
        await run_in_slices(preload(merge, held))
        if self.routes is None or self.routes.view is None:
            self.serve(merge.view)

    async def _start_merging(self) -> None:
        ledger = await self.ledger.ready()
        self.routes = RoutesService(ledger, self.environment_source, lambda: Merge(Environment()), self.serve)
        self.routes.start()
        await self.routes.merge_done.wait()

    def close(self) -> None:
        """Stop merging."""
        for task in (self.start_task, self.first_plan_task):
            if task is not None:
                task.cancel()
        if self.routes is not None:
            self.routes.close()

    def counters(self) -> dict[str, int]:
        """Counters for telemetry, by name."""
        counts = self.routes.counts if self.routes is not None else {}
        return {f"routes_{name}_total": number for name, number in counts.items()}

    def gauges(self) -> dict[str, int]:
        """Gauges for telemetry, by name; none before the first merge."""
        routes = self.routes
        if routes is None or routes.view is None:
            return {}
        view = routes.view
        return {
            "routes": len(view.routes),
            "routes_conflicts": len(view.conflicts),
            "routes_waiting": len(view.waiting),
            "routes_held_back": len(view.held_back),
            "routes_merge_us": routes.merge_us,
            "routes_slice_most_us": routes.longest_slice_us,
        }

    # Calls by operators.

    async def show(self, query: bytes) -> Answer:
        """The plan as JSON: all of it, that of one `team`, or without its routes (`form=brief`). With
        `form=toml`: a team's file."""
        if (routes := self.routes) is None or (view := routes.view) is None:
            return LEDGER_NOT_STARTED
        try:
            team, form = query_value(query, "team", "*"), query_value(query, "form", "json")
            if form not in ("json", "brief", "toml") or (form == "toml" and team == "*"):
                raise ValueError("form must be json, brief, or toml with a team")
        except ValueError as error:
            return error_answer(400, error)
        if form == "toml":
            text = await asyncio.to_thread(lambda: files.export(team, view, file_notes(team, view)))
            return Answer(200, text.encode(), TOML_CONTENT_TYPE)
        made = []
        parts = json_pieces(view, routes.changes, routes.membership.name, team, form == "brief")
        for number, piece in enumerate(parts):
            made.append(piece)
            if number % PIECES_PER_TURN == PIECES_PER_TURN - 1:
                await asyncio.sleep(0)
        return Answer(200, b"".join(made), JSON_CONTENT_TYPE)

    async def apply(self, query: bytes, body: bytes) -> Answer:
        """Commit the edits in a team's file. Body: the file; query: `wait`."""
        if (routes := self.routes) is None:
            return LEDGER_NOT_STARTED

        async def make(view: View) -> tuple[ChangeContent, files.TeamFile]:
            file = await asyncio.to_thread(files.parse, body)
            edits = files.difference(file)
            self._check(view, edits)
            base = file.base.context if file.base is not None else Context()
            return (file.team, edits, (), routes.commit_context(base, edits)), file

        return await self._commit(query, make)

    async def resolve(self, query: bytes, body: bytes) -> Answer:
        """Resolve a conflict. Query: `id`, `team`, `way` (take, value, delete, keep), `take` and `wait`;
        body: the value, as TOML."""

        async def make(view: View) -> tuple[ChangeContent, None]:
            id, team, take = (
                query_value(query, "id"),
                query_value(query, "team"),
                query_value(query, "take", "0"),
            )
            way = query_value(query, "way")
            if way not in ("take", "value", "delete", "keep"):
                raise ValueError("way must be take, value, delete or keep")
            if not take.isascii() or not take.isdigit() or len(take) > 9:
                raise ValueError("take must be the number of a side")
            found = next((conflict for conflict in view.conflicts if conflict.id == id), None)
            if found is None:
                raise ValueError(f"there is no conflict {id:.40}")
            edits = resolution_edits(found, Resolution(way, int(take), body.decode("utf-8", "replace")), view)
            self._check(view, edits)
            return (team, edits, (), view.context), None

        return await self._commit(query, make)

    async def accept(self, query: bytes, body: bytes) -> Answer:
        """Accept another team's edits of a route. Query: `change`, `route`, `team` and `wait`."""

        async def make(view: View) -> tuple[ChangeContent, None]:
            dot, route, team = (
                parse_change_name(query_value(query, "change")),
                query_value(query, "route"),
                query_value(query, "team"),
            )
            found = next((each for each in view.waiting if (each.dot, each.route) == (dot, route)), None)
            if found is None:
                raise ValueError(f"no edit of {route:.140} by {key_of(dot):.160} is waiting")
            if team not in found.owner.split(", "):
                raise ValueError(f"{route:.140} is owned by {found.owner}: {team:.140} cannot accept for it")
            return (team, (), (Accept(route, dot),), view.context), None

        return await self._commit(query, make)

    def _check(self, view: View, edits: tuple[Edit, ...]) -> None:
        """Raises ValueError with a line for each fault of the edits."""
        environment = self.routes.environment if self.routes is not None else None
        if found := edit_faults(
            view, edits, self.gateway.listed_hosts.values(), environment or Environment()
        ):
            raise ValueError("\n".join(found[: files.FAULTS_MAX]))

    async def _commit(self, query: bytes, make: Callable[[View], Any]) -> Answer:
        """Write the change that `make` returns for the current view.

        Invalid input is answered with 400, a refused write with 503; nothing is written then.
        """
        routes = self.routes
        if routes is None or (view := routes.view) is None:
            return LEDGER_NOT_STARTED
        try:
            wait: Level = query_level(query)
            (team, edits, accepts, context), file = await make(view)
            if not edits and not accepts:
                behind = files.outdated_routes(file, view) if file is not None else []
                return _json_answer({"change": "", "confirmed": True, "edits": 0, "behind": behind})
            change, result = await routes.commit(team, edits, accepts, context, wait, LEVEL_TIMEOUT_S)
        except ValueError as error:
            return error_answer(400, error)
        except WriteRefused as error:
            return error_answer(503, error)
        confirmed = isinstance(result, Acknowledged)
        body = {
            "change": key_of(change.dot),
            "team": team,
            "edits": len(edits),
            "confirmed": confirmed,
            "held": result.held if isinstance(result, Acknowledged) else None,
            "reason": "" if isinstance(result, Acknowledged) else result.reason,
            **change_outcome(change.dot, routes.view or view),
        }
        if file is not None:
            body["base"] = await asyncio.to_thread(files.base_after_commit, file, change)
        return _json_answer(body, 200 if confirmed else 202)


def _json_answer(body: dict[str, Any], status: int = 200) -> Answer:
    return Answer(status, json.dumps(body).encode(), JSON_CONTENT_TYPE)
