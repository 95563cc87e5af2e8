"""Laws of dots, contexts and siblings, checked against plain sets of dots."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.messages import Digest, Heads, Want, decode, encode
from cloverkeel.fleet.ledger.records import Record, payload_hash, read_context, siblings

dots = st.builds(Dot, st.sampled_from("abc"), st.integers(1, 2), st.integers(1, 12))
sets = st.frozensets(dots, max_size=30)
ALL_DOTS = [Dot(m, i, c) for m in "abc" for i in (1, 2) for c in range(1, 13)]


def covered_dots(context: Context) -> frozenset[Dot]:
    return frozenset(dot for dot in ALL_DOTS if context.covers(dot))


@given(sets, sets, dots)
def test_a_context_is_the_set_of_the_dots_it_was_given(
    a: frozenset[Dot], b: frozenset[Dot], dot: Dot
) -> None:
    first, second = Context().add(a), Context().add(sorted(b))
    assert covered_dots(first) == a and first.invalid_reason() is None
    assert first.merge(second) == second.merge(first) == Context().add(a | b).merge(first)
    assert covered_dots(first.merge(second)) == a | b
    assert first.includes(second) == (b <= a)
    assert covered_dots(first.without(dot)) == a - {dot}
    assert (
        covered_dots(first.intersection(second)) == a & b
        and first.intersection(second).invalid_reason() is None
    )
    message = Digest(b"root", first, settled=True)
    assert decode(encode(message)) == message


def history(rng: random.Random, writes: int) -> list[Record]:
    """Records of one key, each written with the context of a random subset of the earlier ones."""
    records: list[Record] = []
    for n in range(writes):
        subset = siblings(rng.sample(records, rng.randint(0, len(records))))
        dot = Dot(rng.choice("abc"), 1, n + 1)
        records.append(Record("k", "key", payload_hash(b"%d" % n), 1, dot, read_context(subset)))
    return records


@given(st.integers(0, 8), st.randoms(use_true_random=False))
def test_siblings_do_not_depend_on_order_grouping_or_repetition(writes: int, rng: random.Random) -> None:
    records = history(rng, writes)
    a, b, c = (rng.sample(records, rng.randint(0, len(records))) for _ in range(3))
    expected = siblings((*a, *b, *c))
    assert (
        siblings((*siblings((*a, *b)), *c))
        == expected
        == siblings((*siblings((*c, *a)), *siblings((*b, *a))))
    )
    for record in (*a, *b, *c):  # a record is dropped only if another one covers it
        assert record in expected or any(other.covers(record) for other in (*a, *b, *c))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        encode(Heads(tuple(history(random.Random(1), 3))))[:-1],
        encode(Want((Dot("a", 1, 1),) * 257)),
        encode(Digest(b"", Context({("a", 1): (5, 2)}), True)),
        encode(Digest(b"", Context({("a", 1): (1, 2, 3, 4)}), True)),
        encode(Heads((Record("k", "key", b"short", 1, Dot("a", 1, 1), Context()),))),
        encode(Heads((Record("k", "a\nb", payload_hash(b""), 0, Dot("a", 1, 1), Context()),))),
        encode(
            Heads((Record("k", "key", payload_hash(b""), 0, Dot("a", 1, 1), Context({("a", 1): (1, 1)})),))
        ),
    ],
)
def test_a_malformed_message_is_refused_with_a_reason_of_one_line(body: bytes) -> None:
    with pytest.raises(ValueError) as error:
        decode(body)
    assert "\n" not in str(error.value)
