"""Reads the configuration file that LB_CONFIG names: settings, addresses, names, limits, known hosts."""

from __future__ import annotations

import hashlib
import json
import math
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeVar

from caperdrift.interface import Settings, Tenant
from caperdrift.wire import WireError, parse_settings
from cloverkeel.errors import ConfigError
from cloverkeel.fleet import needs

if TYPE_CHECKING:
    from cloverkeel.fleet.cluster import ClusterSettings
    from cloverkeel.fleet.duties.settings import DutySettings
    from cloverkeel.fleet.rollout.settings import RolloutSettings
    from cloverkeel.fleet.routes.settings import RoutesSettings
    from cloverkeel.transforms.settings import TransformSettings

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Names:
    """Maps configured names to the numbers that the decision module uses, in the order of the settings."""

    classes: dict[bytes, int]
    class_names: tuple[bytes, ...]  # by class number, dropped classes included
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True, frozen=True)
class StateSettings:
    """Where the state store keeps its file, how often it writes, and how old a snapshot may be."""

    directory: str  # "": the state store is off
    snapshot_s: float = 5.0  # between two snapshots
    max_age_s: float = 60.0  # of a snapshot that is restored


NO_STATE = StateSettings("")


@dataclass(slots=True, frozen=True)
class Config:
    """A parsed configuration file."""

    name: str  # of this gateway
    listen: Address  # for clients
    discovery: Address  # of the list service
    seed: int  # of the decision module's random numbers
    sockets: int  # file descriptors that the process may use
    memory_mb: float
    known: dict[str, Any]  # list of hosts to start with, in the list service's JSON form
    settings: Settings
    names: Names
    operator: Address | None = None  # for operators' requests; None: no operator server
    state: StateSettings = NO_STATE
    cluster: ClusterSettings | None = None  # None: not a member of a cluster
    transforms: TransformSettings | None = None  # None: no header transforms
    routes: RoutesSettings | None = None  # None: no team routes
    duties: DutySettings | None = None  # None: takes part in no duties
    rollout: RolloutSettings | None = None  # None: new hosts get their full share at once


def stable_id(text: str | bytes, size: int) -> int:
    """Hash `text` to a number of `size` bytes, the same at every gateway and after every restart."""
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(hashlib.blake2b(data, digest_size=size).digest())


# Keys required of a file that a running process reloads, by object. They are optional at start-up, where a
# gateway that runs on defaults is better than none; on a reload, defaults would replace the values in use.
REQUIRED_KEYS: dict[str, tuple[str, ...]] = {
    "": ("name", "listen", "discovery", "limits", "settings"),
    "limits": ("cores", "memory_mb", "sockets"),
    "settings": (
        "balancers", "caps", "contract", "index", "lanes", "membershipMode", "objectiveMix", "prices",
        "report", "shapes", "tenants", "zone", "zones",
    ),
    "settings.caps": ("connectTimeoutUs", "keepaliveUs", "maxAttempts", "mayCancel", "secondCopies"),
    "settings.contract": (
        "answerSlackUs", "fallUs", "mustAskInUs", "startCapacity", "stopSendingWithinUs", "tipMultiple",
        "warmAfterUs",
    ),
    "settings.lanes": (
        "name", "effect", "group", "aimUs", "giveUpUs", "value", "lateValue", "windowUs",
    ),
    "settings.tenants": ("name", "fraction"),
}  # fmt: skip
# Keys whose values must be positive finite numbers, by object.
POSITIVE_KEYS = {
    "limits": ("cores", "memory_mb", "sockets"),
    "settings.caps": ("connectTimeoutUs", "keepaliveUs", "maxAttempts"),
    "settings.lanes": ("aimUs", "giveUpUs"),
}


