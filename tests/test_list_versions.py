"""List versions: they never decrease in any order of arrival, and updates continue after a restart."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.lists.versioned_list import (
    MAX_ENTRIES,
    ApplyResult,
    HeldList,
    ListUpdate,
    ListVersion,
    RawEntry,
    answer_version,
    decode,
    decode_version,
    encode,
)


def entry(number: int, change_count: int) -> RawEntry:
    return {"name": f"s-{number}", "address": f"127.0.0.1:{change_count + 1}", "status": "SERVING"}


def deleted_entry(number: int) -> RawEntry:
    return {"name": f"s-{number}", "address": "127.0.0.1:1", "status": "DELETED"}


class Service:
    """The list service, which changes one host at a time.

    With an epoch of its own, its index starts at 1 again after a restart. Without one, it starts lower than
    ever before: a restart at a higher index could not be detected.
    """

    def __init__(self, has_epoch: bool) -> None:
        self.has_epoch, self.starts, self.change_count = has_epoch, 0, 0
        self.entries: dict[str, RawEntry] = {f"s-{n}": entry(n, 0) for n in range(3)}
        self.restart()

    @property
    def epoch(self) -> int | None:
        return self.starts if self.has_epoch else None

    def change(self, number: int, delete: bool) -> None:
        self.change_count += 1
        new = deleted_entry(number) if delete else entry(number, self.change_count)
        self.entries.pop(new["name"], None)
        if not delete:
            self.entries[new["name"]] = new
        self.log.append(new)  # changed entries, from index `first` on
        self.index += 1

    def restart(self) -> None:
        self.starts += 1
        self.first = self.index = 1 if self.has_epoch else 10_000 - 100 * self.starts
        self.log: list[RawEntry] = []

    def answer(self, from_index: int | None) -> tuple[int, bool, list[RawEntry]]:
        if from_index is None or not self.first <= from_index <= self.index:
            return self.index, True, list(self.entries.values())
        return self.index, False, self.log[from_index - self.first :]


class Relay:
    """A member's held list, its pending calls to the service, and the updates that it passed on."""

    def __init__(self) -> None:
        self.held = HeldList()
        self.pending_calls: list[tuple[ListVersion | None, int | None, tuple[int, bool, list[RawEntry]]]] = []
        self.sent: list[ListUpdate] = []

    def call_service(self, service: Service) -> None:
        from_version = self.held.version
        self.pending_calls.append((from_version, service.epoch, service.answer(self.held.ask_from)))

    def apply_pending_answer(self, position: int) -> None:
        from_version, epoch, (index, is_full, entries) = self.pending_calls.pop(
            position % len(self.pending_calls)
        )
        before = self.held.version
        result, update = self.held.apply_answer(
            from_version, answer_version(from_version, index, epoch), is_full, entries
        )
        assert before is None or (self.held.version is not None and self.held.version >= before)
        assert (result is ApplyResult.NEW) == (update is not None)
        if update is not None:
            self.sent.append(update)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["change", "change", "delete", "restart", "call", "call", "answer", "answer", "peer"]
        ),
        st.integers(0, 7),
    ),
    max_size=60,
)


@settings(max_examples=60, deadline=None)
@given(STEPS, st.booleans())
def test_versions_only_increase_in_any_order_of_arrival_and_end_at_the_newest(
    steps: list[tuple[str, int]], has_epoch: bool
) -> None:
    service, relays, follower = Service(has_epoch), [Relay(), Relay()], HeldList()
    forwarded: list[ListUpdate] = []

    def deliver(update: ListUpdate) -> None:
        before = follower.version
        result = follower.apply(decode(json.loads(json.dumps(encode(update)))))
        if result is ApplyResult.NEW:
            assert before is None or update.version > before
        else:
            assert follower.version == before

    for step, number in steps:
        relay = relays[number % 2]
        if step in ("change", "delete"):
            service.change(number, step == "delete")
        elif step == "restart":
            service.restart()
        elif step == "call":
            relay.call_service(service)
        elif step == "answer" and relay.pending_calls:
            relay.apply_pending_answer(number)
            forwarded += relay.sent
            relay.sent = []
        elif step == "peer" and forwarded:
            deliver(forwarded[number % len(forwarded)])  # late, repeated, with gaps
    # No more changes: each relay gets the other's list, calls the service again and passes the result on.
    for _ in range(4):
        for relay, other in (relays, relays[::-1]):
            full_list = other.held.full_list()
            if full_list is not None:
                relay.held.apply(full_list)
            relay.pending_calls = []
            relay.call_service(service)
            relay.apply_pending_answer(0)
    for relay in relays:
        assert relay.held.entries == service.entries
        full_list = relay.held.full_list()
        if full_list is not None:
            deliver(full_list)
    if service.entries:
        assert follower.version == max(r.held.version for r in relays if r.held.version)
        assert follower.entries == service.entries


