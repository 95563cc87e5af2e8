"""What the new process of an upgrade runs while the one before holds the state store: what the file shows of
the active set. It neither votes nor reports; that is the process before, under the same name."""

from __future__ import annotations

import asyncio
import contextlib

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.reader import Reader
from cloverkeel.fleet.ledger.store import StoreError
from cloverkeel.transforms.activation.book import Book, runs
from cloverkeel.transforms.activation.engine import Engine, candidates, vetted
from cloverkeel.transforms.activation.records import KINDS

LOOK_S = 0.2  # between two looks whether the file has changed


class Following:
    """`run` until `over` is set; what is staged stays in the engine."""

    def __init__(self, directory: str, member: str, engine: Engine) -> None:
        self.directory, self.member, self.engine = directory, member, engine
        self.tried: dict[str, str] = {}  # versions: "" or why they cannot be run
        self.shown: tuple[dict[str, str], dict[str, str]] = {}, {}
        self.looked = asyncio.Event()  # the first look has been taken, whatever it gave
        self.over = asyncio.Event()

    async def run(self) -> None:
        try:
            with contextlib.closing(await asyncio.to_thread(Reader, self.directory)) as reader:
                while not self.over.is_set():
                    await self._look(reader)
                    self.looked.set()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.over.wait(), LOOK_S)
        except StoreError as error:
            event("ledger.unreadable", directory=self.directory, reason=str(error))
        finally:
            self.looked.set()

    async def _look(self, reader: Reader) -> None:
        puts = await asyncio.to_thread(reader.puts, frozenset(KINDS))
        if puts is None:
            return
        by_key: dict[tuple[str, str], list[bytes]] = {}
        for put in puts:
            by_key.setdefault((put.record.kind, put.record.key), []).append(put.payload)
        book = Book()
        for (kind, key), payloads in by_key.items():
            book.take(kind, key, tuple(payloads))
        await self._stage(book)
        able = frozenset(id for id, why in self.tried.items() if not why)
        active = runs(book.epoch, self.member, able)
        shown = active, candidates(book.epoch, active)
        if shown != self.shown:
            self.shown = shown
            self.engine.activate(*shown)
            versions = ",".join(f"{name}:{id}" for name, id in active.items())
            event("transforms.followed", epoch=book.epoch.number, versions=versions or "-")

    async def _stage(self, book: Book) -> None:
        for id, order in book.wanted().items():
            if id in self.tried or not order.source:
                continue
            try:
                compiled = await asyncio.to_thread(vetted, order.source)
                self.tried[id] = self.engine.install(id, order.name, compiled)
            except (ValueError, MemoryError, RecursionError) as error:
                self.tried[id] = f"{error!r:.200}"