def check_complete(raw: object) -> None:
    """Raise ConfigError if a required key is missing or a deadline or limit is not a positive number."""
    for place, keys in REQUIRED_KEYS.items():
        found: Any = raw
        for key in filter(None, place.split(".")):
            found = found[key]  # present: checked with the object that holds it
        is_list = place in ("settings.lanes", "settings.tenants")
        if is_list and not isinstance(found, list):
            raise ConfigError(f"{place} is not a list")
        for entry in found if is_list else (found,):
            if not isinstance(entry, dict):
                raise ConfigError(f"{place or 'the configuration'} is not an object")
            for key in keys:
                if entry.get(key) is None:
                    raise ConfigError(f"{place or 'the configuration'} has no {key}")
            for key in POSITIVE_KEYS.get(place, ()):
                number = entry[key]
                is_number = isinstance(number, int | float) and not isinstance(number, bool)
                if not is_number or not 0 < number < math.inf:
                    raise ConfigError(f"{place}: {key} is not a positive number")


def merge_reloaded(old: Config, new: Config) -> Config:
    """The new configuration with the old one's numbering, which is stable for the life of the process.

    Names in both keep their numbers; new names get the next ones. A class that was removed stays in the
    settings, marked as dropped. A reload doesn't change the listening addresses, the seed, the cluster, the
    transforms, the routes and the rollout.
    """
    before, after = old.names, new.names
    ordered = before.class_names + tuple(name for name in after.class_names if name not in before.class_names)
    classes = tuple(
        new.settings.classes[after.classes[name]]
        if name in after.classes
        else replace(old.settings.classes[number], dropped=True)
        for number, name in enumerate(ordered)
    )
    tenants = _append_new(before.tenants, after.tenants)
    shares = tuple(
        new.settings.tenants[after.tenants[name]] if name in after.tenants else Tenant(0.0, 0.0)
        for name in tenants
    )
    zones = _append_new(before.zones, after.zones)
    by_number = {number: name for name, number in after.zones.items()}
    zone = zones.get(by_number.get(new.settings.zone, ""), new.settings.zone)
    names = Names(
        {name: number for number, name in enumerate(ordered) if name in after.classes},
        ordered, tenants, zones, _append_new(before.kinds, after.kinds),
    )  # fmt: skip
    settings = replace(new.settings, classes=classes, tenants=shares, zone=zone)
    return replace(
        new, settings=settings, names=names, listen=old.listen, operator=old.operator, seed=old.seed,
        cluster=old.cluster, transforms=old.transforms, routes=old.routes,
        duties=old.duties.reloaded(new.duties) if old.duties is not None else None, rollout=old.rollout,
    )  # fmt: skip


Name = TypeVar("Name")


def _append_new(old: dict[Name, int], new: dict[Name, int]) -> dict[Name, int]:
    """The old numbers, followed by new ones for names that only `new` has."""
    return {name: number for number, name in enumerate(dict.fromkeys([*old, *new]))}


def load(environment: Mapping[str, str] = os.environ, complete: bool = False) -> Config:
    """Read the file that LB_CONFIG names; `complete`: as a reload, all of REQUIRED_KEYS have to be there."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    except RecursionError:
        raise ConfigError(f"{path} is nested too deeply") from None
    if complete:
        check_complete(raw)
    config = parse(raw)
    operator = environment.get("LB_OPERATOR")  # lets a new process run beside the old one on the same file
    if operator:
        config = replace(config, operator=parse_address(operator, "LB_OPERATOR"))
    directory = environment.get("LB_STATE_DIR")
    if directory:
        config = replace(config, state=replace(config.state, directory=directory))
    if requirement := needs.missing_requirement(config):
        raise ConfigError(requirement)
    return config


def inherited_listener(environment: Mapping[str, str] = os.environ) -> socket.socket | None:
    """The clients' listening socket, if the platform passes one to the process in LB_ACCEPT_FD."""
    text = environment.get("LB_ACCEPT_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ConfigError(f"LB_ACCEPT_FD is not a file descriptor: {text!r:.40}")
    try:
        # Duplicated, so that closing it leaves the platform's descriptor open.
        listener = socket.socket(fileno=os.dup(int(text)))
    except OSError as error:
        raise ConfigError(f"LB_ACCEPT_FD {text}: {error.strerror}") from None
    is_tcp = listener.family == socket.AF_INET and listener.type == socket.SOCK_STREAM
    if not is_tcp or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.close()
        raise ConfigError(f"LB_ACCEPT_FD {text} is not a listening socket")
    return listener


def parse(raw: object) -> Config:
    """Parse a decoded configuration file. Raises ConfigError."""
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not an object")
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("the configuration has no settings")
    limits, known = raw.get("limits") or {}, raw.get("known") or {}
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise ConfigError("limits or known is not an object")
    try:
        return Config(
            name=str(raw.get("name", "")),
            listen=parse_address(raw.get("listen"), "listen"),
            discovery=parse_address(raw.get("discovery"), "discovery"),
            seed=stable_id(str(raw.get("seed", "")), 8),
            sockets=int(limits.get("sockets", 1024)),
            memory_mb=float(limits.get("memory_mb", 192)),
            known=known,
            settings=parse_settings(json.dumps(settings)),
            names=_parse_names(settings),
            operator=parse_address(raw["operator"], "operator") if raw.get("operator") else None,
            state=_parse_state(raw),
            cluster=(cluster := _parse_cluster(raw)),
            transforms=_parse_transforms(raw),
            routes=_parse_routes(raw),
            duties=_parse_duties(raw, cluster),
            rollout=_parse_rollout(raw),
        )
    except WireError as error:
        raise ConfigError(str(error)) from None
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"the configuration is invalid: {error}") from None


