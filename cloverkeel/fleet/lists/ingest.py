"""Where every list enters, from the list service and from members, in the one order of `order.HeldList`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from caperdrift.interface import ListKind

from cloverkeel.discovery import Discovery, OnList
from cloverkeel.host_entries import HostEntry, parse_entry
from cloverkeel.fleet.events import event
from cloverkeel.fleet.lists.versioned_list import (
    JSON_INT_LIMIT,
    ListUpdate,
    HeldList,
    ListVersion,
    ApplyResult,
    entry_digest,
    unconfirmed_version,
    answer_version,
)
from cloverkeel.discovery_connection import CallError


def _parse_epoch(raw: dict[str, Any]) -> int | None:
    """The list's own epoch, if it has one."""
    value = raw.get("epoch")
    is_one = isinstance(value, int) and not isinstance(value, bool) and 0 <= value < JSON_INT_LIMIT
    return value if is_one else None


class CallStart(NamedTuple):
    """A call as it was made."""

    version: ListVersion | None  # of the list held then
    for_full_list: bool


class ListIngest:
    """What is newer goes to `on_news`, to be passed on, then to the gateway by `on_list`, in the same turn of
    the loop. `on_service` hears whether the service's watch answers or has failed. This is the `order` of
    `discovery` (discovery.Order)."""

    def __init__(
        self,
        discovery: Discovery,
        on_list: OnList,
        on_news: Callable[[ListUpdate], None],
        on_service: Callable[[bool], None],
    ) -> None:
        self.discovery, self.on_list, self.on_new_list, self.on_service_status = (
            discovery,
            on_list,
            on_news,
            on_service,
        )
        self.held_list = HeldList()
        self.counts: Counter[str] = Counter()

    # discovery.Order

    def known_list_loaded(self, raw: dict[str, Any], index: int | None, entries: list[HostEntry]) -> None:
        taken = ApplyResult.STALE
        if index is not None and 0 <= index < JSON_INT_LIMIT:
            version = unconfirmed_version(_parse_epoch(raw) or 0, index)
            taken, _ = self.held_list.apply_answer(None, version, True, [entry.raw for entry in entries])
        self._sync_discovery()
        if taken is ApplyResult.NEW or self.held_list.version is None:
            self.on_list(ListKind.DISK, entries)  # else a member's is here already

    def call_started(self) -> CallStart:
        self.counts["list_service_calls"] += 1
        return CallStart(self.held_list.version, self.held_list.ask_from is None)

    def call_answered(
        self, begun: CallStart, raw: dict[str, Any], index: int, whole: bool, entries: list[HostEntry]
    ) -> None:
        if not 0 <= index < JSON_INT_LIMIT:
            raise ValueError(f"the list's index is out of range: {index}")
        if begun.for_full_list and not whole:
            raise CallError("a change where the whole list was asked for")
        version = answer_version(begun.version, index, _parse_epoch(raw))
        before = self.held_list.version
        _, body = self.held_list.apply_answer(begun.version, version, whole, [entry.raw for entry in entries])
        self._sync_discovery()
        if body is not None:
            if before is not None and version.epoch != before.service_epoch:
                event("lists.epoch", epoch=version.epoch, index=index, before_epoch=before.service_epoch,
                      before_index=before.index, reason="the list service has started anew")  # fmt: skip
            self.counts["lists_from_service"] += 1
            self.on_new_list(body)
            self.on_list(ListKind.FULL if whole else ListKind.DELTA, entries)
        elif before is not None and begun.version == before and version.epoch < before.epoch:
            # The service is behind the very list that the call was made from: to go on would be a loop.
            raise CallError(f"the service's epoch is {version.epoch}, the list's {before.epoch}")
        self.on_service_status(True)

    def watch_failed(self) -> None:
        self.on_service_status(False)

    def _sync_discovery(self) -> None:
        self.discovery.index = self.held_list.ask_from
        self.discovery.epoch = (
            self.held_list.version.service_epoch if self.held_list.version is not None else None
        )

    # Members

    def apply_from_peer(self, body: ListUpdate) -> ApplyResult:
        """A list or a change that a member passed on. Raises ValueError where it is none."""
        taken = self.held_list.classify(body)
        if taken is ApplyResult.NEW:
            entries = self._parse_entries(body)
            self.held_list.apply(body)
            self._sync_discovery()
            self.counts["lists_from_peers"] += 1
            self.on_new_list(body)
            self.on_list(ListKind.DELTA if body.base is not None else ListKind.FULL, entries)
        return taken

    def republish(self) -> None:
        """The whole list once more, for the gateway."""
        whole = self.held_list.full_list()
        if whole is not None:
            self.on_list(ListKind.FULL, self._parse_entries(whole))

    def _parse_entries(self, body: ListUpdate) -> list[HostEntry]:
        """Stricter than the service's own: a member passes on only what it could use itself, so one entry
        that cannot be used makes all of it suspect. Raises ValueError."""
        entries: dict[int, HostEntry] = {}
        for raw in body.entries:
            try:
                entry = parse_entry(raw, self.discovery.names)
                entry_digest(raw)
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
                raise ValueError(f"an entry cannot be used: {error!r:.80}") from None
            if entries.setdefault(entry.listed_server.server, entry) is not entry:
                raise ValueError(f"{entry.name!r:.80} is there twice")
        return list(entries.values())
