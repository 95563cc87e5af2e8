"""The configuration's `transforms.fleet` object, checked strictly: an unknown key is refused by its name."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cloverkeel.errors import ConfigError
from cloverkeel.transforms.activation.interface import Settings

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
DEFAULTS = Settings(1)


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Equal at all gateways of the cluster; docs/activation.md says what each does."""

    size: Annotated[int, msgspec.Meta(ge=1, le=4096)]  # gateways that the fleet is made of
    stage_timeout_s: Seconds = DEFAULTS.stage_timeout_s
    canary_share: Share = DEFAULTS.canary_share
    canary_s: Seconds = DEFAULTS.canary_s
    quarantine_share: Annotated[float, msgspec.Meta(ge=0.0, lt=1.0)] = DEFAULTS.quarantine_share

    @property
    def settings(self) -> Settings:
        return Settings(
            size=self.size,
            stage_timeout_s=self.stage_timeout_s,
            canary_share=self.canary_share,
            canary_s=self.canary_s,
            quarantine_share=self.quarantine_share,
        )


def parse_fleet(raw: object) -> FleetSettings:
    """Raises ConfigError: one line that names the key."""
    try:
        return msgspec.convert(raw, FleetSettings)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`").replace("Object missing required", "missing")
        raise ConfigError("transforms.fleet: " + text.replace("Object contains unknown", "unknown")) from None