def _parse_state(raw: dict[str, Any]) -> StateSettings:
    """Parse `state_dir`, `state_snapshot_s` and `state_max_age_s`; `$LB_STATE_DIR` overrides the first."""
    directory = raw.get("state_dir") or ""
    if not isinstance(directory, str):
        raise ConfigError("state_dir is not a path")
    times = {}
    for key, default in (("state_snapshot_s", 5.0), ("state_max_age_s", 60.0)):
        value = raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
            raise ConfigError(f"{key} is not a positive number of seconds")
        times[key] = float(value)
    return StateSettings(directory, times["state_snapshot_s"], times["state_max_age_s"])


def _parse_cluster(raw: dict[str, Any]) -> ClusterSettings | None:
    if "cluster" not in raw:
        return None
    from cloverkeel.fleet.cluster import parse_cluster  # imported only where it is configured

    return parse_cluster(raw["cluster"], raw.get("name"))


def _parse_transforms(raw: dict[str, Any]) -> TransformSettings | None:
    if "transforms" not in raw:
        return None
    from cloverkeel.transforms.settings import parse_transforms  # as in _parse_cluster

    return parse_transforms(raw["transforms"])


def _parse_duties(raw: dict[str, Any], cluster: ClusterSettings | None) -> DutySettings | None:
    if "duties" not in raw:
        return None
    from cloverkeel.fleet.duties.settings import parse_duties  # as in _parse_cluster

    trusted = cluster.trusted_network if cluster is not None else None
    return parse_duties(raw["duties"], str(raw.get("name", "")), trusted)


def _parse_rollout(raw: dict[str, Any]) -> RolloutSettings | None:
    if "rollout" not in raw:
        return None
    from cloverkeel.fleet.rollout.settings import parse_rollout  # as in _parse_cluster

    return parse_rollout(raw["rollout"])


def _parse_routes(raw: dict[str, Any]) -> RoutesSettings | None:
    if "routes" not in raw:
        return None
    from cloverkeel.fleet.routes.settings import parse_routes  # as in _parse_cluster

    return parse_routes(raw["routes"])


def parse_address(text: object, what: str) -> Address:
    """Parse `host:port`; `what` names the setting in the error. Raises ConfigError."""
    host, separator, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not separator or not host or not port.isascii() or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"{what} is not an address of the form host:port")
    return host.strip("[]"), int(port)


def _parse_names(settings: dict[str, Any]) -> Names:
    def numbered(key: str) -> dict[str, int]:
        entries = settings.get(key, [])
        entry_names = [str(entry["name"] if isinstance(entry, dict) else entry) for entry in entries]
        if len(set(entry_names)) < len(entry_names):
            raise ConfigError(f"{key} has two entries of the same name")
        return {name: number for number, name in enumerate(entry_names)}

    def in_bytes(key: str) -> dict[bytes, int]:
        return {name.encode(): number for name, number in numbered(key).items()}

    classes = in_bytes("lanes")
    return Names(classes, tuple(classes), in_bytes("tenants"), numbered("zones"), numbered("shapes"))
