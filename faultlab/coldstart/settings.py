"""What a cold start is made of: sizes, the hosts' figures, and a gateway's configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

ZONES = ("a", "b", "c")


@dataclass(frozen=True)
class Plan:
    """One site. Rates are per second over all; the list service's `calls_per_s` is its whole capacity."""

    gateways: int
    hosts: int
    seed: int
    rate_per_s: float = 240.0
    cold_load: float = 0.6  # share of what the hosts can do at the start that the traffic asks for
    failing_share: float = 0.1  # share of the hosts that answer every request with an error
    max_host_connections: int = 48  # connections
    start_capacity: float = 0.33
    warm_s: float = 9.0
    fall_multiple: float = 2.5
    fall_s: float = 1.5
    calls_per_s: float = 120.0  # 200 gateways that each watch for 3 to 5 s need up to half of it
    queue: int = 240
    patience_s: float = 3.0
    relays: int = 3
    list_calls_per_s: float = 20.0  # of the service, for all members that have to fall back
    probe_interval_s: float = 1.0  # five times the default: one machine's processor carries all members
    seeds: int = 3

    @property
    def work_s(self) -> float:
        """What a request takes of a warm host."""
        return self.cold_load * self.hosts * self.start_capacity / self.rate_per_s

    def zone(self, number: int) -> str:
        return ZONES[number % len(ZONES)]

    def is_failing(self, host: int) -> bool:
        """The failing hosts lie evenly among the others."""
        return self.failing_share > 0 and host % round(1 / self.failing_share) == 0

    def host_capacity(self) -> dict[str, float]:
        """The figures of `fall.HostAccount`."""
        return {"work_s": self.work_s, "start": self.start_capacity, "warm_s": self.warm_s,
                "multiple": self.fall_multiple, "window_s": self.fall_s}  # fmt: skip

    def endpoint(self, host: int, address: str, since_ms: int) -> dict[str, Any]:
        """One host as the list service gives it."""
        return {"name": f"host-{host}", "address": address, "zone": self.zone(host), "type": "m",
                "group": host % 3, "status": "SERVING", "weight": 1.0, "since_ms": since_ms}  # fmt: skip

    def cluster(self, seeds: list[str]) -> dict[str, Any]:
        """What all members' `cluster` objects have in common; the first few are seeds."""
        return {"name": "coldstart", "seeds": seeds, "relays": self.relays,
                "list_calls_per_s": self.list_calls_per_s, "probe_interval_s": self.probe_interval_s,
                "probe_timeout_s": self.probe_interval_s / 2}  # fmt: skip

    def configuration(
        self, gateway: int, port: int, discovery: str, cluster: dict[str, Any] | None
    ) -> dict[str, Any]:
        """A gateway's file; no `cluster` object where that is off."""
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
