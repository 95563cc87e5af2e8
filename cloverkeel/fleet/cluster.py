"""The `cluster` object of the configuration. Parsing is strict: an unknown key is an error that names it."""

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
    """Settings of the membership (docs/membership.md, "Defaults")."""

    name: str  # of the cluster; messages of other clusters are dropped
    bind: str  # ip:port for datagrams and calls; port 0: the system chooses one
    advertise: str = ""  # ip:port at which other members reach this one, if not `bind`
    seeds: tuple[str, ...] = ()  # ip:port of members to contact at the start
    trusted_network: bool = False  # required outside loopback, as messages are not authenticated
    relays: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3  # members that watch the list service
    # Calls of the whole fleet to the list service during fallback.
    list_calls_per_s: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 20.0
    lists: bool = True  # lists of hosts are shared between members
    warm: bool = True  # a cold start takes over what other members have learned
    probe_interval_s: Seconds = DEFAULT_TIMING.probe_interval_s
    probe_timeout_s: Seconds = DEFAULT_TIMING.probe_timeout_s
    suspicion_alpha: Factor = DEFAULT_TIMING.suspicion_alpha
    suspicion_beta: Factor = DEFAULT_TIMING.suspicion_beta
    push_pull_s: Seconds = DEFAULT_TIMING.push_pull_s
    reap_after_s: Seconds = DEFAULT_TIMING.reap_after_s
    join_wait_s: Seconds = DEFAULT_TIMING.join_wait_s

    @property
    def timing(self) -> Timing:
        """The settings of the protocol core."""
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
        """Host and port of `bind`."""
        return bind_address(self.bind)


def bind_address(text: str) -> tuple[str, int]:
    """Parse host and port; the port may be 0. Raises ValueError."""
    host, separator, port = text.rpartition(":")
    if separator and port == "0":
        return parse_address(f"{host}:1")[0], 0
    return parse_address(text)


def _address_scope(host: str) -> str:
    """Who can reach an address: `loopback`, `all`, or `nobody` (not usable by a member)."""
    first, separator, _ = host.partition(".")
    if separator and ":" not in first:  # importing `ipaddress` takes 1.4 ms, which a start under load notices
        if host == "0.0.0.0" or 224 <= int(first) < 240:
            return "nobody"
        return "loopback" if first == "127" else "all"
    from ipaddress import ip_address

    ip = ip_address(host)
    if ip.is_unspecified or ip.is_multicast:
        return "nobody"
    return "loopback" if ip.is_loopback else "all"


def parse_cluster(raw: object, gateway: object) -> ClusterSettings:
    """Parse and check the `cluster` object. Raises ConfigError with one line that names the key.

    `gateway` is the configuration's `name`, under which other members know this gateway.
    """
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
    scope = _address_scope(host)
    if scope == "nobody":
        raise ConfigError(f"cluster: bind: {settings.bind} is no address that other members can reach")
    if scope != "loopback" and not settings.trusted_network:
        raise ConfigError(
            f"cluster: bind: {settings.bind} is outside loopback, where any host that reaches it can send: "
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
        raise ConfigError("cluster: probe_timeout_s must be below probe_interval_s")
    return settings
