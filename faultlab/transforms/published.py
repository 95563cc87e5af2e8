"""A fleet of real gateways behind the relay that take what is published."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from faultlab.gateways import Gateways


class Published(Gateways):
    """`async with Published(4, folder, {...}) as fleet`: gateways that may all decide. `settings` go into
    every gateway's `transforms.fleet`."""

    def __init__(self, count: int, folder: Path, settings: dict[str, Any]) -> None:
        super().__init__(count, folder)
        self.settings = {"size": count} | settings

    def configured(self, config: dict[str, Any]) -> dict[str, Any]:
        return config | {"transforms": {"fleet": self.settings}}

    def ready(self, status: dict[str, Any]) -> object:
        return status["may_decide"] and status["live"] == len(self.names)

    async def publish(self, name: str, source: bytes, wait: str = "quorum") -> str:
        """The version's id, once it is held at the level. Raises RuntimeError for any other answer."""
        status, body = await self.call(name, f"/api/transforms/publish?wait={wait}", source)
        if status != 200:
            raise RuntimeError(f"{name} answered {status}: {body!r}")
        return str(json.loads(body)["id"])

    async def status(self, name: str) -> dict[str, Any]:
        """Its answer, with `live` (members) and `versions` (transform's name to its entry); {}: none."""
        status, body = await self.call(name, "/api/transforms")
        if status != 200:
            return {}
        found: dict[str, Any] = json.loads(body)
        live = sum(member["live"] for member in found["members"])
        return found | {"live": live, "versions": {each["name"]: each for each in found["transforms"]}}
