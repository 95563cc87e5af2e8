"""A change: the edits that a team commits together, stored as one ledger record. docs/routes.md."""

from __future__ import annotations

from math import isfinite
from typing import Any

import msgspec

from cloverkeel.fleet.ledger.dots import COUNTER_MAX, Context, Dot
from cloverkeel.fleet.ledger.records import MEMBER_MAX, PAYLOAD_MAX

KIND = "routes.change"
DELETED = "deleted"  # the field of a route that deletes it when set to True
VERSION = 1
NAME_MAX = 128  # characters in the name of a route, field or team
EDITS_MAX = 4_096  # edits and acceptances in one change
DEPTH_MAX = 16  # nesting of lists and maps in a value


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """Sets a field of a route to a value: null, bool, int, float, str, or lists and maps of these."""

    route: str
    field: str
    value: Any


class Accept(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a route accepts another team's change of it, named by its dot."""

    route: str
    dot: Dot


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One atomic set of edits and acceptances by a team.

    `context`: all dots that were merged into the plan that the team edited.
    """

    dot: Dot
    context: Context
    team: str
    edits: tuple[Edit, ...] = ()
    accepts: tuple[Accept, ...] = ()
    note: str = ""
    version: int = VERSION


_DECODER: msgspec.msgpack.Decoder[Change] = msgspec.msgpack.Decoder(Change)
_ENCODER = msgspec.msgpack.Encoder()  # not sorted: the keys of a context are not strings


def key_of(dot: Dot) -> str:
    """The ledger key of the change with this dot."""
    return f"{dot.member}/{dot.incarnation:x}/{dot.counter}"


def encode(change: Change) -> bytes:
    """The ledger payload of a change. Raises ValueError if it is invalid or over the payload limit."""
    if (why := fault(change)) is not None:
        raise ValueError(why)
    payload = _ENCODER.encode(change)
    if len(payload) > PAYLOAD_MAX:
        raise ValueError(
            f"the change has {len(payload)} bytes, over the limit of {PAYLOAD_MAX}: commit it in parts"
        )
    return payload


def decode(payload: bytes) -> Change:
    """The change in a ledger payload. Raises ValueError if there is none.

    Fields added by later versions are ignored here; the ledger keeps them.
    """
    try:
        change = _DECODER.decode(payload)
    except (msgspec.MsgspecError, RecursionError, TypeError) as error:
        raise ValueError(f"not a valid change: {error}") from None
    if (why := fault(change)) is not None:
        raise ValueError(why)
    return change


def fault(change: Change) -> str | None:
    """Why this change is invalid, or None."""
    dot = change.dot
    if not 0 < len(dot.member) <= MEMBER_MAX or not 1 <= dot.counter <= COUNTER_MAX or dot.incarnation < 1:
        return "the dot is invalid: its member, incarnation or counter is out of range"
    if change.context.covers(dot):
        return "the context covers the change's own dot"
    if (why := change.context.invalid_reason()) is not None:
        return why
    if not 0 < len(change.edits) + len(change.accepts) <= EDITS_MAX:
        return f"a change has 1 to {EDITS_MAX} edits and acceptances"
    names = [change.team, *(a.route for a in change.accepts)]
    names += [name for edit in change.edits for name in (edit.route, edit.field)]
    for name in names:
        if not 0 < len(name) <= NAME_MAX or not name.isprintable():
            return f"a team, route or field name has 1 to {NAME_MAX} printable characters, not {name!r:.40}"
    if len({(e.route, e.field) for e in change.edits}) < len(change.edits):
        return "a change writes the same field twice"
    for edit in change.edits:
        if not _is_plain(edit.value, DEPTH_MAX):
            return f"the value of {edit.field!r} is not plain data, or is nested over {DEPTH_MAX} deep"
    return None


def _is_plain(value: Any, depth: int) -> bool:
    """Whether every gateway can store, encode and compare the value, nested at most `deep` levels."""
    if value is None or isinstance(value, str | bool):
        return True
    if isinstance(value, int):
        return -(2**63) <= value < 2**64
    if isinstance(value, float):
        return isfinite(value)
    if isinstance(value, list | tuple):
        return depth > 0 and all(_is_plain(each, depth - 1) for each in value)
    return (
        isinstance(value, dict)
        and depth > 0
        and all(isinstance(key, str) and _is_plain(each, depth - 1) for key, each in value.items())
    )
