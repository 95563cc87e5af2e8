"""Checks that the configuration has what the enabled parts require."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cloverkeel.config import Config


def ledger_sizes(config: Config) -> dict[str, int]:
    """Number of gateways in the fleet as each part that uses the ledger has it, by configuration key."""
    sizes: dict[str, int] = {}
    if config.transforms is not None and config.transforms.fleet is not None:
        sizes["transforms.fleet"] = config.transforms.fleet.size
    if config.routes is not None:
        sizes["routes"] = config.routes.size
    if config.rollout is not None:
        sizes["rollout"] = config.rollout.size
    return sizes


def missing_requirement(config: Config) -> str:
    """What the configuration lacks for its parts, in one line; empty if nothing."""
    sizes = ledger_sizes(config)
    lacking = "a cluster" if config.cluster is None else "" if config.state.directory else "a state_dir"
    for key in sizes if lacking else ():
        return f"{key}: it needs {lacking} in the configuration"
    if config.duties is not None and not config.state.directory:
        return "duties: it needs a state_dir in the configuration"
    if len(set(sizes.values())) > 1:
        shown = " and ".join(f"{key}.size is {size}" for key, size in sizes.items())
        return f"{shown}: they have to be equal"
    return ""