def test_a_restart_is_detected_against_the_list_that_the_call_started_from() -> None:
    assert answer_version(ListVersion(0, 5), 7, None) == ListVersion(
        0, 7
    )  # a slow answer, overtaken by a peer's (0, 9)
    assert answer_version(ListVersion(2, 100), 3, None) == ListVersion(
        3, 3
    )  # relays that see the same restart count alike
    assert answer_version(ListVersion(2, 100), 100, None) == ListVersion(2, 100)
    assert answer_version(None, 3, None) == ListVersion(0, 3)
    assert answer_version(ListVersion(2, 100), 3, 17) == ListVersion(
        17, 3
    )  # the service's own epoch takes precedence


def test_a_delta_is_applied_only_to_the_list_it_was_made_from() -> None:
    first, second = HeldList(), HeldList()
    first.apply_answer(None, ListVersion(0, 1), True, [entry(1, 1)])
    second.apply_answer(None, ListVersion(0, 1), True, [entry(1, 2)])  # the same version, another list
    _, change = first.apply_answer(ListVersion(0, 1), ListVersion(0, 2), False, [entry(2, 1)])
    assert (
        change is not None and second.apply(change) is ApplyResult.GAP and second.version == ListVersion(0, 1)
    )
    full_list = first.full_list()
    assert (
        full_list is not None
        and second.apply(full_list) is ApplyResult.NEW
        and second.entries == first.entries
    )


def test_a_delta_after_a_restart_is_a_gap() -> None:
    held = HeldList()
    held.apply_answer(None, ListVersion(0, 9), True, [entry(1, 1)])
    version = answer_version(held.version, 2, None)
    assert held.apply_answer(held.version, version, False, [entry(2, 1)]) == (ApplyResult.GAP, None)
    assert held.version == ListVersion(0, 9)


def test_entries_that_do_not_match_the_digest_change_nothing() -> None:
    held = HeldList()
    _, update = held.apply_answer(None, ListVersion(0, 1), True, [entry(1, 1)])
    assert update is not None
    with pytest.raises(ValueError, match="digest"):
        held.apply(update._replace(version=ListVersion(1, 1), entries=(entry(1, 9),)))
    assert held.version == ListVersion(0, 1) and held.entries == {"s-1": entry(1, 1)}


def test_an_empty_list_is_not_passed_on() -> None:
    held = HeldList()
    assert held.full_list() is None
    held.apply_answer(None, ListVersion(0, 1), True, [])
    assert held.full_list() is None


GOOD = {"v": [0, 1], "digest": 1, "base": None, "entries": []}


@pytest.mark.parametrize(
    "raw",
    [
        None, 7, [], {}, {**GOOD, "v": [0, -1]}, {**GOOD, "v": [True, 1]}, {**GOOD, "v": [0, 2**60]},
        {**GOOD, "v": [0, 1.0]}, {**GOOD, "v": [1]}, {**GOOD, "digest": -1}, {**GOOD, "digest": "1"},
        {**GOOD, "base": [0]}, {**GOOD, "base": [0, 1, None]}, {**GOOD, "base": 3}, {**GOOD, "entries": {}},
        {**GOOD, "entries": [7]}, {**GOOD, "entries": [{}] * (MAX_ENTRIES + 1)},
    ],
)  # fmt: skip
def test_an_invalid_update_is_refused(raw: object) -> None:
    with pytest.raises(ValueError):
        decode(raw)


@settings(max_examples=60, deadline=None)
@given(
    st.recursive(
        st.none() | st.integers() | st.text() | st.floats(),
        lambda s: st.lists(s) | st.dictionaries(st.sampled_from(["v", "digest", "base", "entries"]), s),
    )
)
def test_garbage_is_decoded_or_refused(raw: object) -> None:
    for read in (decode, decode_version):
        try:
            read(raw)
        except ValueError:
            continue
