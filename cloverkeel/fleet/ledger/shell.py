"""The ledger of a gateway: connects the protocol core to membership, to TCP calls and to the disk."""

from __future__ import annotations

import asyncio
import collections
import random
import secrets
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import (
    Acknowledged,
    Action,
    Delete,
    Event,
    KeyChanged,
    Level,
    LogEvent,
    MessageReceived,
    NotConfirmed,
    Persist,
    Persisted,
    PersistFailed,
    Refused,
    Send,
    Settings,
    Tick,
    ViewChanged,
    Write,
)
from cloverkeel.fleet.ledger.ledger import Ledger
from cloverkeel.fleet.ledger.messages import Message, encode
from cloverkeel.fleet.ledger.outbox import CALL_KIND, Outbox, pack, unpack
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.ledger.store import Loaded, Store, Writer
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.membership.updates import Status

TICK_S = 0.1
LOG_EVENTS_PER_S = 5  # further ones in the same second are dropped

WriteResult = Acknowledged | NotConfirmed
Siblings = tuple[tuple[Record, bytes | None], ...]


class WriteRefused(Exception):  # noqa: N818 - a regular outcome, not an error of the program
    """The write was not stored, or the ledger closed before that was known; the message says which."""


class LedgerService:
    """This gateway's replica of the ledger, from `start` to `close`.

    `directory`: the state directory. This process must hold its lock, and the state store must have created
    its file.
    """

    def __init__(self, membership: Membership, directory: str, settings: Settings) -> None:
        self.membership, self.directory, self.settings = membership, directory, settings
        self.core: Ledger | None = None
        self.store_id = 0  # as in store.Loaded; 0 until started
        self.writer: Writer | None = None
        self.outbox = Outbox(membership.calls, self._address_of, self._on_answer)
        self.listeners: list[Callable[[KeyChanged], None]] = []
        self.pending_writes: dict[str, asyncio.Future[WriteResult]] = {}
        self.last_write_number = 0
        self.tick_timer: asyncio.TimerHandle | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        self.logged_count, self.log_window_s = 0, 0.0  # events in the current second, and its start
        self.closed = False
        self.loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Loads the ledger from disk and starts replication. If it raises StoreError, nothing has started."""
        store, loaded = await asyncio.to_thread(_open, self.directory)
        for finding in loaded.findings:
            event("ledger.dropped", directory=self.directory, reason=finding)
        # Random for each start: a counter on disk would go back if an old copy of the disk were restored.
        incarnation = secrets.randbits(62) + 1
        name, rng, self.store_id = self.membership.name, random.Random(), loaded.store_id
        self.core = Ledger(name, incarnation, self.settings, rng, loaded.puts, loaded.context)
        self.writer = Writer(store, self._post_outcome)
        event("ledger.opened", directory=self.directory, records=len(loaded.puts), incarnation=incarnation)
        self.membership.calls.serve(CALL_KIND, self._on_call)
        self.membership.on_change(lambda _update, _before: self._view_changed())
        self._view_changed()
        self._tick()

    def read(self, kind: str, key: str) -> tuple[Siblings, Context]:
        """The siblings of a key with payloads (tombstones: None), and the context to pass with a write."""
        return self._started_core().read(kind, key)

    def keys(self, kind: str) -> list[str]:
        """The keys of a kind that have records, tombstones included, sorted."""
        return self._started_core().keys(kind)

    def on_key_changed(self, listener: Callable[[KeyChanged], None]) -> None:
        """Registers a listener for changes of the siblings of any key. It must not raise."""
        self.listeners.append(listener)

    async def write(
        self, kind: str, key: str, payload: bytes, context: Context,
        wait: Level = Level.LOCAL, timeout_s: float = 5.0, notify: str = "",
    ) -> WriteResult:  # fmt: skip
        """Writes a payload; `context` is the one that the key was read with.

        Returns `Acknowledged` with the number of members that hold it on disk, or `NotConfirmed` if its level
        was not reached in time: it may be stored. Raises WriteRefused if it was not stored. `notify`: a
        member that is sent the write at once.
        """
        return await self._submit(
            Write(self._next_write_id(), kind, key, payload, context, wait, timeout_s, notify)
        )

    async def delete(
        self, kind: str, key: str, context: Context, wait: Level = Level.LOCAL, timeout_s: float = 5.0
    ) -> WriteResult:
        """Deletes, with a tombstone, what `context` covers; otherwise as `write`."""
        return await self._submit(Delete(self._next_write_id(), kind, key, context, wait, timeout_s))

    def counters(self) -> dict[str, int]:
        """Counts since the start, by name."""
        core = self._started_core()
        fetches = core.intake.fetches
        return {
            **self.counts, **self.outbox.counts, **core.intake.counts,
            "payload_mismatched": fetches.mismatched, "payloads_given_up": fetches.given_up,
            "persist_failures": core.persist_failures,
        }  # fmt: skip

    async def close(self, wait_s: float = 1.0) -> None:
        """Stops replication, and waits up to `wait_s` for batches that were handed to the writer thread."""
        self.closed = True
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.outbox.close()
        if self.writer is not None:
            await asyncio.to_thread(self.writer.close, wait_s)
        for write in self.pending_writes.values():
            if not write.done():
                write.set_exception(
                    WriteRefused("the ledger closes: it is not known whether the write was kept")
                )

    def _started_core(self) -> Ledger:
        assert self.core is not None, "start() first"
        return self.core

    def _next_write_id(self) -> str:
        self.last_write_number += 1
        return str(self.last_write_number)

    async def _submit(self, write: Write | Delete) -> WriteResult:
        if self.closed:
            raise WriteRefused("the ledger is closed")
        answer: asyncio.Future[WriteResult] = self.loop.create_future()
        self.pending_writes[write.id] = answer
        try:
            self._handle(write)
            return await answer
        finally:
            del self.pending_writes[write.id]

    # Events and actions of the core.

    def _handle(self, ledger_event: Event, to: str = "") -> list[bytes]:
        """Passes an event to the core and performs its actions.

        Messages for the member `to` are not sent but returned, encoded, to be part of the answer to its call.
        """
        replies: list[bytes] = []
        if self.closed:
            return replies
        for action in self._started_core().handle(self.loop.time(), ledger_event):
            if isinstance(action, Send) and action.member == to:
                replies.append(encode(action.message))
            else:
                self._perform(action)
        return replies

    def _perform(self, action: Action) -> None:
        match action:
            case Send(member, message):
                self.outbox.send(member, message)
            case Persist():
                assert self.writer is not None
                self.writer.write(action)
            case Acknowledged() | NotConfirmed():
                if isinstance(action, NotConfirmed):
                    event("ledger.not_confirmed", dot=_dot_text(action.dot), reason=action.reason)
                self._resolve(action.id, action)
            case Refused(write_id, reason):
                self._resolve(write_id, WriteRefused(reason))
            case KeyChanged():
                for listener in self.listeners:
                    listener(action)
            case LogEvent(name, fields):
                self._log_limited(name, dict(fields))

    def _resolve(self, write_id: str, outcome: WriteResult | WriteRefused) -> None:
        """Completes the future of a write, if someone still waits for it."""
        write = self.pending_writes.get(write_id)
        if write is None or write.done():
            return
        if isinstance(outcome, WriteRefused):
            write.set_exception(outcome)
        else:
            write.set_result(outcome)

    def _log_limited(self, name: str, fields: dict[str, object]) -> None:
        """Logs an event, unless LOG_EVENTS_PER_S have been logged in this second."""
        now_s = self.loop.time()
        if now_s - self.log_window_s >= 1.0:
            self.logged_count, self.log_window_s = 0, now_s
        self.logged_count += 1
        if self.logged_count <= LOG_EVENTS_PER_S:
            event(name, **fields)

    def _post_outcome(self, outcome: Persisted | PersistFailed) -> None:
        """Called on the writer's thread: passes the outcome of a batch to the event loop."""
        try:
            self.loop.call_soon_threadsafe(self._on_written, outcome)
        except RuntimeError:
            return  # the loop has closed: nobody waits for the outcome

    def _on_written(self, outcome: Persisted | PersistFailed) -> None:
        if isinstance(outcome, PersistFailed):
            self._log_limited("ledger.write_failed", {"directory": self.directory, "reason": outcome.reason})
        self._handle(outcome)

    def _on_call(self, peer: str, body: Any) -> list[bytes]:
        """Handles the messages of a call and returns those for the caller. Raises ValueError if malformed."""
        try:
            messages = unpack(body)
        except ValueError as error:
            self.counts["messages_malformed"] += 1
            self._log_limited("ledger.malformed", {"member": peer, "reason": str(error)})
            raise
        replies: collections.deque[bytes] = collections.deque()
        for message in messages:
            replies.extend(self._handle(MessageReceived(peer, message), to=peer))
        answer = pack(replies)
        self.counts["answers_cut"] += len(replies)  # dropped: the core repeats what matters
        self.counts["bytes_out"] += sum(map(len, answer))
        return answer

    def _on_answer(self, member: str, messages: list[Message]) -> None:
        for message in messages:
            self._handle(MessageReceived(member, message))

    # Time and membership.

    def _tick(self) -> None:
        self.tick_timer = self.loop.call_later(TICK_S, self._tick)
        self._view_changed()  # membership reports no change when it reaps a member
        if self.membership.joined.is_set():
            self._handle(Tick())

    def _view_changed(self) -> None:
        """Passes the live and gone members to the core, if they have changed."""
        others = self.membership.view()
        others.pop(self.membership.name, None)
        live = tuple(sorted(name for name, update in others.items() if update.status in LIVE_STATUSES))
        gone = tuple(sorted(name for name, update in others.items() if update.status is Status.DEAD))
        core = self._started_core()
        if (live, gone) != (core.live, core.gone):
            self._handle(ViewChanged(live, gone))

    def _address_of(self, member: str) -> str | None:
        update = self.membership.view().get(member)
        return update.address if update is not None and update.status in LIVE_STATUSES else None


def _open(directory: str) -> tuple[Store, Loaded]:
    store = Store(directory)
    return store, store.load()


def _dot_text(dot: Dot) -> str:
    return f"{dot.member}:{dot.incarnation}:{dot.counter}"
