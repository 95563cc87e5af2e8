"""Routes in a gateway: the merge joined to the ledger, to what serves the plan, and to the log.

The merge runs in slices of SLICE_S between turns of the loop, so that requests go on beside it.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import time
import traceback
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import Acknowledged, KeyChanged, Level
from cloverkeel.fleet.ledger.shell import WriteResult, LedgerService, Siblings, WriteRefused
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import Status
from cloverkeel.fleet.routes import gc_pause
from cloverkeel.fleet.routes.changes import KIND, Accept, Change, Edit, decode, encode, key_of
from cloverkeel.fleet.routes.interface import View, Environment
from cloverkeel.fleet.routes.conflict_log import ConflictLog
from cloverkeel.http1 import log

SLICE_S = 0.001
POLL_S = 1.0  # between two looks at the world
DROP_INTERVAL_S = 30.0  # between two looks at what may be dropped, and with no merge meanwhile none
RETRY_S = 5.0  # after a merge that failed
DROP_MIN, DROP_BATCH = 64, 256  # droppable changes that may stay; dropped at one look
FREEZE_MIN_ROUTES = (
    1_000  # routes that are new with one plan, from which on they are kept out of garbage collection
)
MERGE_WAIT_S = 2.0  # for a change written here to be merged


class MergeCore(Protocol):
    """The core (merge.py)."""

    @property
    def view(self) -> View: ...

    def add(self, change: Change) -> None: ...

    def drop(self, dot: Dot) -> None: ...

    def set_environment(self, environment: Environment) -> None: ...

    def settle(self) -> Iterator[None]: ...

    def droppable(self) -> list[Dot]: ...


class EnvironmentSource(Protocol):
    async def poll_changed(self) -> Environment | None: ...


class RoutesService:
    """`ledger` has started; `take` is handed each new view. `close` before the ledger closes."""

    def __init__(
        self,
        ledger: LedgerService,
        environment_source: EnvironmentSource,
        make_merge: Callable[[], MergeCore],
        on_view: Callable[[View], None],
    ) -> None:
        self.ledger, self.environment_source, self.make_merge, self.serve = (
            ledger,
            environment_source,
            make_merge,
            on_view,
        )
        self.membership = ledger.membership
        self.loop = asyncio.get_running_loop()
        self.merge = make_merge()
        self.view: View | None = None  # in service; None: not merged yet
        self.ledger_settled = False  # the ledger has been, in this life
        self.unserved = False  # `view` is not the one that is served, yet
        self.last_number = 0  # of the last change written in this life
        self.changes: dict[str, Change] = {}  # by the merge; by key in the ledger
        self.dots_by_route: collections.defaultdict[str, set[Dot]] = collections.defaultdict(set)  # by route
        self.pending_records: collections.deque[tuple[str, Siblings]] = collections.deque()
        self.environment: Environment | None = None  # as last looked at, and as the merge has it
        self.merge_environment: Environment | None = None
        self.merge_wanted, self.merge_done = asyncio.Event(), asyncio.Event()
        self.conflict_log = ConflictLog(self.membership.name)
        self.counts: collections.Counter[str] = collections.Counter()
        self.last_drop_s, self.last_drop_merges = (
            self.loop.time(),
            0,
        )  # the last look at what may go, and its merge
        self.merge_us = self.longest_slice_us = (
            0  # of the processor: the last merge, and the longest slice ever
        )
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self.ledger.on_key_changed(self._on_expose)
        self._read_all()
        self.tasks = [self.loop.create_task(self._merge_loop()), self.loop.create_task(self._poll_loop())]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    def live_members(self) -> frozenset[str]:
        """The members that are there, this one included."""
        names = {name for name, update in self.membership.view().items() if update.status in LIVE_STATUSES}
        return frozenset(names | {self.membership.name})

    # Changes of this gateway's.

    async def commit(
        self, team: str, edits: tuple[Edit, ...], accepts: tuple[Accept, ...], context: Context,
        wait: Level, timeout_s: float,
    ) -> tuple[Change, WriteResult]:  # fmt: skip
        """Write one change. Raises ValueError where it is none, WriteRefused where the ledger did not keep
        it; a number that was refused is not used again."""
        core = self.ledger.core
        assert core is not None, "the ledger has started"
        dot = Dot(self.membership.name, core.incarnation, self.last_number + 1)
        change = Change(dot=dot, context=context, team=team, edits=edits, accepts=accepts)
        payload = encode(change)
        self.last_number += 1
        result = await self.ledger.write(KIND, key_of(dot), payload, Context(), wait, timeout_s)
        self.counts["written"] += 1
        event("routes.committed", change=key_of(dot), team=team, edits=len(edits), accepts=len(accepts),
              wait=wait.value, outcome=f"held by {result.held}" if isinstance(result, Acknowledged)
              else result.reason)  # fmt: skip
        await self._wait_until_merged(dot)
        return change, result

    def commit_context(self, base: Context, edits: Iterable[Edit]) -> Context:
        """What a change made from `base` may say that it has seen: all that is here, where that has nothing
        of its routes that the base lacks. Else it would be beside the others' last changes, and a conflict
        with them would take those out of service, too."""
        if self.view is None:
            return base
        unseen = (
            dot for edit in edits for dot in self.dots_by_route.get(edit.route, ()) if not base.covers(dot)
        )
        return base if next(unseen, None) is not None else base.merge(self.view.context)

    async def _wait_until_merged(self, dot: Dot) -> None:
        """Until the view has taken it in, so that its writer may be told what became of it."""
        try:
            async with asyncio.timeout(MERGE_WAIT_S):
                while self.view is None or not self.view.context.covers(dot):
                    self.merge_done.clear()
                    await self.merge_done.wait()
        except TimeoutError:
            return

    # Records in.

    def _on_expose(self, changed: KeyChanged) -> None:
        if changed.kind == KIND:
            self.pending_records.append((changed.key, changed.records))
            self.merge_wanted.set()

    def _read_all(self) -> None:
        for key in self.ledger.keys(KIND):
            self.pending_records.append((key, self.ledger.read(KIND, key)[0]))
        self.merge_wanted.set()

    def _apply_records(self, key: str, records: Siblings) -> None:
        payloads = sorted(payload for _, payload in records if payload is not None)
        if not payloads:
            if (dropped := self.changes.pop(key, None)) is not None:
                self.merge.drop(dropped.dot)
                for route in _routes_of(dropped):
                    self.dots_by_route[route].discard(dropped.dot)
            return
        if key in self.changes:
            return  # a change is written once
        try:
            change = decode_record(key, payloads[0])
        except ValueError as error:
            self.counts["malformed"] += 1
            event("routes.malformed", change=key, reason=str(error))
            return
        self.changes[key] = change
        for route in _routes_of(change):
            self.dots_by_route[route].add(change.dot)
        self.merge.add(change)

    # The merge.

    async def _merge_loop(self) -> None:
        while True:
            await self.merge_wanted.wait()
            self.merge_wanted.clear()
            if self.environment is None:
                continue
            gc_pause.pause()  # one over all that a merge makes takes 0.2 s at 10,000 routes
            many_changed, reason = False, ""
            try:
                many_changed = await self._settle()
            except Exception as error:
                # One record that the merge cannot take must not end the plan that is in service.
                log(f"the merge of routes failed\n{traceback.format_exc()}")
                reason = f"{type(error).__name__}: {error}"
            finally:
                gc_pause.resume(freeze=many_changed)
            if reason:
                event("routes.merge_failed", reason=reason)
                self.counts["merge_failures"] += 1
                await asyncio.sleep(RETRY_S)
                self._restart_merge()

    def _restart_merge(self) -> None:
        self.merge, self.merge_environment = self.make_merge(), None
        self.changes.clear()
        self.dots_by_route.clear()
        self.pending_records.clear()
        self._read_all()

    async def _settle(self) -> bool:
        """Whether many routes came of it."""
        spent_us, longest_us = await run_in_slices(self._merge_steps())
        self.merge_us, self.longest_slice_us = spent_us, max(self.longest_slice_us, longest_us)
        self.counts["merges"] += 1
        view = self.merge.view
        self._publish_view(view)
        return view.changed_routes is None or len(view.changed_routes) >= FREEZE_MIN_ROUTES

    def _merge_steps(self) -> Iterator[None]:
        if self.environment is not None and self.environment is not self.merge_environment:
            self.merge_environment = self.environment
            self.merge.set_environment(self.environment)
            yield
        while self.pending_records:
            self._apply_records(*self.pending_records.popleft())
            yield
        yield from self.merge.settle()

    def _publish_view(self, view: View) -> None:
        previous, self.view = self.view, view
        self._serve(view, first=previous is None)
        if previous is None or previous.hash != view.hash:
            event("routes.plan", hash=view.hash, routes=len(view.routes), conflicts=len(view.conflicts),
                  waiting=len(view.waiting), held_back=len(view.held_back))  # fmt: skip
        for name, fields in self.conflict_log.update(view.conflicts, self.live_members()):
            event(name, **fields)
        self.merge_done.set()

    def _serve(self, view: View, first: bool = False) -> None:
        """What the disk had is served at once. What comes until the ledger is settled comes in any order, and
        a change without the one that it rests on is half a plan: it is served once all is here."""
        core = self.ledger.core
        self.ledger_settled = self.ledger_settled or (core is not None and core.settling.settled)
        if not (first or self.ledger_settled):
            self.unserved = True
            return
        # After some views were not served, any route may be another.
        self.serve(dataclasses.replace(view, changed_routes=None) if self.unserved else view)
        self.unserved = False

    # The world, and what is superseded.

    async def _poll_loop(self) -> None:
        while True:
            try:
                if (environment := await self.environment_source.poll_changed()) is not None:
                    self.environment = environment
                    self.merge_wanted.set()
                await self._drop_superseded()
                if self.unserved and self.view is not None:
                    self._serve(self.view)
            except Exception:
                log(f"a look at what routes rest on failed\n{traceback.format_exc()}")
            await asyncio.sleep(POLL_S)

    async def _drop_superseded(self) -> None:
        """Delete superseded changes, where this is the first live member and none is dead."""
        merges = self.counts["merges"]
        if self.loop.time() - self.last_drop_s < DROP_INTERVAL_S or merges == self.last_drop_merges:
            return
        states = {update.status for update in self.membership.view().values()}
        core = self.ledger.core
        if (
            core is None or not core.settling.settled or len(self.changes) <= DROP_MIN
            or Status.DEAD in states or min(self.live_members()) != self.membership.name
        ):  # fmt: skip
            return
        self.last_drop_s, self.last_drop_merges = self.loop.time(), merges
        dots = self.merge.droppable()
        for dot in dots[:DROP_BATCH] if len(dots) > DROP_MIN else ():
            key = key_of(dot)
            try:
                await self.ledger.delete(KIND, key, self.ledger.read(KIND, key)[1])
                self.counts["dropped"] += 1
            except WriteRefused as error:
                event("routes.not_dropped", change=key, reason=str(error))
                return


async def run_in_slices(steps: Iterator[None]) -> tuple[int, int]:
    """Play `steps` to their end, with a turn of the loop after each SLICE_S: the processor's microseconds,
    all together and of the longest slice."""
    spent_s, longest_s, slice_start_s, slice_cpu_start_s = 0.0, 0.0, time.perf_counter(), time.thread_time()
    for _ in steps:
        if time.perf_counter() - slice_start_s >= SLICE_S:
            slice_cpu_s = time.thread_time() - slice_cpu_start_s
            spent_s, longest_s = spent_s + slice_cpu_s, max(longest_s, slice_cpu_s)
            await asyncio.sleep(0)
            slice_start_s, slice_cpu_start_s = time.perf_counter(), time.thread_time()
    slice_cpu_s = time.thread_time() - slice_cpu_start_s
    return int((spent_s + slice_cpu_s) * 1e6), int(max(longest_s, slice_cpu_s) * 1e6)


def decode_record(key: str, payload: bytes) -> Change:
    """The change under a key of the ledger. Raises ValueError."""
    change = decode(payload)
    if key_of(change.dot) != key:
        raise ValueError("its dot is another key's")
    return change


def preload(merge: MergeCore, records: Iterable[tuple[str, bytes]]) -> Iterator[None]:
    """Steps by which `merge` has the view of what another process's ledger holds, key and payload."""
    for key, payload in records:
        with contextlib.suppress(ValueError):  # the ledger's own process tells of it
            merge.add(decode_record(key, payload))
        yield
    yield from merge.settle()


def _routes_of(change: Change) -> set[str]:
    return {*(edit.route for edit in change.edits), *(each.route for each in change.accepts)}
