"""A team's TOML file: parsing, export, and the edits since its export. docs/routes.md.

The `base` in a file records what its author saw: the context of the plan and the team's routes in it.
"""

from __future__ import annotations

import base64
import math
import tomllib
import zlib
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Any

import msgspec

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.routes.changes import DELETED, EDITS_MAX, NAME_MAX, Change, Edit
from cloverkeel.fleet.routes.fields import FIELDS, TARGET_SELECTORS, canonical, canonical_or_fault
from cloverkeel.fleet.routes.interface import View

FILE_MAX = 256 * 1024  # bytes
BASE_MAX = 4 * 1024 * 1024  # bytes of a base, decompressed
DEPTH_MAX = 8  # nesting of lists and maps in a value
FAULTS_MAX = 20  # reported for one file
OWNER = "owner"
Fields = dict[str, Any]


class Base(msgspec.Struct, frozen=True, array_like=True):
    """What the author of a file saw. `routes`: the fields of the team's routes by name, with the owner."""

    context: Context
    routes: dict[str, Fields]


@dataclass(slots=True, frozen=True)
class TeamFile:
    """A parsed file. `routes`: the fields of each route as written; `base`: None in a new file."""

    team: str
    routes: Mapping[str, Fields]
    base: Base | None = None


class FileError(ValueError):
    """The file is not a valid team file; the message has a line for each fault."""

    def __init__(self, faults: list[str]) -> None:
        more = [f"and {len(faults) - FAULTS_MAX} more"] if len(faults) > FAULTS_MAX else []
        super().__init__("\n".join([*faults[:FAULTS_MAX], *more]))


_BASE: msgspec.msgpack.Decoder[Base] = msgspec.msgpack.Decoder(Base)


def parse(data: bytes) -> TeamFile:
    """Parse and check a team's file. Raises FileError."""
    if len(data) > FILE_MAX:
        raise FileError([f"the file has {len(data)} bytes, over the limit of {FILE_MAX}"])
    try:
        top = tomllib.loads(data.decode())
    except UnicodeDecodeError as error:
        raise FileError([f"not UTF-8 at byte {error.start}"]) from None
    except tomllib.TOMLDecodeError as error:
        raise FileError([f"not TOML: {error}"]) from None
    except (RecursionError, ValueError) as error:  # ValueError: a number with thousands of digits
        raise FileError([f"not TOML: {type(error).__name__}: {error}"]) from None
    faults = [
        f"{key!r:.40} is unknown; a file has team, base and route"
        for key in top.keys() - {"team", "base", "route"}
    ]
    team, routes = top.get("team"), top.get("route", {})
    if (why := name_fault(team)) is not None:
        faults.append(f"team: {why}")
    base = None
    if "base" in top:
        try:
            base = unpack_base(top["base"])
        except ValueError as error:
            faults.append(f"base: {error}")
    if not isinstance(routes, dict):
        raise FileError([*faults, "route is not a table: name each route, as [route.NAME]"])
    for name, fields in routes.items():
        faults += _route_faults(name, fields, base.routes.get(name, {}) if base is not None else {})
    if faults:
        raise FileError(faults)
    return TeamFile(str(team), routes, base)


def name_fault(name: object) -> str | None:
    """Why this is not a valid name of a team, route or field, or None."""
    if isinstance(name, str) and 0 < len(name) <= NAME_MAX and name.isprintable():
        return None
    return f"a name has 1 to {NAME_MAX} printable characters"


def _route_faults(name: str, fields: object, before: Fields) -> list[str]:
    where = f"route {name!r:.140}"
    if (why := name_fault(name)) is not None:
        return [f"{where}: {why}"]
    if not isinstance(fields, dict):
        return [f"{where} is not a table of fields"]
    faults = []
    for key, value in fields.items():
        why = name_fault(key) or value_fault(value) or _field_fault(key, value, before)
        if key == DELETED:
            why = "to delete a route, leave it out of a file whose base has it"
        if why:
            faults.append(f"{where}: {key!r:.140}: {why}")
    return faults


def _field_fault(key: str, value: Any, before: Fields) -> str:
    """Why a field cannot have the value, or "".

    An unknown field must have the value of the base: then a later version wrote it, and it is not a typing
    error.
    """
    if key in before and toml_equal(before[key], value):
        return ""
    if key not in FIELDS:
        return f"unknown field; a route has {', '.join(name for name in FIELDS if name != DELETED)}"
    _, why = canonical_or_fault(key, value)
    if not why and key == "targets":
        old = before.get(key) or []
        for target in value:
            unknown = [each for each in target if each not in (*TARGET_SELECTORS, "share")]
            if unknown and target not in old:
                return f"a target has {', '.join(TARGET_SELECTORS)} and share, not {unknown[0]!r:.40}"
    return why


def value_fault(value: object, depth: int = 0) -> str | None:
    """Why a change cannot hold this value, or None."""
    if depth > DEPTH_MAX:
        return f"nested over {DEPTH_MAX} deep"
    if isinstance(value, bool | str):
        return None
    if isinstance(value, int):
        return None if abs(value) < 2**63 else "a number over 63 bits"
    if isinstance(value, float):
        return None if math.isfinite(value) else "not a finite number"
    if isinstance(value, list | dict):
        inner = value if isinstance(value, list) else value.values()
        return next((why for each in inner if (why := value_fault(each, depth + 1)) is not None), None)
    return f"a {type(value).__name__} is not a valid field value"


# Encoding of the base.


def pack_base(base: Base) -> str:
    """The base as text for a file: msgpack, compressed, in base64."""
    return base64.b64encode(zlib.compress(msgspec.msgpack.encode(base), 9)).decode()


