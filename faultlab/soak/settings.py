"""The settings of one soak: sizes, deadlines and limits, and the configuration of a gateway."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from faultlab.coldstart.host_capacity import HostCapacity
from faultlab.gateway_process import configuration

CLASSES = ("search", "hold", "transfer")
EFFECTS = {"search": "free", "hold": "guarded", "transfer": "single_shot"}
CLASS_SHARES = (0.6, 0.2, 0.2)
DESCRIPTOR_LIMIT = 256  # file descriptors of a gateway
KILL_MARGIN_S = 0.7  # the earliest SIGKILL after SIGTERM is the longest deadline plus this (PROTOCOL)
MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline is counted as this for SIGKILL (PROTOCOL)
CROWD_SEED_INTERVAL = 3  # every third seed has idle clients that use up a gateway's descriptors


@dataclass(frozen=True)
class Settings:
    """The settings of one seed. Times are in seconds, rates per second over all gateways."""

    seed: int
    duration_s: float
    gateways: int = 3
    hosts: int = 6
    rate_per_s: float = 90.0
    aim_s: float = 0.3  # target latency
    deadline_s: float = 1.0
    window_s: float = 1.0  # deduplication window of keyed requests
    stop_sending_s: float = 1.0  # time that a gateway may still send to a host after it knows of the drain
    work_s: float = 0.03  # time that a warm host takes for a request
    start_capacity: float = 0.15  # share of its capacity that a host has at its start
    warm_s: float = 6.0  # time from a host's start until it has all of its capacity
    fall_multiple: float = 1.2  # a cold host falls at more than this multiple of its capacity
    fall_s: float = 1.0  # within a window of this length
    pushed: bool = True  # discovery pushes lists; else gateways ask for them
    crowd: bool = False  # idle clients use up descriptors

    @property
    def kill_after_s(self) -> float:
        """The time from SIGTERM to the earliest SIGKILL."""
        return min(MAX_COUNTED_DEADLINE_S, self.deadline_s) + KILL_MARGIN_S

    def host_capacity(self) -> HostCapacity:
        """The capacity model of one host."""
        return HostCapacity(self.work_s, self.start_capacity, self.warm_s, self.fall_multiple, self.fall_s)

    def configuration(
        self, gateway: int, port: int, discovery: str, known: list[dict[str, Any]]
    ) -> dict[str, Any]:
        """The configuration of a gateway."""
        file = configuration(f"g{gateway}", port, discovery, known)
        lane = {"aimUs": int(self.aim_s * 1e6), "giveUpUs": int(self.deadline_s * 1e6), "lateValue": 0.2,
                "value": 1.0, "group": "all", "windowUs": int(self.window_s * 1e6)}  # fmt: skip
        settings = file["settings"] | {
            "balancers": self.gateways, "index": gateway,
            "membershipMode": "pushed" if self.pushed else "on_request",
            "lanes": [lane | {"name": name, "effect": EFFECTS[name]} for name in CLASSES],
        }  # fmt: skip
        settings["caps"] = settings["caps"] | {
            "maxAttempts": 3, "connectTimeoutUs": 300_000, "keepaliveUs": 10_000_000, "secondCopies": True,
        }  # fmt: skip
        settings["contract"] = settings["contract"] | {
            "stopSendingWithinUs": int(self.stop_sending_s * 1e6), "startCapacity": self.start_capacity,
            "warmAfterUs": int(self.warm_s * 1e6), "tipMultiple": self.fall_multiple,
            "fallUs": int(self.fall_s * 1e6),
        }  # fmt: skip
        limits = file["limits"] | {"sockets": DESCRIPTOR_LIMIT}
        return file | {"settings": settings, "limits": limits}


def draw_settings(seed: int, duration_s: float) -> Settings:
    """Draw the settings of a seed."""
    rng = random.Random(f"settings {seed}")
    return Settings(
        seed, duration_s,
        gateways=rng.choice((2, 3, 4)), hosts=rng.choice((5, 6, 8)), rate_per_s=rng.uniform(60.0, 120.0),
        deadline_s=rng.choice((0.5, 1.0, 1.5)), window_s=rng.choice((0.6, 1.0)), pushed=rng.random() < 0.5,
        crowd=seed % CROWD_SEED_INTERVAL == 0,
    )  # fmt: skip
