"""Where every list enters, from the list service and from members, in the one order of `order.HeldList`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from caperdrift.interface import ListKind

from cloverkeel.discovery import Discovery, OnList
from cloverkeel.entries import Entry, parse_entry
from cloverkeel.fleet.events import event
from cloverkeel.fleet.lists.order import (
    LARGEST,
    Body,
    HeldList,
    ListVersion,
    Taken,
    entry_digest,
    from_before,
    judge,
)
from cloverkeel.listcall import CallError


def _epoch(raw: dict[str, Any]) -> int | None:
    """The list's own epoch, if it has one."""
    value = raw.get("epoch")
    is_one = isinstance(value, int) and not isinstance(value, bool) and 0 <= value < LARGEST
    return value if is_one else None


class Begun(NamedTuple):
    """A call as it was made."""

    version: ListVersion | None  # of the list held then
    for_whole: bool


class Intake:
    """What is newer goes to `on_news`, to be passed on, then to the gateway by `on_list`, in the same turn of
    the loop. `on_service` hears whether the service's watch answers or has failed. This is the `order` of
    `discovery` (discovery.Order)."""

    def __init__(
        self,
        discovery: Discovery,
        on_list: OnList,
        on_news: Callable[[Body], None],
        on_service: Callable[[bool], None],
    ) -> None:
        self.discovery, self.on_list, self.on_news, self.on_service = discovery, on_list, on_news, on_service
        self.held = HeldList()
        self.counts: Counter[str] = Counter()

    # discovery.Order

    def known(self, raw: dict[str, Any], index: int | None, entries: list[Entry]) -> None:
        taken = Taken.OLD
        if index is not None and 0 <= index < LARGEST:
            version = from_before(_epoch(raw) or 0, index)
            taken, _ = self.held.answered(None, version, True, [entry.raw for entry in entries])
        self._follow_on()
        if taken is Taken.NEW or self.held.version is None:
            self.on_list(ListKind.DISK, entries)  # else a member's is here already

    def begin(self) -> Begun:
        self.counts["list_service_calls"] += 1
        return Begun(self.held.version, self.held.ask_from is None)

    def answered(
        self, begun: Begun, raw: dict[str, Any], index: int, whole: bool, entries: list[Entry]
    ) -> None:
        if not 0 <= index < LARGEST:
            raise ValueError(f"the list's index is out of range: {index}")
        if begun.for_whole and not whole:
            raise CallError("a change where the whole list was asked for")
        version = judge(begun.version, index, _epoch(raw))
        before = self.held.version
        _, body = self.held.answered(begun.version, version, whole, [entry.raw for entry in entries])
        self._follow_on()
        if body is not None:
            if before is not None and version.epoch != before.service_epoch:
                event("lists.epoch", epoch=version.epoch, index=index, before_epoch=before.service_epoch,
                      before_index=before.index, reason="the list service has started anew")  # fmt: skip
            self.counts["lists_from_service"] += 1
            self.on_news(body)
            self.on_list(ListKind.FULL if whole else ListKind.DELTA, entries)
        elif before is not None and begun.version == before and version.epoch < before.epoch:
            # The service is behind the very list that the call was made from: to go on would be a loop.
            raise CallError(f"the service's epoch is {version.epoch}, the list's {before.epoch}")
        self.on_service(True)

    def failed(self) -> None:
        self.on_service(False)

    def _follow_on(self) -> None:
        self.discovery.index = self.held.ask_from
        self.discovery.epoch = self.held.version.service_epoch if self.held.version is not None else None

    # Members

    def take(self, body: Body) -> Taken:
        """A list or a change that a member passed on. Raises ValueError where it is none."""
        taken = self.held.judge(body)
        if taken is Taken.NEW:
            entries = self._parse(body)
            self.held.take(body)
            self._follow_on()
            self.counts["lists_from_peers"] += 1
            self.on_news(body)
            self.on_list(ListKind.DELTA if body.base is not None else ListKind.FULL, entries)
        return taken

    def again(self) -> None:
        """The whole list once more, for the gateway."""
        whole = self.held.whole()
        if whole is not None:
            self.on_list(ListKind.FULL, self._parse(whole))

    def _parse(self, body: Body) -> list[Entry]:
        """Stricter than the service's own: a member passes on only what it could use itself, so one entry
        that cannot be used makes all of it suspect. Raises ValueError."""
        entries: dict[int, Entry] = {}
        for raw in body.entries:
            try:
                entry = parse_entry(raw, self.discovery.names)
                entry_digest(raw)
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
                raise ValueError(f"an entry cannot be used: {error!r:.80}") from None
            if entries.setdefault(entry.listed.server, entry) is not entry:
                raise ValueError(f"{entry.name!r:.80} is there twice")
        return list(entries.values())
