"""The configuration's `transforms.fleet` object. Checked strictly: an unknown key is an error that names
it."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cloverkeel.errors import ConfigError
from cloverkeel.transforms.activation.interface import Settings

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
DEFAULTS = Settings(1)


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of activation, which have to be equal at all gateways of the cluster; docs/activation.md
    explains each."""

    size: Annotated[int, msgspec.Meta(ge=1, le=4096)]  # number of gateways in the cluster
    stage_timeout_s: Seconds = DEFAULTS.stage_timeout_s
    canary_share: Share = DEFAULTS.canary_share
    canary_s: Seconds = DEFAULTS.canary_s
    quarantine_share: Annotated[float, msgspec.Meta(ge=0.0, lt=1.0)] = DEFAULTS.quarantine_share

    @property
    def settings(self) -> Settings:
        """The core's settings, with defaults for those that the configuration does not have."""
        return Settings(
            size=self.size,
            stage_timeout_s=self.stage_timeout_s,
            canary_share=self.canary_share,
            canary_s=self.canary_s,
            quarantine_share=self.quarantine_share,
        )


def parse_fleet(raw: object) -> FleetSettings:
    """Parses the `transforms.fleet` object. Raises ConfigError with one line that names the key."""
    try:
        return msgspec.convert(raw, FleetSettings)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`").replace("Object missing required", "missing")
        raise ConfigError("transforms.fleet: " + text.replace("Object contains unknown", "unknown")) from None
