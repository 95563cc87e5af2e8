"""The ledger's protocol core: single events, and clusters of cores in random histories."""

from __future__ import annotations

import random
from typing import TypeVar

import pytest

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import (
    Acknowledged,
    Action,
    Delete,
    Event,
    Level,
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
from cloverkeel.fleet.ledger.limits import Limits
from cloverkeel.fleet.ledger.messages import Digest, Fetch, Heads, Held, Piece
from cloverkeel.fleet.ledger.records import Record, payload_hash
from cloverkeel.fleet.ledger.replica import Put
from faultlab.storm.cluster.ledger import TICK_S, LedgerCluster
from faultlab.storm.cluster.ledger_history import play

T = TypeVar("T")
KEY = ("kind", "key")


def ledger(name: str = "a", **settings: object) -> Ledger:
    return Ledger(name, 1, Settings(**settings), random.Random(7))  # type: ignore[arg-type]


def run(core: Ledger, event: Event, now_s: float = 0.0) -> list[Action]:
    """Handles an event; each batch is on disk at once."""
    actions = core.handle(now_s, event)
    for action in actions:
        if isinstance(action, Persist):
            actions += core.handle(now_s, Persisted(action.batch))
    return actions


def of_type(kind: type[T], actions: list[Action]) -> list[T]:
    return [action for action in actions if isinstance(action, kind)]


def write(core: Ledger, payload: bytes, context: Context | None = None, **options: object) -> list[Action]:
    base_context = core.read(*KEY)[1] if context is None else context
    return run(core, Write("w", *KEY, payload, base_context, **options))  # type: ignore[arg-type]


def payloads(core: Ledger) -> list[bytes | None]:
    return [payload for _, payload in core.read(*KEY)[0]]


def test_concurrent_writes_are_siblings_until_a_write_covers_both() -> None:
    core = ledger()
    write(core, b"one")
    old = core.read(*KEY)[1]
    write(core, b"two", old)
    write(core, b"three", old)  # the same context again: concurrent with the write before
    assert sorted(filter(None, payloads(core))) == [b"three", b"two"]
    write(core, b"both")
    assert payloads(core) == [b"both"]
    run(core, Delete("d", *KEY, core.read(*KEY)[1]))
    assert payloads(core) == [None]


def test_a_write_is_acknowledged_only_after_the_disk_and_the_level() -> None:
    core = ledger(size=5)
    run(core, ViewChanged(("b", "c")))
    actions = core.handle(0.0, Write("w", *KEY, b"x", Context(), Level.QUORUM, 2.0))
    assert not of_type(Send, actions)
    actions = core.handle(0.0, Persisted(of_type(Persist, actions)[0].batch))
    heads = [s for s in of_type(Send, actions) if isinstance(s.message, Heads) and s.message.confirm]
    assert {s.member for s in heads} == {"b", "c"} and not of_type(Acknowledged, actions)
    dot = core.read(*KEY)[0][0][0].dot
    assert not of_type(Acknowledged, run(core, MessageReceived("b", Held((dot,)))))
    assert not of_type(Acknowledged, run(core, MessageReceived("stranger", Held((dot,)))))
    assert of_type(Acknowledged, run(core, MessageReceived("c", Held((dot,))))) == [
        Acknowledged("w", dot, Level.QUORUM, 3)
    ]


def test_idle_traffic_of_a_member_does_not_grow_with_the_fleet() -> None:
    costs = []
    for size in (5, 25):
        cluster = LedgerCluster(3, size, TICK_S)
        assert cluster.run(60.0, cluster.agreed)
        for number, member in enumerate(cluster.members.values()):
            cluster.write(
                member, ("kind", str(number)), use_old_context=False, delete=False, level=Level.LOCAL
            )
        cluster.run(30.0)
        cluster.write(
            cluster.members["m0"], ("kind", "0"), use_old_context=False, delete=True, level=Level.LOCAL
        )
        cluster.run(120.0)
        cores = [member.core for member in cluster.running_members() if member.core is not None]
        assert not any(
            core.replica.tombstones for core in cores
        )  # each has received a context with the tombstone from all others
        before = cluster.sent_bytes
        cluster.run(30.0)
        costs.append((cluster.sent_bytes - before) / size)
        assert cluster.violations() == []
    assert 0 < costs[1] < 1.1 * costs[0]


def test_contexts_that_differ_under_equal_roots_are_exchanged_both_ways() -> None:
    one, two = ledger("a"), ledger("b")
    run(one, ViewChanged(("b",)))
    run(two, ViewChanged(("a",)))
    write(one, b"x")
    run(two, MessageReceived("a", Heads((one.read(*KEY)[0][0][0],), payloads=(b"x",))))
    two.replica.context = two.replica.context.add(
        (Dot("c", 5, 1),)
    )  # a write that was superseded before it arrived
    one.settling.settled = two.settling.settled = True
    sent = [send.message for send in of_type(Send, one.handle(5.0, Tick()))]
    (digest_sent,) = [message for message in sent if isinstance(message, Digest)]
    assert digest_sent.context_hash and not digest_sent.context.runs
    (answer,) = of_type(Send, run(two, MessageReceived("a", digest_sent)))
    (reply,) = of_type(Send, run(one, MessageReceived("b", answer.message)))
    assert of_type(Send, run(two, MessageReceived("a", reply.message))) == []
    assert one.replica.context == two.replica.context and one.peer_contexts["b"] == one.replica.context


def test_a_write_whose_level_is_not_reached_is_reported_and_kept() -> None:
    core = ledger()
    run(core, ViewChanged(("b",), ("c",)))
    write(core, b"x", wait=Level.ALL, timeout_s=2.0)
    assert not of_type(NotConfirmed, run(core, Tick(), 1.9))
    (result,) = of_type(NotConfirmed, run(core, Tick(), 2.0))
    assert "all not reached" in result.reason and "b, c" in result.reason
    assert payloads(core) == [b"x"]


def test_a_disk_error_refuses_own_writes_and_retries_received_records() -> None:
    core, other = ledger(), ledger("b")
    write(other, b"theirs")
    head = other.read(*KEY)[0][0][0]
    run(core, ViewChanged(("b",)))
    run(core, MessageReceived("b", Heads((head,))))
    persist = of_type(Persist, core.handle(0.0, MessageReceived("b", Piece(head.sha256, 0, 6, b"theirs"))))[0]
    core.handle(0.0, Write("w", "kind", "mine", b"x", Context()))
    again = of_type(Persist, core.handle(0.0, PersistFailed(persist.batch, "no space")))
    actions = core.handle(0.0, PersistFailed(again[0].batch, "no space"))
    assert of_type(Refused, actions) == [Refused("w", "the disk did not take the write: no space")]
    assert payloads(core) == [] and core.read("kind", "mine")[0] == ()
    run(core, Tick(), 1.0)
    assert payloads(core) == [b"theirs"]


def test_a_write_that_the_disk_does_not_answer_times_out() -> None:
    core = ledger()
    (persist,) = of_type(Persist, core.handle(0.0, Write("w", *KEY, b"x", Context(), timeout_s=2.0)))
    (result,) = of_type(NotConfirmed, core.handle(2.0, Tick()))
    assert "it is not known whether the write is kept" in result.reason
    assert not of_type(Acknowledged, core.handle(3.0, Persisted(persist.batch))) and payloads(core) == [b"x"]


def test_a_payload_that_does_not_match_is_never_shown_and_another_member_is_asked() -> None:
    core = ledger()
    run(core, ViewChanged(("liar", "c")))
    payload = bytes(40_000)
    head = Record(*KEY, payload_hash(payload), len(payload), Dot("c", 1, 1), Context())
    (first,) = of_type(Send, run(core, MessageReceived("liar", Heads((head,)))))
    assert first == Send("liar", Fetch(head.sha256, 0, 32_768))
    (second,) = of_type(
        Send, run(core, MessageReceived("liar", Piece(head.sha256, 0, 40_000, payload[:32_768])))
    )
    actions = run(core, MessageReceived("liar", Piece(head.sha256, 32_768, 40_000, b"!" * 7_232)))
    assert core.intake.fetches.mismatched == 1 and payloads(core) == []
    assert of_type(Send, actions) == [Send("c", Fetch(head.sha256, 0, 32_768))]
    run(core, MessageReceived("c", Piece(head.sha256, 0, 40_000, payload[:32_768])))
    run(core, MessageReceived("liar", Piece(head.sha256, 32_768, 40_000, b"!" * 7_232)))  # not the one asked
    run(core, MessageReceived("c", Piece(head.sha256, 32_768, 40_000, payload[32_768:])))
    assert payloads(core) == [payload]


def test_an_inline_payload_is_used_only_if_it_matches_its_hash() -> None:
    core, other = ledger(), ledger("b")
    run(core, ViewChanged(("b",)))
    run(other, ViewChanged(("a",)))
    (sent,) = of_type(Send, write(other, b"small", wait=Level.ALL))
    assert isinstance(sent.message, Heads) and sent.message.payloads == (b"small",)
    mismatched = Heads(sent.message.records, payloads=(b"!mall",))
    sha256 = sent.message.records[0].sha256
    assert of_type(Send, run(core, MessageReceived("b", mismatched))) == [
        Send("b", Fetch(sha256, 0, 5))
    ] and not payloads(core)
    run(core, MessageReceived("b", sent.message))  # while it is fetched
    assert payloads(core) == [b"small"] and not core.intake.fetches.transfers


def test_new_heads_are_forwarded_in_one_message_but_not_to_their_sender() -> None:
    core = ledger(fanout=2)
    run(core, ViewChanged(("b", "c")))
    records = [Record("kind", f"key{n}", payload_hash(b""), 0, Dot("b", 1, n), Context()) for n in (1, 2)]
    for record in records:
        assert not of_type(
            Send, run(core, MessageReceived("b", Heads((record,), fresh=True, payloads=(b"",))))
        )
    (forwarded,) = [send for send in of_type(Send, run(core, Tick())) if isinstance(send.message, Heads)]
    assert forwarded == Send("c", Heads(tuple(records), fresh=True, payloads=(b"",)))
    assert not [send for send in of_type(Send, run(core, Tick(), 0.1)) if isinstance(send.message, Heads)]


def test_a_local_write_is_sent_at_once_to_the_member_to_notify() -> None:
    core = ledger()
    run(core, ViewChanged(("b", "c", "d")))
    (sent,) = of_type(Send, write(core, b"x", notify="c"))
    assert sent.member == "c" and isinstance(sent.message, Heads) and not sent.message.confirm
    forwarded_to = [
        send.member for send in of_type(Send, run(core, Tick())) if isinstance(send.message, Heads)
    ]
    assert sorted(forwarded_to) == ["b", "c", "d"]


def test_a_member_that_writes_too_much_uses_up_only_its_own_limit() -> None:
    core = ledger(limits=Limits(records=10, writer_records=3))
    run(core, ViewChanged(("b", "c")))
    for writer, count in (("b", 8), ("c", 2)):
        for n in range(count):
            record = Record("kind", f"{writer}{n}", payload_hash(b""), 0, Dot(writer, 1, n + 1), Context())
            run(core, MessageReceived(writer, Heads((record,))))
            run(core, MessageReceived(writer, Piece(payload_hash(b""), 0, 0, b"")))
    assert core.keys("kind") == ["b0", "b1", "b2", "c0", "c1"]
    assert core.intake.counts["over_limits"] == 5
    assert len(core.intake.fetches.pending) == 0
    for n in range(4):
        actions = run(core, Write(str(n), "kind", f"a{n}", b"", Context()))
    assert of_type(Refused, actions) == [Refused("3", "over the limit of 3 records of one writer (a)")]
    run(core, Write("again", "kind", "a0", b"", core.read("kind", "a0")[1]))  # supersedes its own record
    assert len(core.replica.records) == 8


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (Write("w", "kind", "", b"", Context()), "a key must have"),
        (Write("w", *KEY, bytes(256 * 1024 + 1), Context()), "a payload has up to"),
        (Write("w", *KEY, b"", Context({("b", 1): (1, 9)})), "ahead of this member"),
        (Delete("w", *KEY, Context()), "nothing to delete"),
    ],
)
def test_an_invalid_write_is_refused_with_its_reason(event: Event, expected: str) -> None:
    (refused,) = of_type(Refused, run(ledger(), event))
    assert expected in refused.reason


