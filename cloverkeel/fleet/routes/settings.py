"""The configuration's `routes` object. Unknown keys are refused, with their name."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cloverkeel.errors import ConfigError

HostType = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Capacity = Annotated[int, msgspec.Meta(ge=1, le=10**9)]


class RoutesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Must be the same at all gateways of the cluster; docs/routes.md.

    `room`: concurrent requests that all hosts of a type can serve together.
    """

    size: Annotated[int, msgspec.Meta(ge=1, le=4096)]  # number of gateways in the fleet
    room: Annotated[dict[HostType, Capacity], msgspec.Meta(max_length=4096)] = {}


def parse_routes(raw: object) -> RoutesSettings:
    """The settings in the `routes` object. Raises ConfigError with one line that names the key."""
    try:
        return msgspec.convert(raw, RoutesSettings)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`").replace("Object missing required", "missing")
        raise ConfigError("routes: " + text.replace("Object contains unknown", "unknown")) from None
