"""A team's TOML file: reported faults, the edits in it, and exports without edits."""

from __future__ import annotations

import base64
import zlib
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import DELETED, Change, Edit, decode, encode
from cloverkeel.fleet.routes.files import (
    BASE_MAX,
    FileError,
    base_after_commit,
    difference,
    export,
    parse,
    replace_base,
)
from cloverkeel.fleet.routes.interface import RouteView, View

SEEN = Context().add((Dot("g1", 7, 1), Dot("g2", 9, 4)))
PAY: dict[str, Any] = {
    "classes": ("transfer",), "path": "/transfer/eu", "targets": ({"groups": ("3",), "share": 5},),
    "note": 'a "canary"\nof new hosts', "owner": "payments",
}  # fmt: skip


def view(**routes: dict[str, Any]) -> View:
    made = {name: RouteView(name, str(values["owner"]), values, {}) for name, values in routes.items()}
    return View("0" * 32, made, {}, (), (), (), SEEN)


def test_an_export_has_no_edits_and_an_edited_export_only_those_made() -> None:
    text = export("payments", view(pay=PAY, other=PAY | {"owner": "cards"}), ["conflict\x00 one", "two"])
    assert text.startswith("# conflict  one\n# two\nteam = ") and "other" not in text
    file = parse(text.encode())
    assert file.team == "payments" and file.base is not None and file.base.context == SEEN
    assert difference(file) == ()

    edited = text.replace("/transfer/eu", "/transfer/de").replace("[route.pay]", "[route.pay]\nlimit = 7")
    edited = "\n".join(line for line in edited.splitlines() if not line.startswith("note"))
    assert difference(parse(edited.encode())) == (
        Edit("pay", "limit", 7), Edit("pay", "note", None), Edit("pay", "path", "/transfer/de"),
    )  # fmt: skip
    gone = text[: text.index("[route.pay]")]
    assert difference(parse(gone.encode())) == (Edit("pay", DELETED, True),)
    others = text.replace('team = "payments"', 'team = "cards"').replace("/eu", "/at")
    assert difference(parse(others.encode())) == (Edit("pay", "path", "/transfer/at"),)  # no new owner


def test_a_new_file_names_its_owner_and_is_based_on_its_own_change_once_committed() -> None:
    text = '# mine\nteam = "cards"  # us\n[route.a]\nlimit = 1\n[route.b]\nowner = "x"\n'
    file = parse(text.encode())
    edits = difference(file)
    assert edits == (
        Edit("a", "limit", 1), Edit("a", "owner", "cards"), Edit("b", "owner", "x"),
    )  # fmt: skip
    change = Change(dot=Dot("g1", 3, 1), context=Context(), team="cards", edits=edits)
    again = replace_base(text, base_after_commit(file, change))
    assert again.startswith('# mine\nteam = "cards"  # us\nbase = "') and again.endswith(
        text[text.index("[") :]
    )
    assert difference(parse(again.encode())) == ()
    later = parse(again.replace("limit = 1", "limit = 2").encode())
    assert difference(later) == (Edit("a", "limit", 2),)
    assert later.base is not None and later.base.context.covers(change.dot)
    second = Change(dot=Dot("g1", 3, 2), context=later.base.context, team="cards", edits=difference(later))
    assert decode(encode(second)) == second
    assert replace_base(again, "new") == again.replace(base_after_commit(file, change), "new")


@pytest.mark.parametrize(
    ("text", "lines"),
    [
        (b"\xff", ["not UTF-8 at byte 0"]),
        (b"team = ", ["not TOML: Invalid value (at end of document)"]),
        (b"x = " + b"[" * 5_000, ["not TOML: RecursionError"]),
        (b"", ["team: a name has"]),
        (b'team = "t"\nroutes = 1', ["'routes' is unknown"]),
        (b'team = "t"\nroute = 1', ["route is not a table"]),
        (b'team = "t"\nroute.a = 1', ["route 'a' is not a table of fields"]),
        (b'team = "t"\nroute.a.x = 2024-01-01\nroute.b.y = inf', ["route 'a': 'x': a", "route 'b': 'y'"]),
        (b'team = "t"\nroute.a.x = 9223372036854775808', ["route 'a': 'x': a number over 63 bits"]),
        (b'team = "t"\nroute.a.deleted = true', ["route 'a': 'deleted': to delete a route, leave"]),
        (b'team = "t"\nroute."a\\n".x = 1', ["route 'a\\n': a name has"]),
        (b'team = "t"\nbase = 7', ["base: not a string"]),
        (b'team = "t"\nbase = "%%%"', ["base: not as `routes show --toml` wrote it"]),
        (b'team = "t"\n#' + b"x" * 256 * 1024, ["the file has 262156 bytes"]),
    ],
)  # fmt: skip
def test_each_fault_is_one_line_that_names_its_position(text: bytes, lines: list[str]) -> None:
    with pytest.raises(FileError) as found:
        parse(text)
    message_lines = str(found.value).split("\n")
    assert len(message_lines) == len(lines)
    assert all(one.startswith(line) for one, line in zip(message_lines, lines, strict=True)), message_lines


def encoded_base(data: bytes) -> str:
    return base64.b64encode(zlib.compress(data)).decode()


@pytest.mark.parametrize(
    "base",
    [
        encoded_base(bytes(BASE_MAX + 1)),
        encoded_base(b"\xc1"),
        encoded_base(msgspec.msgpack.encode([[{}], {}]))[:-8],
        encoded_base(msgspec.msgpack.encode([[{"a": [2, 1]}], {}])),
        encoded_base(msgspec.msgpack.encode([Context({("m", 1): (3, 2)}), {}])),
    ],
)
def test_an_invalid_base_is_refused_with_one_line(base: str) -> None:
    with pytest.raises(FileError, match=r"^base: [^\n]+$"):
        parse(f'team = "t"\nbase = "{base}"'.encode())


def test_a_file_that_changes_too_much_is_refused() -> None:
    many = "\n".join(f"route.r{n}.limit = 1" for n in range(2_049))
    with pytest.raises(FileError, match="4098 fields differ, over 4096 for one change"):
        difference(parse(f'team = "t"\n{many}'.encode()))


leaf = st.booleans() | st.integers(-(2**63) + 1, 2**63 - 1) | st.text() | st.floats(allow_nan=False)
values = st.recursive(leaf, lambda v: st.lists(v, max_size=3) | st.dictionaries(st.text(), v, max_size=3))
routes = st.dictionaries(st.text(), st.dictionaries(st.text(), values, max_size=4), max_size=3)


@given(routes)
def test_the_export_of_any_plan_has_no_edits(found: dict[str, Any]) -> None:
    named = {
        name: {key: value for key, value in fields.items() if key not in (DELETED, "owner")}
        for name, fields in found.items()
    }
    plan = view(**{})
    made = {name: RouteView(name, "t", fields, {}) for name, fields in named.items()}
    text = export("t", View(plan.hash, made, {}, (), (), (), SEEN))
    try:
        file = parse(text.encode())
    except FileError:
        assert any(not name or not name.isprintable() for each in (named, *named.values()) for name in each)
        return
    assert difference(file) == ()


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_input_parses_or_raises_file_error(data: bytes) -> None:
    try:
        parse(data)
    except FileError as error:
        assert str(error)
