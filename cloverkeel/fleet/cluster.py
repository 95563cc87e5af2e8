"""The configuration's `cluster` object, checked strictly: an unknown key is refused by its name."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cloverkeel.errors import ConfigError
from cloverkeel.fleet.membership.codec import MAX_NAME_BYTES, datagram_header, parse_address
from cloverkeel.fleet.membership.messages import Timing

DEFAULT_TIMING = Timing()
Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600)]
Factor = Annotated[float, msgspec.Meta(ge=0.5, le=100)]


class ClusterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Membership's settings (docs/membership.md, "Defaults"); times in seconds."""

    name: str  # the cluster's: members of another are not heard
    bind: str  # ip:port that the other members reach, for datagrams and calls; port 0: the system chooses
    advertise: str = ""  # ip:port that the others are told in place of `bind`, where they reach it there
    seeds: tuple[str, ...] = ()  # ip:port of members to ask at the start
    trusted_network: bool = False  # whoever reaches `bind` can speak: needed outside loopback
    relays: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3
    list_calls_per_s: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 20.0  # of the whole fleet, fallen back
    lists: bool = True
    warm: bool = True
    probe_interval_s: Seconds = DEFAULT_TIMING.probe_interval_s
    probe_timeout_s: Seconds = DEFAULT_TIMING.probe_timeout_s
    suspicion_alpha: Factor = DEFAULT_TIMING.suspicion_alpha
    suspicion_beta: Factor = DEFAULT_TIMING.suspicion_beta
    push_pull_s: Seconds = DEFAULT_TIMING.push_pull_s
    reap_after_s: Seconds = DEFAULT_TIMING.reap_after_s
    join_wait_s: Seconds = DEFAULT_TIMING.join_wait_s

    @property
    def timing(self) -> Timing:
        return Timing(
            probe_interval_s=self.probe_interval_s,
            probe_timeout_s=self.probe_timeout_s,
            suspicion_alpha=self.suspicion_alpha,
            suspicion_beta=self.suspicion_beta,
            push_pull_s=self.push_pull_s,
            reap_after_s=self.reap_after_s,
            join_wait_s=self.join_wait_s,
        )

    @property
    def bind_address(self) -> tuple[str, int]:
        return bind_address(self.bind)


def bind_address(text: str) -> tuple[str, int]:
    """Host and port, which may be 0 here. Raises ValueError."""
    host, mark, port = text.rpartition(":")
    if mark and port == "0":
        return parse_address(f"{host}:1")[0], 0
    return parse_address(text)


def _address_scope(host: str) -> str:
    """Who reaches an address: `loopback`, `nobody` (none that a member can have), or `all`."""
    first, mark, _ = host.partition(".")
    if mark and ":" not in first:  # `ipaddress` takes 1.4 ms to import, of which a start under load pays each
        if host == "0.0.0.0" or 224 <= int(first) < 240:
            return "nobody"
        return "loopback" if first == "127" else "all"
    from ipaddress import ip_address

    ip = ip_address(host)
    if ip.is_unspecified or ip.is_multicast:
        return "nobody"
    return "loopback" if ip.is_loopback else "all"


def parse_cluster(raw: object, gateway: object) -> ClusterSettings:
    """`gateway`: the configuration's `name`, by which the others know this one. Raises ConfigError: one line
    that names the key."""
    if not isinstance(raw, dict):
        raise ConfigError("cluster is no object: leave the key out for none")
    try:
        settings = msgspec.convert(raw, ClusterSettings)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`").replace("Object missing required", "missing")
        raise ConfigError("cluster: " + text.replace("Object contains unknown", "unknown")) from None
    if not isinstance(gateway, str) or not 0 < len(gateway.encode()) <= MAX_NAME_BYTES:
        raise ConfigError(f"cluster: the gateway's own name has to have 1 to {MAX_NAME_BYTES} bytes")
    try:
        datagram_header(settings.name)
    except ValueError as error:
        raise ConfigError(f"cluster: name: {error}") from None
    try:
        host, _ = bind_address(settings.bind)
    except ValueError as error:
        raise ConfigError(f"cluster: bind: {error}") from None
    reach = _address_scope(host)
    if reach == "nobody":
        raise ConfigError(f"cluster: bind: {settings.bind} is no address that other members can reach")
    if reach != "loopback" and not settings.trusted_network:
        raise ConfigError(
            f"cluster: bind: {settings.bind} is outside loopback, where whoever reaches it can speak: "
            "it needs trusted_network = true"
        )
    if settings.advertise:
        try:
            parse_address(settings.advertise)
        except ValueError as error:
            raise ConfigError(f"cluster: advertise: {error}") from None
    for seed in settings.seeds:
        try:
            seed_host, _ = parse_address(seed)
        except ValueError as error:
            raise ConfigError(f"cluster: seeds: {error}") from None
        if (":" in seed_host) != (":" in host):
            raise ConfigError(f"cluster: seeds: {seed} cannot be reached from {settings.bind}: IPv4 and IPv6")
    if settings.probe_timeout_s >= settings.probe_interval_s:
        raise ConfigError("cluster: probe_timeout_s is not below probe_interval_s")
    return settings
