"""Encoding and decoding of a change as a ledger record."""

from __future__ import annotations

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import Accept, Change, Edit, decode, encode


def test_a_change_with_a_context_of_several_incarnations_round_trips() -> None:
    context = Context().add((Dot("m1", 7, 1), Dot("m1", 9, 3), Dot("m0", 2, 1)))
    edits = (Edit("r", "targets", [{"groups": ["1"], "share": 2.5}]), Edit("r", "note", None))
    accepts = (Accept("q", Dot("m1", 9, 3)),)
    change = Change(dot=Dot("m0", 2, 2), context=context, team="t", edits=edits, accepts=accepts)
    assert decode(encode(change)) == change
