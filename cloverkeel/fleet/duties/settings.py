"""Parses the configuration's `duties` object strictly: an unknown key is an error that names it."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from cloverkeel.errors import ConfigError
from cloverkeel.fleet.duties.interface import Duty
from cloverkeel.fleet.membership.codec import parse_address

MIN_VOTERS = 3  # with three, two are a majority if one is down


class NamedDuty(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A duty that the gateway contends for. `ttl_s`: time after its last renewal at which a lease expires."""

    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9._-]{0,63}$")]
    ttl_s: Annotated[float, msgspec.Meta(ge=0.5, le=3600)] = 10.0


class DutySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The `duties` object. `voters`: for `quorum`, the gateway name and Raft address of each voter."""

    named: tuple[NamedDuty, ...]
    backend: Literal["local", "quorum"] = "local"
    voters: dict[str, str] = {}
    password: str = ""

    def reloaded(self, new: DutySettings | None) -> DutySettings:
        """The settings after a SIGHUP: the duties of `new`, the backend of the start."""
        return msgspec.structs.replace(self, named=new.named if new is not None else ())

    @property
    def duties(self) -> tuple[Duty, ...]:
        """The configured duties."""
        return tuple(Duty(each.name, each.ttl_s) for each in self.named)


def parse_duties(raw: object, gateway: str, trusted: bool | None) -> DutySettings:
    """Parses and checks the `duties` object; raises ConfigError, in one line that names the key.

    `trusted`: the cluster's `trusted_network`; None without a cluster.
    """
    if not isinstance(raw, dict):
        raise ConfigError("duties is no object: leave the key out for none")
    try:
        settings = msgspec.convert(raw, DutySettings)
    except msgspec.ValidationError as error:
        raise ConfigError("duties: " + str(error).replace("`$.", "`")) from None
    names = [each.name for each in settings.named]
    if len(set(names)) < len(names):
        raise ConfigError("duties: named: one duty twice")
    if settings.backend == "local":
        if settings.voters:
            raise ConfigError("duties: voters: the local backend has none")
        return settings
    if trusted is None:
        raise ConfigError("duties: backend: quorum needs a cluster in the configuration")
    if len(settings.voters) < MIN_VOTERS or gateway not in settings.voters:
        raise ConfigError(f"duties: voters: {MIN_VOTERS} gateways or more, this one ({gateway}) among them")
    if len(set(settings.voters.values())) < len(settings.voters):
        raise ConfigError("duties: voters: one address twice")
    for name, address in settings.voters.items():
        try:
            host, _ = parse_address(address)
        except ValueError as error:
            raise ConfigError(f"duties: voters: {name}: {error}") from None
        if not ipaddress.ip_address(host).is_loopback and not trusted:
            raise ConfigError(
                f"duties: voters: {name}: {address} is outside loopback, where whoever reaches it can run "
                "code: it needs cluster.trusted_network = true"
            )
    return settings
