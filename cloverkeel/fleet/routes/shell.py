"""Connects the merge of routes to the ledger, to the gateway's route table and to the log.

The merge runs in slices of SLICE_S between turns of the event loop, so that requests are served meanwhile.
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
from cloverkeel.fleet.ledger.shell import LedgerService, Siblings, WriteRefused, WriteResult
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import Status
from cloverkeel.fleet.routes import gc_pause
from cloverkeel.fleet.routes.changes import KIND, Accept, Change, Edit, decode, encode, key_of
from cloverkeel.fleet.routes.conflict_log import ConflictLog
from cloverkeel.fleet.routes.interface import Environment, View
from cloverkeel.http1 import log

SLICE_S = 0.001  # longest run of the merge without a turn of the event loop
POLL_S = 1.0  # between checks for a changed environment
DROP_INTERVAL_S = 30.0  # between deletions of superseded changes; none if there was no merge since the last
RETRY_S = 5.0  # from a failed merge to the next
# Superseded changes are deleted if there are more than DROP_MIN, at most DROP_BATCH at one time.
DROP_MIN, DROP_BATCH = 64, 256
# A merge that changes at least this many routes is followed by gc.freeze: its objects are long-lived.
FREEZE_MIN_ROUTES = 1_000
MERGE_WAIT_S = 2.0  # longest wait until a change written here has been merged


class MergeCore(Protocol):
    """The protocol core that merges changes (merge.py)."""

    @property
    def view(self) -> View: ...

    def add(self, change: Change) -> None: ...

    def drop(self, dot: Dot) -> None: ...

    def set_environment(self, environment: Environment) -> None: ...

    def settle(self) -> Iterator[None]: ...

    def droppable(self) -> list[Dot]: ...


class EnvironmentSource(Protocol):
    """Returns the environment when it may have changed, else None."""

    async def poll_changed(self) -> Environment | None: ...


class RoutesService:
    """Merges the ledger's changes and commits new ones.

    `ledger` must have started; `on_view` is called with each new view to serve. Call `close` before the
    ledger closes.
    """

    def __init__(
        self,
        ledger: LedgerService,
        source: EnvironmentSource,
        make_merge: Callable[[], MergeCore],
        on_view: Callable[[View], None],
    ) -> None:
        self.ledger, self.environment_source, self.make_merge, self.serve = (
            ledger,
            source,
            make_merge,
            on_view,
        )
        self.membership = ledger.membership
        self.loop = asyncio.get_running_loop()
        self.merge = make_merge()
        self.view: View | None = None  # the last merged; None: not merged yet
        self.ledger_settled = False  # whether the ledger has settled since this process started
        self.unserved = False  # whether `view` is not served yet
        self.last_number = 0  # counter of the last change that this process wrote
        self.changes: dict[str, Change] = {}  # given to the merge, by ledger key
        self.dots_by_route: collections.defaultdict[str, set[Dot]] = collections.defaultdict(set)
        self.pending_records: collections.deque[tuple[str, Siblings]] = collections.deque()
        self.environment: Environment | None = None  # as last polled
        self.merge_environment: Environment | None = None  # as the merge has it
        self.merge_wanted, self.merge_done = asyncio.Event(), asyncio.Event()
        self.conflict_log = ConflictLog(self.membership.name)
        self.counts: collections.Counter[str] = collections.Counter()
        # Time of the last deletion of superseded changes, and the number of merges then.
        self.last_drop_s, self.last_drop_merges = self.loop.time(), 0
        self.merge_us = self.longest_slice_us = 0  # CPU time of the last merge; of the longest slice so far
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start merging, with all changes that the ledger has."""
        self.ledger.on_key_changed(self._on_key_changed)
        self._read_all()
        self.tasks = [self.loop.create_task(self._merge_loop()), self.loop.create_task(self._poll_loop())]

    def close(self) -> None:
        """Stop merging."""
        for task in self.tasks:
            task.cancel()

    def live_members(self) -> frozenset[str]:
        """The names of the live members, including this one."""
        names = {name for name, update in self.membership.view().items() if update.status in LIVE_STATUSES}
        return frozenset(names | {self.membership.name})

    # Changes written by this gateway.

    async def commit(
        self, team: str, edits: tuple[Edit, ...], accepts: tuple[Accept, ...], context: Context,
        wait: Level, timeout_s: float,
    ) -> tuple[Change, WriteResult]:  # fmt: skip
        """Write one change and wait until it has been merged.

        Raises ValueError if it is invalid, WriteRefused if the ledger did not store it; the counter of a
        refused change is not used again.
        """
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
        """The context of a change that was made from `base`.

        It is all that was merged here, unless that includes changes of the edited routes that the base has
        not seen. With the base alone the change would be concurrent to unrelated changes since, and a
        conflict with them would exclude those from service, too.
        """
        if self.view is None:
            return base
        unseen = (
            dot for edit in edits for dot in self.dots_by_route.get(edit.route, ()) if not base.covers(dot)
        )
        return base if next(unseen, None) is not None else base.merge(self.view.context)

    async def _wait_until_merged(self, dot: Dot) -> None:
        """Wait until the view includes the change, so that the outcome can be reported to its writer."""
        try:
            async with asyncio.timeout(MERGE_WAIT_S):
                while self.view is None or not self.view.context.covers(dot):
                    self.merge_done.clear()
                    await self.merge_done.wait()
        except TimeoutError:
            return

    # Ledger records.

    def _on_key_changed(self, changed: KeyChanged) -> None:
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
            return  # changes are immutable
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
            gc_pause.pause()  # a collection over the objects of a merge takes 0.2 s at 10,000 routes
            many_changed, reason = False, ""
            try:
                many_changed = await self._settle()
            except Exception as error:
                # The plan stays in service if the merge fails, for example on one record.
                log(f"routes: merge failed; plan in service stays, merge restarts\n{traceback.format_exc()}")
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
        """Run the merge and publish its view. Returns whether FREEZE_MIN_ROUTES or more routes changed."""
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
        """Serve the view, or keep it back until the ledger has settled.

        The first view, from disk, is served at once. Until the ledger has settled, changes arrive in any
        order, and a change without one that it depends on would give an incomplete plan.
        """
        core = self.ledger.core
        self.ledger_settled = self.ledger_settled or (core is not None and core.settling.settled)
        if not (first or self.ledger_settled):
            self.unserved = True
            return
        # If views were skipped, any route may have changed.
        self.serve(dataclasses.replace(view, changed_routes=None) if self.unserved else view)
        self.unserved = False

    # Polling the environment, and deletion of superseded changes.

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
                log(f"routes: poll of the environment failed; trying again\n{traceback.format_exc()}")
            await asyncio.sleep(POLL_S)

    async def _drop_superseded(self) -> None:
        """Delete superseded changes, if this is the first live member by name and no member is dead."""
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
    """Run `steps` to their end, with a turn of the event loop after each SLICE_S.

    Returns the CPU time in microseconds: in total, and of the longest slice.
    """
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
    """The change in a ledger record. Raises ValueError if it is invalid or belongs to another key."""
    change = decode(payload)
    if key_of(change.dot) != key:
        raise ValueError("its dot does not match its ledger key")
    return change


def preload(merge: MergeCore, records: Iterable[tuple[str, bytes]]) -> Iterator[None]:
    """Merge, in steps, the records (key and payload) that were read from another process's ledger."""
    for key, payload in records:
        with contextlib.suppress(ValueError):  # the process that owns the ledger reports it
            merge.add(decode_record(key, payload))
        yield
    yield from merge.settle()


def _routes_of(change: Change) -> set[str]:
    return {*(edit.route for edit in change.edits), *(each.route for each in change.accepts)}
