"""A fleet of real gateways behind the relay to which transforms are published."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from faultlab.gateway_fleet import GatewayFleet, InstantHost


class TransformsFleet(GatewayFleet):
    """`async with TransformsFleet(4, folder, {...}) as fleet`: gateways that may all decide. `settings` are
    merged into every gateway's `transforms.fleet`, `cluster` into its `cluster`."""

    def __init__(
        self,
        count: int,
        folder: Path,
        settings: dict[str, Any],
        host: Callable[[], asyncio.Protocol] = InstantHost,
        cluster: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(count, folder, host)
        self.settings, self.cluster = {"size": count} | settings, cluster or {}

    def extend_config(self, config: dict[str, Any]) -> dict[str, Any]:
        cluster = config["cluster"] | self.cluster
        return config | {"cluster": cluster, "transforms": {"fleet": self.settings}}

    def is_ready(self, status: dict[str, Any]) -> object:
        return status["may_decide"] and status["live"] == len(self.names)

    async def publish(self, name: str, source: bytes, wait: str = "quorum") -> str:
        """Publish a version; returns its id once it is stored at the `wait` level. Raises RuntimeError for
        any other answer."""
        status, body = await self.call_operator(name, f"/api/transforms/publish?wait={wait}", source)
        if status != 200:
            raise RuntimeError(f"{name} answered {status}: {body!r}")
        return str(json.loads(body)["id"])

    async def status(self, name: str) -> dict[str, Any]:
        """A gateway's status, with `live` (count of live members) and `versions` (entries by name) added; {}
        if it did not answer."""
        status, body = await self.call_operator(name, "/api/transforms")
        if status != 200:
            return {}
        parsed: dict[str, Any] = json.loads(body)
        live = sum(member["live"] for member in parsed["members"])
        return parsed | {"live": live, "versions": {entry["name"]: entry for entry in parsed["transforms"]}}
