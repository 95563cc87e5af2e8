"""The fields of a route: valid values and their canonical form. docs/routes.md."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from cloverkeel.fleet.routes.changes import DELETED, NAME_MAX

NAMES_MAX = 1_024  # names in one list
TARGETS_MAX, TRANSFORMS_MAX, BEFORE_MAX = 64, 32, 64  # items in the list of one route
NOTE_MAX, PATH_MAX = 4_096, 1_024  # characters
INTEGER_MAX = 2**31 - 1  # of attempts, deadline_ms and limit
UNITS_PER_PERCENT = 1_000  # share units are integers, so that sums are exact in any order
# Keys of a target that select hosts: a host must match at least one name under each key that is present.
TARGET_SELECTORS = ("types", "groups", "zones", "labels")

_ENCODER = msgspec.msgpack.Encoder(order="sorted")


def canonical_bytes(value: Any) -> bytes:
    """The canonical encoding of a plain value: equal maps give equal bytes, whatever their order."""
    return _ENCODER.encode(value)


def canonical(field: str, value: Any) -> Any:
    """`value` in the form in which equal values compare equal. None means that the field is not set.

    Lists that stand for sets are sorted, without duplicates. The value of an unknown field is returned as it
    is. Raises ValueError if the field cannot have the value.
    """
    if value is None and field != "owner":
        return None
    known = FIELDS.get(field)
    return value if known is None else known(value)


def canonical_or_fault(field: str, value: Any) -> tuple[Any, str]:
    """The canonical form and "", or the value as it is and the reason why the field cannot have it."""
    try:
        return canonical(field, value), ""
    except ValueError as error:
        return value, str(error)


def share_units(target: Mapping[str, Any]) -> int:
    """The share of a canonical target, in share units (thousandths of a percent)."""
    return int(round(target["share"] * UNITS_PER_PERCENT))


def route_hash(name: str, values: Mapping[str, Any], others: Mapping[str, Any]) -> int:
    """The 128-bit hash of one route."""
    return int.from_bytes(
        hashlib.blake2b(canonical_bytes((name, values, others)), digest_size=16).digest(), "big"
    )


def plan_hash(total: int) -> str:
    """The hash that names a plan: 32 hex digits, from the sum of its routes' hashes modulo 2**128."""
    return hashlib.blake2b(total.to_bytes(16, "big"), digest_size=16).hexdigest()


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= NAME_MAX or not value.isprintable():
        raise ValueError(f"a name is 1 to {NAME_MAX} printable characters, not {value!r:.40}")
    return value


def _list(value: Any, max_items: int) -> list[Any]:
    if not isinstance(value, list | tuple) or len(value) > max_items:
        raise ValueError(f"a list of up to {max_items} items is required, not {value!r:.40}")
    return list(value)


def _names(value: Any) -> list[str] | None:
    if type(value) is list and len(value) == 1:  # fast path: most lists have one name
        return [_name(value[0])]
    return sorted({_name(each) for each in _list(value, NAMES_MAX)}) or None


def _before(value: Any) -> list[str] | None:
    return sorted({_name(each) for each in _list(value, BEFORE_MAX)}) or None


def _groups(value: Any) -> list[str] | None:
    items = _list(value, NAMES_MAX)
    return _names([str(each) if type(each) is int else each for each in items])


def _path(value: Any) -> str | None:
    if not isinstance(value, str) or not value.startswith("/") or len(value) > PATH_MAX:
        raise ValueError(f"a path begins with / and has up to {PATH_MAX} characters, not {value!r:.40}")
    if not value.isprintable() or any(mark in value for mark in "?# "):
        raise ValueError(f"a path has no query, fragment or space: {value!r:.40}")
    segments = value.rstrip("/").split("/")[1:]
    if any(segment in ("", ".", "..") for segment in segments):
        raise ValueError(f"a path has no empty segment, . or ..: {value!r:.40}")
    return "/" + "/".join(segments) if segments else None


def _share(value: Any) -> int | float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 100:
        raise ValueError(f"a share is 0 to 100 percent, not {value!r:.40}")
    units = int(round(value * UNITS_PER_PERCENT))
    if abs(units - value * UNITS_PER_PERCENT) > 1e-6:
        raise ValueError(f"a share has up to three decimals, not {value!r:.40}")
    return units // UNITS_PER_PERCENT if units % UNITS_PER_PERCENT == 0 else units / UNITS_PER_PERCENT


def _target(value: Any) -> dict[str, Any]:
    if not isinstance(value, Mapping) or not all(isinstance(key, str) for key in value):
        raise ValueError(f"a target is a map of {', '.join(TARGET_SELECTORS)} and share, not {value!r:.40}")
    target = {}
    for key, each in value.items():
        if key not in TARGET_SELECTORS:
            target[key] = each
        elif each is not None and (names := _groups(each) if key == "groups" else _names(each)):
            target[key] = names
    target["share"] = _share(value.get("share", 100))
    return target


def _targets(value: Any) -> list[dict[str, Any]] | None:
    items = [_target(each) for each in _list(value, TARGETS_MAX)]
    return sorted(items, key=canonical_bytes) if len(items) > 1 else items or None


def _positive_int(value: Any) -> int:
    if type(value) is not int or not 1 <= value <= INTEGER_MAX:
        raise ValueError(f"a whole number from 1 to {INTEGER_MAX} is required, not {value!r:.40}")
    return value


def _transforms(value: Any) -> list[str]:
    chain = [_name(each) for each in _list(value, TRANSFORMS_MAX)]
    if len(set(chain)) < len(chain):
        raise ValueError("a transform appears twice in the chain")
    return chain


def _note(value: Any) -> str | None:
    if not isinstance(value, str) or len(value) > NOTE_MAX:
        raise ValueError(f"a note is a string of up to {NOTE_MAX} characters, not {value!r:.40}")
    return value or None


def _deleted(value: Any) -> bool:
    if type(value) is not bool:
        raise ValueError(f"true or false is required, not {value!r:.40}")
    return value


# Checks a value and returns its canonical form, by field; raises ValueError.
FIELDS: Mapping[str, Callable[[Any], Any]] = {
    "classes": _names,
    "callers": _names,
    "zones": _names,
    "path": _path,
    "targets": _targets,
    "attempts": _positive_int,
    "deadline_ms": _positive_int,
    "limit": _positive_int,
    "transforms": _transforms,
    "before": _before,
    "owner": _name,
    "note": _note,
    DELETED: _deleted,
}
