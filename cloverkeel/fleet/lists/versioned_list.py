"""The order of lists of hosts, and one member's list as it follows that order: pure, no I/O.

A list is ordered by (`epoch`, `index`). The index is the list service's. The epoch is the service's own where
its answer has one; else it is counted: an answer with an index below that of the list which its call was
made from comes from a service that has started anew, and opens the next epoch (`judge`). A list of a lower
order never takes the place of one of a higher; a change is taken only over the very list that it was made
from, which a digest of the entries tells beside the version, since two members may count differently.

A list from before this start (state file, configuration) has a negative epoch until the service confirms it:
it is better than none, and a list that the service gave anyone in this life is newer, whatever its index.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from cloverkeel.fleet import invariants

RawEntry = dict[str, Any]  # an entry in discovery's form: a JSON object with a `name`
JSON_INT_LIMIT = 2**53  # of an epoch and of an index: what JSON carries exactly
MAX_ENTRIES = 10_000  # of one list
DIGEST_MASK = 2**64 - 1


class ListVersion(msgspec.Struct, frozen=True, order=True):
    """Compares by the epoch first; a negative one is that of a list from before (`from_before`)."""

    epoch: int
    index: int

    @property
    def service_epoch(self) -> int:
        """The epoch that the list had when the service gave it."""
        return self.epoch if self.epoch >= 0 else self.epoch + JSON_INT_LIMIT


def unconfirmed_version(epoch: int, index: int) -> ListVersion:
    """The version of a list that a process before this one had, or that the configuration has."""
    return ListVersion(epoch - JSON_INT_LIMIT, index)


class ListUpdate(NamedTuple):
    """A whole list, or the change to it from `base`; `digest` is that of the list it gives."""

    version: ListVersion
    digest: int
    base: tuple[ListVersion, int] | None  # version and digest of the list it changes; None: whole
    entries: tuple[RawEntry, ...]


class ApplyResult(Enum):
    NEW = "new"  # it is the list from now on
    STALE = "old"  # not newer than the list held
    GAP = "gap"  # newer, but made from another list than the one held: the whole is to be asked for


def answer_version(asked: ListVersion | None, index: int, epoch: int | None) -> ListVersion:
    """The version of a list service's answer.

    `asked`: the list that this very call was made from (None: none was held then), whatever was heard
    meanwhile: a slow answer beside a fast peer is no restart. `epoch`: the answer's own, if it has one.
    """
    if epoch is not None:
        return ListVersion(epoch, index)
    if asked is None:
        return ListVersion(0, index)
    return ListVersion(asked.service_epoch + (index < asked.index), index)


def entry_digest(entry: RawEntry) -> int:
    """64 bits of one entry. Raises TypeError for what JSON cannot carry."""
    text = json.dumps(entry, sort_keys=True, separators=(",", ":"))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def is_deleted(entry: RawEntry) -> bool:
    return entry.get("status") == "DELETED"


def _decode_number(value: object, what: str, least: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value < JSON_INT_LIMIT:
        raise ValueError(f"{what} is no number of a list: {value!r:.40}")
    return value


def decode_version(raw: object) -> ListVersion:
    """A version as it travels, [epoch, index]. Raises ValueError."""
    if not isinstance(raw, list | tuple) or len(raw) != 2:
        raise ValueError(f"no version of a list: {raw!r:.40}")
    return ListVersion(_decode_number(raw[0], "epoch", -JSON_INT_LIMIT), _decode_number(raw[1], "index"))


def encode_version(version: ListVersion) -> list[int]:
    """The inverse of `as_version`."""
    return [version.epoch, version.index]


def _decode_digest(raw: object) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not 0 <= raw <= DIGEST_MASK:
        raise ValueError(f"no digest: {raw!r:.40}")
    return raw


def encode(body: ListUpdate) -> dict[str, Any]:
    """A body as it travels between members, for msgpack or JSON."""
    base = None if body.base is None else [*encode_version(body.base[0]), body.base[1]]
    return {
        "v": encode_version(body.version),
        "digest": body.digest,
        "base": base,
        "entries": list(body.entries),
    }


def decode(raw: object) -> ListUpdate:
    """The inverse of `encode`. Raises ValueError for anything else; entries are checked by the caller."""
    if not isinstance(raw, dict):
        raise ValueError(f"no list: {raw!r:.40}")
    entries, base = raw.get("entries"), raw.get("base")
    if not isinstance(entries, list | tuple) or not all(isinstance(entry, dict) for entry in entries):
        raise ValueError("entries are no list of objects")
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} entries, over the bound of {MAX_ENTRIES}")
    if base is not None:
        if not isinstance(base, list | tuple) or len(base) != 3:
            raise ValueError(f"no base: {base!r:.40}")
        base = (decode_version(base[:2]), _decode_digest(base[2]))
    return ListUpdate(decode_version(raw.get("v")), _decode_digest(raw.get("digest")), base, tuple(entries))


class HeldList:
    """One member's list. `take` moves it only forward in the order; a refused body changes nothing."""

    __slots__ = ("digest", "entries", "needs_full_list", "version")

    def __init__(self) -> None:
        self.version: ListVersion | None = None
        self.entries: dict[str, RawEntry] = {}  # by name
        self.digest = 0  # the sum of the entries' digests: a change costs what it changes
        self.needs_full_list = False  # the service told of changes of a list that this member does not hold

    @property
    def ask_from(self) -> int | None:
        """The index to ask the list service for changes from; None: for the whole list."""
        return None if self.version is None or self.needs_full_list else self.version.index

    def classify(self, body: ListUpdate) -> ApplyResult:
        """What `take` would say, without a look at the entries."""
        if self.version is not None and body.version <= self.version:
            return ApplyResult.STALE
        if body.base is not None and body.base != (self.version, self.digest):
            return ApplyResult.GAP
        return ApplyResult.NEW

    def apply(self, body: ListUpdate) -> ApplyResult:
        """Take a body that a peer passed on. Raises ValueError where its entries do not give its digest: then
        it is not what the peer says it is."""
        taken = self.classify(body)
        if taken is not ApplyResult.NEW:
            return taken
        entries, digest = self._merged(body.entries, body.base is None)
        if digest != body.digest:
            raise ValueError("the entries are not those of the digest")
        self._replace(body.version, entries, digest)
        return ApplyResult.NEW

    def apply_answer(
        self, asked: ListVersion | None, version: ListVersion, whole: bool, entries: Iterable[RawEntry]
    ) -> tuple[ApplyResult, ListUpdate | None]:
        """Take the list service's answer to a call made from `asked`, with the version that `judge` gives;
        the body is what to pass on, where it is new. An answer to a call made before the list held came may
        be a change of an older one: a gap, after which the call is made again from what `ask_from` says."""
        if self.version is not None and version <= self.version:
            self.needs_full_list = self.needs_full_list and not whole
            return ApplyResult.STALE, None
        if not whole and (asked is None or asked != self.version or version.epoch != asked.service_epoch):
            self.needs_full_list = asked is None or version.epoch != asked.service_epoch
            return ApplyResult.GAP, None
        before, listed = (self.version, self.digest), tuple(entries)
        base = None if whole or before[0] is None else (before[0], before[1])
        made, digest = self._merged(listed, whole)
        self._replace(version, made, digest)
        return ApplyResult.NEW, ListUpdate(version, digest, base, listed)

    def full_list(self) -> ListUpdate | None:
        """The list held, to pass on; None while there is none, or only an empty one."""
        if self.version is None or not self.entries:
            return None
        return ListUpdate(self.version, self.digest, None, tuple(self.entries.values()))

    def _merged(self, listed: Iterable[RawEntry], whole: bool) -> tuple[dict[str, RawEntry], int]:
        entries: dict[str, RawEntry] = {} if whole else dict(self.entries)
        digest = 0 if whole else self.digest
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
