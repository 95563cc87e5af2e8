"""The settings of a cold start: sizes, rates, the capacity of hosts, and the configuration of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

ZONES = ("a", "b", "c")


@dataclass(frozen=True)
class Plan:
    """The settings of one site. Rates are per second over all gateways; times are in seconds."""

    gateways: int
    hosts: int
    seed: int
    rate_per_s: float = 240.0
    cold_load: float = 0.6  # the traffic as a share of the hosts' capacity at the start
    failing_share: float = 0.1  # share of the hosts that answer each request with an error
    max_host_connections: int = 48  # a host rejects requests on further ones
    start_capacity: float = 0.33  # share of its capacity that a host has at its start
    warm_s: float = 9.0  # time from a host's start until it has all of its capacity
    fall_multiple: float = 2.5  # a cold host falls at more than this multiple of its capacity
    fall_s: float = 1.5  # within a window of this length
    calls_per_s: float = 120.0  # of the list service; 200 gateways with watches of 3 to 5 s need up to half
    queue: int = 240  # calls that may wait at the list service
    patience_s: float = 3.0  # a call that has waited longer there fails
    relays: int = 3  # members that watch the list service for all
    list_calls_per_s: float = 20.0  # calls at the list service allowed to all members that fall back to it
    probe_interval_s: float = 1.0  # five times the default, as all members share one machine's CPU
    seeds: int = 3

    @property
    def work_s(self) -> float:
        """The time that a warm host takes for a request."""
        return self.cold_load * self.hosts * self.start_capacity / self.rate_per_s

    def zone(self, number: int) -> str:
        """The zone of a gateway or host."""
        return ZONES[number % len(ZONES)]

    def is_failing(self, host: int) -> bool:
        """Whether a host is one of the failing ones, which are spread evenly over the numbers."""
        return self.failing_share > 0 and host % round(1 / self.failing_share) == 0

    def host_capacity(self) -> dict[str, float]:
        """The arguments of `host_capacity.HostCapacity`, as JSON."""
        return {"work_s": self.work_s, "start": self.start_capacity, "warm_s": self.warm_s,
                "multiple": self.fall_multiple, "window_s": self.fall_s}  # fmt: skip

    def endpoint(self, host: int, address: str, since_ms: int) -> dict[str, Any]:
        """The entry of a host in the list."""
        return {"name": f"host-{host}", "address": address, "zone": self.zone(host), "type": "m",
                "group": host % 3, "status": "SERVING", "weight": 1.0, "since_ms": since_ms}  # fmt: skip

    def cluster(self, seeds: list[str]) -> dict[str, Any]:
        """The `cluster` object without the fields that differ between members."""
        return {"name": "coldstart", "seeds": seeds, "relays": self.relays,
                "list_calls_per_s": self.list_calls_per_s, "probe_interval_s": self.probe_interval_s,
                "probe_timeout_s": self.probe_interval_s / 2}  # fmt: skip

    def configuration(
        self, gateway: int, port: int, discovery: str, cluster: dict[str, Any] | None
    ) -> dict[str, Any]:
        """The configuration of a gateway, without a `cluster` object if `cluster` is None."""
        lane = {"aimUs": 500_000, "giveUpUs": 1_000_000, "lateValue": 0.5, "value": 1.0, "group": "all",
                "windowUs": 1_000_000}  # fmt: skip
        caps = {"maxAttempts": 3, "mayCancel": True, "connectTimeoutUs": 500_000, "keepaliveUs": 60_000_000,
                "secondCopies": True, "probes": True}  # fmt: skip
        contract = {
            "stopSendingWithinUs": 2_000_000, "mustAskInUs": 10_000_000, "answerSlackUs": 0,
            "startCapacity": self.start_capacity, "warmAfterUs": int(self.warm_s * 1e6),
            "tipMultiple": self.fall_multiple, "fallUs": int(self.fall_s * 1e6),
        }  # fmt: skip
        file: dict[str, Any] = {
            "name": f"gw-{gateway}", "listen": f"127.0.0.1:{port}", "discovery": discovery,
            "seed": f"{self.seed}-{gateway}", "known": {},
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "zones": list(ZONES), "shapes": ["m"], "tenants": [{"name": "lab", "fraction": 1.0}],
                "balancers": self.gateways, "index": gateway, "zone": gateway % len(ZONES),
                "objectiveMix": {}, "prices": {}, "membershipMode": "on_request", "report": {"how": "silent"},
                "caps": caps, "contract": contract,
                "lanes": [lane | {"name": "search", "effect": "free"},
                          lane | {"name": "transfer", "effect": "single_shot"}],
            },
        }  # fmt: skip
        if cluster is not None:
            file["cluster"] = cluster
        return file
