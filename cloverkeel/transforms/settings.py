"""The configuration's `transforms` object: transforms that this gateway loads itself, and whether it also
runs those published to its cluster."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cloverkeel.errors import ConfigError

if TYPE_CHECKING:
    from cloverkeel.transforms.activation.configuration import FleetSettings


@dataclass(slots=True, frozen=True)
class TransformSettings:
    """`files`: paths of source files. `plugins`: names of entry points of code that ships with the program.
    `fleet`: settings for running what is published to the cluster; None: this gateway does not."""

    files: tuple[str, ...] = ()
    plugins: tuple[str, ...] = ()
    fleet: FleetSettings | None = None


def parse_transforms(raw: object) -> TransformSettings:
    """Parses and checks the `transforms` object. Raises ConfigError if it is invalid."""
    if not isinstance(raw, dict):
        raise ConfigError("transforms must be an object")
    fields: dict[str, Any] = {}
    for key, value in raw.items():
        if key == "fleet":
            from cloverkeel.transforms.activation.configuration import parse_fleet  # needs msgspec

            fields[key] = parse_fleet(value)
            continue
        if key not in ("files", "plugins"):
            raise ConfigError(f"transforms: unknown key {key!r:.40}; known keys are files, plugins and fleet")
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            raise ConfigError(f"transforms: {key} must be a list of non-empty strings")
        fields[key] = tuple(value)
    return TransformSettings(**fields)
