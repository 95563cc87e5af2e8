"""The list of hosts in discovery's form, and the numbers that the module knows them by."""

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
UNCONFIGURED_ID_BASE = 1 << 32  # above all places in the settings
NO_LABELS: frozenset[int] = frozenset()


class HostEntry:
    """One host of a list, for the module and for the pools."""

    __slots__ = ("address", "listed_server", "name", "raw")

    def __init__(self, name: str, address: Address, listed: ListedServer, raw: dict[str, Any]) -> None:
        self.name, self.address, self.listed_server = name, address, listed
        self.raw = raw  # as discovery gave it, for the state store


def parse_entry(raw: dict[str, Any], names: Names) -> HostEntry:
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise ValueError("no name")
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
    """What an entry that cannot be used tells all the same: that this host is to get nothing new."""
    name, status = (raw.get("name"), raw.get("status")) if isinstance(raw, dict) else (None, None)
    if not isinstance(name, str) or not name or status not in ("DRAINING", "DELETED"):
        return None
    try:
        listed = ListedServer(server=stable_id(name, 4), status=ServerStatus.GONE)
    except UnicodeEncodeError:
        return None  # half a character: no list has had such a host
    return HostEntry(name, ("", 0), listed, {"name": name, "address": "0.0.0.0:0", "status": "DELETED"})


def _weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < 1e9:
        raise ValueError("weight is out of range")
    return weight


def name_id(name: object, configured: dict[str, int]) -> int:
    """The place in the settings; a name that is not there gets a number beyond them, the same everywhere and
    however many others a SIGHUP brings."""
    number = configured.get(str(name))
    return number if number is not None else UNCONFIGURED_ID_BASE + stable_id(str(name), 4)


def group_ids(name: str) -> tuple[int, ...]:
    """The numbers that a group of this name may have: lists name groups by whole numbers or by texts."""
    number = stable_id(name, 4)
    is_integer = name.isascii() and name.isdigit() and str(int(name)) == name
    return (int(name), number) if is_integer else (number,)


def label_id(name: str) -> int:
    return stable_id(name, 8)


def _labels(value: object) -> frozenset[int]:
    if not isinstance(value, list) or not all(isinstance(label, str) for label in value):
        raise ValueError("labels is no list of texts")
    return frozenset(map(label_id, value))


def parse_list(raw: object, names: Names) -> tuple[int, bool, list[HostEntry]]:
    """A list in discovery's form: its version, whether it is whole, and the entries that can be used."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints", []), list):
        raise ValueError("not a list of hosts")
    entries: dict[int, HostEntry] = {}
    for item in raw.get("endpoints", []):
        try:
            entry = parse_entry(item, names)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            gone = _gone_entry(item)
            handling = "skipped" if gone is None else "taken for one that is gone"
            log(f"an entry of the list of hosts is {handling} ({error!r}): {str(item)[:200]}")
            if gone is None:
                continue
            entry = gone
        other = entries.get(entry.listed_server.server)
        if other is not None and other.name != entry.name:
            log(f"{entry.name} is skipped: its number is that of {other.name}")
            continue
        entries[entry.listed_server.server] = entry
    return int(raw["index"]), bool(raw.get("snapshot", False)), list(entries.values())
