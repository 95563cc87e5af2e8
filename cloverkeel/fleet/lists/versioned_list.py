"""Versions of host lists, and the list that one member holds: pure, no I/O.

Lists are ordered by (`epoch`, `index`). The index is the list service's own. The epoch is the service's where
its answer has one; otherwise it is counted: an answer whose index is lower than that of the list that its
call started from comes from a restarted service and opens the next epoch (`answer_version`). A list never
replaces one of a higher version. A delta is applied only to the very list that it was made from; a digest of
the entries is compared as well as the version, since two members may count epochs differently.

A list from before this process (state file, configuration) is unconfirmed: it has a negative epoch until the
service confirms it. It is better than none, and any list that the service has given to any member since is
newer, whatever its index.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from cloverkeel.fleet import invariants

RawEntry = dict[str, Any]  # a host as the list service sends it: a JSON object with a `name`
JSON_INT_LIMIT = 2**53  # epochs and indexes stay below it: larger integers are not exact in JSON
MAX_ENTRIES = 10_000  # entries of one list
DIGEST_MASK = 2**64 - 1  # digests are sums modulo 2**64


class ListVersion(msgspec.Struct, frozen=True, order=True):
    """The version of a list, compared by epoch first; a negative epoch is unconfirmed."""

    epoch: int
    index: int

    @property
    def service_epoch(self) -> int:
        """The epoch as the service gave it, also for an unconfirmed version."""
        return self.epoch if self.epoch >= 0 else self.epoch + JSON_INT_LIMIT


def unconfirmed_version(epoch: int, index: int) -> ListVersion:
    """Return the version of a list from the state file or the configuration."""
    return ListVersion(epoch - JSON_INT_LIMIT, index)


class ListUpdate(NamedTuple):
    """A full list, or the delta from `base`. `digest` is that of the resulting list."""

    version: ListVersion
    digest: int
    base: tuple[ListVersion, int] | None  # version and digest that a delta applies to; None: full list
    entries: tuple[RawEntry, ...]


class ApplyResult(Enum):
    """What became of an update."""

    NEW = "new"  # newer: it has been applied
    STALE = "old"  # not newer than the held list: ignored
    GAP = "gap"  # newer, but a delta from another list than the held one: the full list has to be fetched


def answer_version(asked: ListVersion | None, index: int, epoch: int | None) -> ListVersion:
    """Return the version of an answer of the list service.

    `asked` is the version held when this very call started (None: no list), whatever has arrived since: a
    slow answer that a peer's update has overtaken must not be mistaken for a restart. `epoch` is the answer's
    own, if it has one.
    """
    if epoch is not None:
        return ListVersion(epoch, index)
    if asked is None:
        return ListVersion(0, index)
    return ListVersion(asked.service_epoch + (index < asked.index), index)


def entry_digest(entry: RawEntry) -> int:
    """Return a 64-bit digest of one entry. Raises TypeError for values that JSON cannot represent."""
    text = json.dumps(entry, sort_keys=True, separators=(",", ":"))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def is_deleted(entry: RawEntry) -> bool:
    """Whether an entry of a delta removes its host from the list."""
    return entry.get("status") == "DELETED"


def _decode_number(value: object, field: str, minimum: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value < JSON_INT_LIMIT:
        raise ValueError(f"{field} of a list is not an integer in range: {value!r:.40}")
    return value


def decode_version(raw: object) -> ListVersion:
    """Decode a version from its wire form, [epoch, index]. Raises ValueError."""
    if not isinstance(raw, list | tuple) or len(raw) != 2:
        raise ValueError(f"list version is not [epoch, index]: {raw!r:.40}")
    return ListVersion(_decode_number(raw[0], "epoch", -JSON_INT_LIMIT), _decode_number(raw[1], "index"))


def encode_version(version: ListVersion) -> list[int]:
    """Return the wire form of a version; the inverse of `decode_version`."""
    return [version.epoch, version.index]


def _decode_digest(raw: object) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not 0 <= raw <= DIGEST_MASK:
        raise ValueError(f"digest of a list is not a 64-bit integer: {raw!r:.40}")
    return raw


def encode(update: ListUpdate) -> dict[str, Any]:
    """Return the wire form of an update between members, for msgpack or JSON."""
    base = None if update.base is None else [*encode_version(update.base[0]), update.base[1]]
    return {
        "v": encode_version(update.version),
        "digest": update.digest,
        "base": base,
        "entries": list(update.entries),
    }


def decode(raw: object) -> ListUpdate:
    """Decode an update; the inverse of `encode`. Raises ValueError.

    The entries are checked only to be objects; the caller checks their fields.
    """
    if not isinstance(raw, dict):
        raise ValueError(f"list update is not a map: {raw!r:.40}")
    entries, base = raw.get("entries"), raw.get("base")
    if not isinstance(entries, list | tuple) or not all(isinstance(entry, dict) for entry in entries):
        raise ValueError("entries of a list are not an array of objects")
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"list has {len(entries)} entries, more than the limit of {MAX_ENTRIES}")
    if base is not None:
        if not isinstance(base, list | tuple) or len(base) != 3:
            raise ValueError(f"base of a delta is not [epoch, index, digest]: {base!r:.40}")
        base = (decode_version(base[:2]), _decode_digest(base[2]))
    return ListUpdate(decode_version(raw.get("v")), _decode_digest(raw.get("digest")), base, tuple(entries))


class HeldList:
    """The list that one member holds. Its version only increases; a refused update changes nothing."""

    __slots__ = ("digest", "entries", "needs_full_list", "version")

    def __init__(self) -> None:
        self.version: ListVersion | None = None
        self.entries: dict[str, RawEntry] = {}  # by name
        self.digest = 0  # sum of the entries' digests: updating it costs only the entries that change
        self.needs_full_list = False  # the service sent a delta from a list that is not held here

    @property
    def ask_from(self) -> int | None:
        """The index from which to ask the list service for a delta; None: ask for the full list."""
        return None if self.version is None or self.needs_full_list else self.version.index

    def classify(self, update: ListUpdate) -> ApplyResult:
        """Return what `apply` would return, without looking at the entries."""
        if self.version is not None and update.version <= self.version:
            return ApplyResult.STALE
        if update.base is not None and update.base != (self.version, self.digest):
            return ApplyResult.GAP
        return ApplyResult.NEW

    def apply(self, update: ListUpdate) -> ApplyResult:
        """Apply an update from a peer. Raises ValueError where its entries do not match its digest."""
        result = self.classify(update)
        if result is not ApplyResult.NEW:
            return result
        entries, digest = self._merged(update.entries, update.base is None)
        if digest != update.digest:
            raise ValueError("entries of a list do not match its digest")
        self._replace(update.version, entries, digest)
        return ApplyResult.NEW

    def apply_answer(
        self, asked: ListVersion | None, version: ListVersion, is_full: bool, entries: Iterable[RawEntry]
    ) -> tuple[ApplyResult, ListUpdate | None]:
        """Apply the list service's answer to a call that started from the list of version `asked`.

        `version` is the one that `answer_version` returned. The update to pass on is returned where the
        answer is new. An answer to a call that started before the held list arrived may be a delta from an
        older list: that is a gap, and the call is repeated from `ask_from`.
        """
        if self.version is not None and version <= self.version:
            self.needs_full_list = self.needs_full_list and not is_full
            return ApplyResult.STALE, None
        if not is_full and (asked is None or asked != self.version or version.epoch != asked.service_epoch):
            self.needs_full_list = asked is None or version.epoch != asked.service_epoch
            return ApplyResult.GAP, None
        held, listed = (self.version, self.digest), tuple(entries)
        base = None if is_full or held[0] is None else (held[0], held[1])
        merged, digest = self._merged(listed, is_full)
        self._replace(version, merged, digest)
        return ApplyResult.NEW, ListUpdate(version, digest, base, listed)

    def full_list(self) -> ListUpdate | None:
        """Return the held list as an update, or None while there is none or it is empty."""
        if self.version is None or not self.entries:
            return None
        return ListUpdate(self.version, self.digest, None, tuple(self.entries.values()))

    def _merged(self, listed: Iterable[RawEntry], is_full: bool) -> tuple[dict[str, RawEntry], int]:
        """Return the entries and the digest that result from a full list or a delta."""
        entries: dict[str, RawEntry] = {} if is_full else dict(self.entries)
        digest = 0 if is_full else self.digest
        for entry in listed:
            name = entry["name"]
            old = entries.pop(name, None)
            if old is not None:
                digest -= entry_digest(old)
            if not is_deleted(entry):
                entries[name] = entry
                digest += entry_digest(entry)
        return entries, digest & DIGEST_MASK

    def _replace(self, version: ListVersion, entries: dict[str, RawEntry], digest: int) -> None:
        if invariants.ON:
            invariants.check(
                self.version is None or version > self.version, "lists applied out of order",
                held=self.version, new=version,
            )  # fmt: skip
        self.version, self.entries, self.digest = version, entries, digest
        self.needs_full_list = False
