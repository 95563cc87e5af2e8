"""The configuration's `routes` object, checked strictly: an unknown key is refused by its name."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cloverkeel.errors import ConfigError

HostType = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Capacity = Annotated[int, msgspec.Meta(ge=1, le=10**9)]


class RoutesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Equal at all gateways of the cluster; docs/routes.md. `room`: requests at once that all hosts of a type
    hold together."""

    size: Annotated[int, msgspec.Meta(ge=1, le=4096)]  # gateways that the fleet is made of
    room: Annotated[dict[HostType, Capacity], msgspec.Meta(max_length=4096)] = {}


def parse_routes(raw: object) -> RoutesSettings:
    """Raises ConfigError: one line that names the key."""
    try:
        return msgspec.convert(raw, RoutesSettings)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`").replace("Object missing required", "missing")
        raise ConfigError("routes: " + text.replace("Object contains unknown", "unknown")) from None
