"""A change: what a team commits at once, as one record of the ledger. docs/routes.md."""

from __future__ import annotations

from math import isfinite
from typing import Any

import msgspec

from cloverkeel.fleet.ledger.dots import COUNTER_MAX, Context, Dot
from cloverkeel.fleet.ledger.records import MEMBER_MAX, PAYLOAD_MAX

KIND = "routes.change"
DELETED = "deleted"  # the register of a route whose value True takes it away
VERSION = 1
NAME_MAX = 128  # characters of a route's, a field's and a team's name
EDITS_MAX = 4_096  # of one change
DEPTH_MAX = 16  # lists and maps within each other, of a value


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """A field of a route is to have this value: null, bool, int, float, str, lists and maps of them."""

    route: str
    field: str
    value: Any


class Accept(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a route lets another team's change of it count."""

    route: str
    dot: Dot


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """`context`: every dot that the plan which it was edited against had taken in."""

    dot: Dot
    context: Context
    team: str
    edits: tuple[Edit, ...] = ()
    accepts: tuple[Accept, ...] = ()
    note: str = ""
    version: int = VERSION


_DECODER: msgspec.msgpack.Decoder[Change] = msgspec.msgpack.Decoder(Change)
_ENCODER = msgspec.msgpack.Encoder()  # not sorted: a context's keys are no texts


def key_of(dot: Dot) -> str:
    """Its key in the ledger."""
    return f"{dot.member}/{dot.incarnation:x}/{dot.counter}"


def encode(change: Change) -> bytes:
    """Raises ValueError where it is no change or is larger than a payload may be."""
    if (why := fault(change)) is not None:
        raise ValueError(why)
    payload = _ENCODER.encode(change)
    if len(payload) > PAYLOAD_MAX:
        raise ValueError(f"the change has {len(payload)} bytes, over {PAYLOAD_MAX}: commit it in parts")
    return payload


def decode(payload: bytes) -> Change:
    """Raises ValueError. What a later version added to a change is passed over: the ledger keeps it."""
    try:
        change = _DECODER.decode(payload)
    except (msgspec.MsgspecError, RecursionError, TypeError) as error:
        raise ValueError(f"no change: {error}") from None
    if (why := fault(change)) is not None:
        raise ValueError(why)
    return change


def fault(change: Change) -> str | None:
    """Why this is no change, or None."""
    dot = change.dot
    if not 0 < len(dot.member) <= MEMBER_MAX or not 1 <= dot.counter <= COUNTER_MAX or dot.incarnation < 1:
        return "the dot names no change"
    if change.context.covers(dot):
        return "the context covers the change's own dot"
    if (why := change.context.invalid_reason()) is not None:
        return why
    if not 0 < len(change.edits) + len(change.accepts) <= EDITS_MAX:
        return f"a change has 1 to {EDITS_MAX} edits"
    names = [change.team, *(a.route for a in change.accepts)]
    names += [name for edit in change.edits for name in (edit.route, edit.field)]
    for name in names:
        if not 0 < len(name) <= NAME_MAX or not name.isprintable():
            return (
                f"a team's, route's or field's name is 1 to {NAME_MAX} printable characters, not {name!r:.40}"
            )
    if len({(e.route, e.field) for e in change.edits}) < len(change.edits):
        return "a change writes one field twice"
    for edit in change.edits:
        if not _is_plain(edit.value, DEPTH_MAX):
            return f"the value of {edit.field!r} is no plain data, or over {DEPTH_MAX} deep"
    return None


def _is_plain(value: Any, deep: int) -> bool:
    """Whether every gateway can hold, encode and compare it."""
    if value is None or isinstance(value, str | bool):
        return True
    if isinstance(value, int):
        return -(2**63) <= value < 2**64
    if isinstance(value, float):
        return isfinite(value)
    if isinstance(value, list | tuple):
        return deep > 0 and all(_is_plain(each, deep - 1) for each in value)
    return (
        isinstance(value, dict)
        and deep > 0
        and all(isinstance(key, str) and _is_plain(each, deep - 1) for key, each in value.items())
    )
