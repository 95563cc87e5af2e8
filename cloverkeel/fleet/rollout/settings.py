"""Parses the configuration's `rollout` object."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cloverkeel.errors import ConfigError

CONDUCTOR_DUTY = "rollout-conductor"  # the duty whose holder conducts rollouts


class RolloutSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`size`: number of gateways in the fleet, for the ledger's quorum."""

    size: Annotated[int, msgspec.Meta(ge=1, le=10_000)]


def parse_rollout(raw: object) -> RolloutSettings:
    """Parses and checks the object; raises ConfigError, in one line that names the key."""
    if not isinstance(raw, dict):
        raise ConfigError("rollout is no object: leave the key out for none")
    try:
        return msgspec.convert(raw, RolloutSettings)
    except msgspec.ValidationError as error:
        raise ConfigError("rollout: " + str(error).replace("`$.", "`")) from None