def test_a_deleted_record_does_not_return_after_its_tombstone_is_collected() -> None:
    core = ledger(digest_s=1.0)
    run(core, ViewChanged(("b",), ("c",)))
    core.settling.settled = True
    write(core, b"x")
    old = core.read(*KEY)[0][0][0]
    run(core, Delete("d", *KEY, core.read(*KEY)[1]))
    digest = Digest(core.replica.bucket_hashes.root(), core.replica.context, settled=True)
    run(core, MessageReceived("b", digest))
    run(core, Tick(), 1.0)
    assert payloads(core) == [None]  # c, dead for less than reap_after_s, may not have stored it
    run(core, MessageReceived("c", digest))
    run(core, Tick(), 2.0)
    assert payloads(core) == []
    run(core, MessageReceived("b", Heads((old,), fresh=True)))
    assert payloads(core) == [] and not core.intake.fetches.transfers


def distinct_records(count: int) -> list[Put]:
    """Records of ten writers, each with a payload of its own."""
    puts = []
    for n in range(count):
        payload = b"payload %d" % n
        dot = Dot(f"w{n % 10}", 1, n // 10 + 1)
        puts.append(
            Put(Record("kind", f"key{n}", payload_hash(payload), len(payload), dot, Context()), payload)
        )
    return puts


def two_members(first: list[Put], second: list[Put]) -> LedgerCluster:
    """A cluster of two members with these records on disk."""
    cluster = LedgerCluster(1, 2, TICK_S)
    for member, puts in zip(cluster.members.values(), (first, second), strict=True):
        cluster.stop(member)
        member.disk.rows = {put.record.dot: put for put in puts}
        member.disk.context = Context().add(member.disk.rows)
        for put in puts:
            cluster.reference.record_persisted(member.disk.disk_id, put.record, put.payload, frozenset())
        cluster.start(member)
    return cluster


def test_one_change_among_10_000_records_costs_at_most_64_kib() -> None:
    records = distinct_records(10_000)
    cluster = two_members(records, records[1:])
    assert cluster.run(30.0, cluster.agreed) and not cluster.reference.violations
    assert cluster.sent_bytes <= 64 * 1024


def test_a_new_member_receives_10_000_records() -> None:
    cluster = two_members(distinct_records(10_000), [])
    next(iter(cluster.members.values())).core.settling.settled = True  # type: ignore[union-attr]
    assert cluster.run(60.0, cluster.agreed) and not cluster.reference.violations


@pytest.mark.parametrize("seed", range(15))
def test_a_random_history_keeps_the_invariants(seed: int) -> None:
    assert play(seed).violations == []
