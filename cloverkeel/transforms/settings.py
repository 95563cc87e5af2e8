"""`transforms` of the configuration: what one gateway runs of its own, without a fleet."""

from __future__ import annotations

from dataclasses import dataclass

from cloverkeel.config import ConfigError


@dataclass(slots=True, frozen=True)
class TransformSettings:
    """Paths of source files, and names of entry points of code that ships with the program."""

    files: tuple[str, ...] = ()
    plugins: tuple[str, ...] = ()


def parse_transforms(raw: object) -> TransformSettings:
    """Raises ConfigError."""
    if not isinstance(raw, dict):
        raise ConfigError("transforms is not an object")
    lists = {}
    for key, value in raw.items():
        if key not in ("files", "plugins"):
            raise ConfigError(f"transforms: {key!r:.40} is not known; it has files and plugins")
        if not isinstance(value, list) or not all(isinstance(each, str) and each for each in value):
            raise ConfigError(f"transforms: {key} is no list of names")
        lists[key] = tuple(value)
    return TransformSettings(**lists)
