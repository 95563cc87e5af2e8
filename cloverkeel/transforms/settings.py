"""`transforms` of the configuration: what one gateway runs of its own, and whether it takes the fleet's."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cloverkeel.errors import ConfigError

if TYPE_CHECKING:
    from cloverkeel.transforms.activation.configuration import FleetSettings


@dataclass(slots=True, frozen=True)
class TransformSettings:
    """Paths of source files, and names of entry points of code that ships with the program. `fleet`: this
    gateway runs what is published to its cluster, too."""

    files: tuple[str, ...] = ()
    plugins: tuple[str, ...] = ()
    fleet: FleetSettings | None = None


def parse_transforms(raw: object) -> TransformSettings:
    """Raises ConfigError."""
    if not isinstance(raw, dict):
        raise ConfigError("transforms is not an object")
    lists: dict[str, Any] = {}
    for key, value in raw.items():
        if key == "fleet":
            from cloverkeel.transforms.activation.configuration import parse_fleet  # needs msgspec

            lists[key] = parse_fleet(value)
            continue
        if key not in ("files", "plugins"):
            raise ConfigError(f"transforms: {key!r:.40} is not known; it has files, plugins and fleet")
        if not isinstance(value, list) or not all(isinstance(each, str) and each for each in value):
            raise ConfigError(f"transforms: {key} is no list of names")
        lists[key] = tuple(value)
    return TransformSettings(**lists)