def unpack_base(text: object) -> Base:
    """The base in the text of a file. Raises ValueError."""
    if not isinstance(text, str):
        raise ValueError("not a string; `routes show --toml` writes it")
    try:
        stream = zlib.decompressobj()
        data = stream.decompress(base64.b64decode(text, validate=True), BASE_MAX)
        if stream.unconsumed_tail or not stream.eof or stream.unused_data:
            raise ValueError("truncated or too long")
        base = _BASE.decode(data)
    except (ValueError, zlib.error, msgspec.MsgspecError, RecursionError, TypeError) as error:
        raise ValueError(f"not as `routes show --toml` wrote it: {str(error)[:120]}") from None
    if (why := base.context.invalid_reason()) is not None:
        raise ValueError(why)
    return base


def base_after_commit(file: TeamFile, change: Change) -> str:
    """The new base of a file that has been committed as this change: the author has also seen that change."""
    context = change.context.add((change.dot,))
    return pack_base(Base(context, {name: _with_owner(file, name) for name in file.routes}))


# The edits in a file.


def difference(file: TeamFile) -> tuple[Edit, ...]:
    """The edits that turn a file's base into the file.

    A route that is only in the base is deleted, a removed field is set to null, and a new route names its
    owner. Raises FileError if there are more than EDITS_MAX edits.
    """
    before = file.base.routes if file.base is not None else {}
    edits = []
    for name in sorted(file.routes):
        old, new = before.get(name, {}), _with_owner(file, name)
        for key in sorted(new.keys() | old.keys()):
            if (
                key not in old
                or key not in new
                or not toml_equal(_canonical_or_raw(key, old[key]), _canonical_or_raw(key, new[key]))
            ):
                edits.append(Edit(name, key, _canonical_or_raw(key, new[key]) if key in new else None))
    edits += [Edit(name, DELETED, True) for name in sorted(before.keys() - file.routes.keys())]
    if len(edits) > EDITS_MAX:
        raise FileError([f"{len(edits)} fields differ, over {EDITS_MAX} for one change: apply it in parts"])
    return tuple(edits)


def _canonical_or_raw(key: str, value: Any) -> Any:
    """The canonical form, or the value itself if it is invalid here: another version may have written the
    base."""
    try:
        return canonical(key, value)
    except ValueError:
        return value


def _with_owner(file: TeamFile, name: str) -> Fields:
    """A route's fields with an owner: by default that of the base, or the file's team for a new route."""
    before = file.base.routes.get(name, {}) if file.base is not None else {}
    return {OWNER: before.get(OWNER, file.team), **file.routes[name]}


def toml_equal(a: object, b: object) -> bool:
    """Whether two values are equal in TOML, where 1 and true differ."""
    if isinstance(a, dict) and isinstance(b, dict):
        return a.keys() == b.keys() and all(toml_equal(value, b[key]) for key, value in a.items())
    if isinstance(a, list) and isinstance(b, list):
        return len(a) == len(b) and all(map(toml_equal, a, b))
    return isinstance(a, bool) == isinstance(b, bool) and a == b


def outdated_routes(file: TeamFile, view: View) -> list[str]:
    """The file's routes that differ in the plan in service, or are not in it."""
    current = export_base(file.team, view).routes

    def forms(fields: Fields) -> Fields:
        return {key: _canonical_or_raw(key, value) for key, value in fields.items()}

    return [
        name
        for name in sorted(file.routes)
        if name not in current or not toml_equal(forms(current[name]), forms(_with_owner(file, name)))
    ]


# Export.


def export_base(team: str, view: View) -> Base:
    """A team's routes as a file can hold them. Fields that TOML cannot hold are left out, and stay in the
    plan."""
    routes: dict[str, Fields] = {}
    for name, route in view.routes.items():
        if route.owner == team:
            fields = {key: to_plain(value) for key, value in {**route.unknown_fields, **route.values}.items()}
            routes[name] = {key: value for key, value in fields.items() if value_fault(value) is None}
            routes[name][OWNER] = team
    return Base(view.context, routes)


def export(team: str, view: View, notes: Iterable[str] = ()) -> str:
    """The TOML text of a team's file, with `notes` as comments at the top."""
    import tomli_w  # only needed here

    base = export_base(team, view)
    shown = {
        name: {key: value for key, value in fields.items() if (key, value) != (OWNER, team)}
        for name, fields in sorted(base.routes.items())
    }
    comments = "".join(f"# {''.join(c if c.isprintable() else ' ' for c in note)}\n" for note in notes)
    top = tomli_w.dumps({"team": team, "base": pack_base(base)})
    return f"{comments}{top}\n{tomli_w.dumps({'route': shown})}" if shown else comments + top


def to_plain(value: Any) -> Any:
    """A canonical value as plain lists and dicts."""
    if isinstance(value, Mapping):
        return {key: to_plain(each) for key, each in value.items()}
    if isinstance(value, AbstractSet):
        return sorted(map(to_plain, value))
    if isinstance(value, list | tuple):
        return [to_plain(each) for each in value]
    return value


def replace_base(text: str, base: str) -> str:
    """A file's text with its base replaced or added, otherwise unchanged. Raises ValueError if it fails."""
    before = tomllib.loads(text)
    lines = text.splitlines(keepends=True)
    for index, line in enumerate(lines):
        key = line.partition("=")[0].strip()
        if key == "base" and "base" in before:
            lines[index] = f'base = "{base}"\n'
            break
        if key == "team" and "base" not in before:
            lines[index] = line.rstrip("\r\n") + f'\nbase = "{base}"\n'
            break
    updated = "".join(lines)
    if tomllib.loads(updated) != before | {"base": base}:
        raise ValueError("cannot find the place of its base")
    return updated
