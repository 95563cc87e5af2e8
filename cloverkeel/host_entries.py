"""Parses lists of hosts from the list service into numbered entries for the decision module."""

from __future__ import annotations

from typing import Any

from caperdrift.interface import ListedServer, ServerStatus

from cloverkeel.config import Address, Names, parse_address, stable_id
from cloverkeel.http1 import log

STATUSES = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}
UNCONFIGURED_ID_BASE = 1 << 32  # above all numbers of configured names
NO_LABELS: frozenset[int] = frozenset()


class HostEntry:
    """One host of a list, as the decision module and the connection pools need it."""

    __slots__ = ("address", "listed_server", "name", "raw")

    def __init__(self, name: str, address: Address, listed: ListedServer, raw: dict[str, Any]) -> None:
        self.name, self.address, self.listed_server = name, address, listed
        self.raw = raw  # the JSON object from the list service, for the state store


def parse_entry(raw: dict[str, Any], names: Names) -> HostEntry:
    """Parse one JSON object of a list. Raises KeyError, TypeError, ValueError, AttributeError or
    OverflowError for a malformed one."""
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise ValueError("the entry has no name")
    zone, kind, group = raw.get("zone", ""), raw.get("type", ""), raw.get("group", 0)
    return HostEntry(
        name,
        parse_address(raw["address"], "address"),
        ListedServer(
            server=stable_id(name, 4),
            status=STATUSES[raw["status"]],
            weight=_weight(raw.get("weight", 1.0)),
            zone=name_id(zone, names.zones),
            group=group if isinstance(group, int) else stable_id(str(group), 4),
            kind=name_id(kind, names.kinds),
            started_us=int(raw.get("since_ms") or 0) * 1000,
            labels=_labels(raw["labels"]) if raw.get("labels") else NO_LABELS,
        ),
        raw,
    )


def _gone_entry(raw: object) -> HostEntry | None:
    """For a malformed entry of a draining or deleted host: an entry that removes the host, so that it gets no
    new requests. None if not even the name and the status are readable."""
    name, status = (raw.get("name"), raw.get("status")) if isinstance(raw, dict) else (None, None)
    if not isinstance(name, str) or not name or status not in ("DRAINING", "DELETED"):
        return None
    try:
        listed = ListedServer(server=stable_id(name, 4), status=ServerStatus.GONE)
    except UnicodeEncodeError:
        return None  # a lone surrogate: no valid entry can have had this name
    return HostEntry(name, ("", 0), listed, {"name": name, "address": "0.0.0.0:0", "status": "DELETED"})


def _weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < 1e9:
        raise ValueError("the weight is out of range")
    return weight


def name_id(name: object, configured: dict[str, int]) -> int:
    """The number of a configured name, or a hash above all such numbers for an unknown one. The hash is the
    same at every gateway and doesn't change when a reload adds names."""
    number = configured.get(str(name))
    return number if number is not None else UNCONFIGURED_ID_BASE + stable_id(str(name), 4)


def group_ids(name: str) -> tuple[int, ...]:
    """The numbers that a group of this name can have: lists give groups as integers or as strings."""
    number = stable_id(name, 4)
    is_integer = name.isascii() and name.isdigit() and str(int(name)) == name
    return (int(name), number) if is_integer else (number,)


def label_id(name: str) -> int:
    """The number of a host label."""
    return stable_id(name, 8)


def _labels(value: object) -> frozenset[int]:
    if not isinstance(value, list) or not all(isinstance(label, str) for label in value):
        raise ValueError("labels is not a list of strings")
    return frozenset(map(label_id, value))


def parse_list(raw: object, names: Names) -> tuple[int, bool, list[HostEntry]]:
    """Parse a list from the list service: its index, whether it is a full list, and its usable entries.

    Raises ValueError, KeyError or TypeError for something that is not a list of hosts.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints", []), list):
        raise ValueError("not a list of hosts")
    entries: dict[int, HostEntry] = {}
    for item in raw.get("endpoints", []):
        try:
            entry = parse_entry(item, names)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            gone = _gone_entry(item)
            handling = "skipped" if gone is None else "treated as removed"
            log(f"malformed entry in the list of hosts: {handling} ({error!r}): {str(item)[:200]}")
            if gone is None:
                continue
            entry = gone
        other = entries.get(entry.listed_server.server)
        if other is not None and other.name != entry.name:
            log(f"host {entry.name} skipped: its number, a hash of the name, equals that of {other.name}")
            continue
        entries[entry.listed_server.server] = entry
    return int(raw["index"]), bool(raw.get("snapshot", False)), list(entries.values())
