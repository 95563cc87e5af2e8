"""Entry point of every list, from the list service and from members; `HeldList` decides which is newer."""

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
    """Return the epoch that the service's answer carries, or None."""
    value = raw.get("epoch")
    is_valid = isinstance(value, int) and not isinstance(value, bool) and 0 <= value < JSON_INT_LIMIT
    return value if is_valid else None


class CallStart(NamedTuple):
    """The state at the start of a call to the list service."""

    version: ListVersion | None  # of the list held then; None: no list
    for_full_list: bool  # the call asks for the full list, not for a delta


class ListIngest:
    """Applies lists from the list service and from members, and keeps the newest.

    A newer list goes to `on_new_list`, which passes it on to followers, and then to the gateway by `on_list`,
    in the same turn of the event loop. `on_service_status` is called with True when the list service answers
    and with False when the watch fails. Implements `discovery.ListOrdering`.
    """

    def __init__(
        self,
        discovery: Discovery,
        on_list: OnList,
        on_new_list: Callable[[ListUpdate], None],
        on_service_status: Callable[[bool], None],
    ) -> None:
        self.discovery, self.on_list, self.on_new_list, self.on_service_status = (
            discovery,
            on_list,
            on_new_list,
            on_service_status,
        )
        self.held_list = HeldList()
        self.counts: Counter[str] = Counter()

    # discovery.ListOrdering

    def known_list_loaded(self, raw: dict[str, Any], index: int | None, entries: list[HostEntry]) -> None:
        """Apply the list from the state file or the configuration; it is unconfirmed."""
        result = ApplyResult.STALE
        if index is not None and 0 <= index < JSON_INT_LIMIT:
            version = unconfirmed_version(_parse_epoch(raw) or 0, index)
            result, _ = self.held_list.apply_answer(None, version, True, [entry.raw for entry in entries])
        self._sync_discovery()
        if result is ApplyResult.NEW or self.held_list.version is None:
            self.on_list(ListKind.DISK, entries)  # otherwise a newer list from a member is already in use

    def call_started(self) -> CallStart:
        """Record what is held when a call to the list service starts."""
        self.counts["list_service_calls"] += 1
        return CallStart(self.held_list.version, self.held_list.ask_from is None)

    def call_answered(
        self, start: CallStart, raw: dict[str, Any], index: int, is_full: bool, entries: list[HostEntry]
    ) -> None:
        """Apply an answer of the list service. Raises ValueError or CallError for one that cannot be used."""
        if not 0 <= index < JSON_INT_LIMIT:
            raise ValueError(f"list service's index is out of range: {index}")
        if start.for_full_list and not is_full:
            raise CallError("list service sent a delta where the full list was requested")
        version = answer_version(start.version, index, _parse_epoch(raw))
        held_before = self.held_list.version
        _, update = self.held_list.apply_answer(
            start.version, version, is_full, [entry.raw for entry in entries]
        )
        self._sync_discovery()
        if update is not None:
            if held_before is not None and version.epoch != held_before.service_epoch:
                event("lists.epoch", epoch=version.epoch, index=index, before_epoch=held_before.service_epoch,
                      before_index=held_before.index, reason="the list service was restarted")  # fmt: skip
            self.counts["lists_from_service"] += 1
            self.on_new_list(update)
            self.on_list(ListKind.FULL if is_full else ListKind.DELTA, entries)
        elif held_before is not None and start.version == held_before and version.epoch < held_before.epoch:
            # The service is behind the very list that the call started from: an immediate repeat of the call
            # would get the same answer, without end.
            raise CallError(
                f"list service's epoch is {version.epoch}, older than the held list's {held_before.epoch}"
            )
        self.on_service_status(True)

    def watch_failed(self) -> None:
        """Report that the watch has failed and ended."""
        self.on_service_status(False)

    def _sync_discovery(self) -> None:
        """Set the index and epoch from which `discovery` makes its next call."""
        self.discovery.index = self.held_list.ask_from
        self.discovery.epoch = (
            self.held_list.version.service_epoch if self.held_list.version is not None else None
        )

    # Members

    def apply_from_peer(self, update: ListUpdate) -> ApplyResult:
        """Apply a full list or a delta from a member. Raises ValueError for an invalid one."""
        result = self.held_list.classify(update)
        if result is ApplyResult.NEW:
            entries = self._parse_entries(update)
            self.held_list.apply(update)
            self._sync_discovery()
            self.counts["lists_from_peers"] += 1
            self.on_new_list(update)
            self.on_list(ListKind.DELTA if update.base is not None else ListKind.FULL, entries)
        return result

    def republish(self) -> None:
        """Give the gateway the full list again."""
        full_list = self.held_list.full_list()
        if full_list is not None:
            self.on_list(ListKind.FULL, self._parse_entries(full_list))

    def _parse_entries(self, update: ListUpdate) -> list[HostEntry]:
        """Parse the entries of an update from a member. Raises ValueError if any of them is unusable.

        This is stricter than parsing the service's answer, where unusable entries are skipped: a member
        passes on only entries that it can use itself, so one unusable entry makes the whole update suspect.
        """
        entries: dict[int, HostEntry] = {}
        for raw in update.entries:
            try:
                entry = parse_entry(raw, self.discovery.names)
                entry_digest(raw)
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
                raise ValueError(f"unusable list entry: {error!r:.80}") from None
            if entries.setdefault(entry.listed_server.server, entry) is not entry:
                raise ValueError(f"duplicate list entry {entry.name!r:.80}")
        return list(entries.values())
