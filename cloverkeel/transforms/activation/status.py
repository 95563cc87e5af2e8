"""Builds the JSON of `transforms status` from one member's core. No I/O."""

from __future__ import annotations

import hashlib
from typing import Any

from cloverkeel.transforms.activation.core import Activation
from cloverkeel.transforms.activation.records import Order


def status(core: Activation) -> dict[str, Any]:
    """The status of all transforms and members as this member's ledger shows them. `members` has those
    that have reported; `waits` is filled only at the first live member, which plans."""
    ledger_state = core.ledger_state
    return {
        "member": core.member,
        "epoch": core.epoch.number,
        "may_decide": core.may_decide(),
        "first": core.live[0],
        "waits": dict(core.wait_reasons),
        "transforms": [_transform_status(core, name) for name in ledger_state.names()],
        "members": [
            {
                "name": member,
                "live": member in core.live,
                "epoch": report.epoch,
                "failed": {id: reason for id, reason in report.stage_results.items() if reason},
                "open": list(report.open_breakers),
            }
            for member, report in sorted(ledger_state.reports.items())
            if member in core.known
        ],
    }


def _transform_status(core: Activation, name: str) -> dict[str, Any]:
    ledger_state = core.ledger_state
    slot, orders = ledger_state.epoch.slot(name), ledger_state.open_orders(name)
    runs = slot.candidate or slot.active
    state = "canary" if slot.candidate else "active" if slot.active else "none"
    if orders:
        state = "staging" if orders[-1].verb == "publish" else "rolling back"
    return {
        "name": name,
        "state": state,
        "active": _version_status(ledger_state.orders.get(slot.active), slot.active),
        "candidate": _version_status(ledger_state.orders.get(slot.candidate), slot.candidate),
        "canaries": list(slot.canaries),
        "before": _version_status(ledger_state.orders.get(slot.before), slot.before),
        "behind": list(slot.behind),
        "last": list(slot.last),
        "open_orders": [_version_status(order, order.id) for order in orders],
        "staged_at": sum(
            report.stage_results.get(orders[-1].id if orders else runs) == ""
            for member, report in ledger_state.reports.items()
            if member in core.live
        ),
        "of": len(core.live),
        "why": slot.why,
        "waits": core.wait_reasons.get(name, ""),
    }


def _version_status(order: Order | None, id: str) -> dict[str, str] | None:
    if not id:
        return None
    sha256 = hashlib.sha256(order.source).hexdigest() if order is not None and order.source else ""
    return {"id": id, "sha256": sha256, "verb": order.verb if order is not None else ""}
