"""The command `python -m cloverkeel rollout start | status | pause | resume | abort | undo`."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any
from urllib.parse import urlencode

from cloverkeel.fleet import operator_commands
from cloverkeel.fleet.membership.command import CommandError

LACKS = "rollout"  # configuration key whose absence explains a 404


def register(subparsers: Any) -> None:
    """Adds the command to the parser."""
    rollout = subparsers.add_parser("rollout", help="give a new set of hosts its share by stages")
    subcommands = rollout.add_subparsers(dest="verb", required=True)
    start = subcommands.add_parser("start", help="begin one")
    start.add_argument("name", metavar="NAME")
    for kind in ("types", "groups", "zones", "labels"):
        start.add_argument(f"--{kind}", default="", metavar="A,B", help="hosts of the new set")
    start.add_argument("--steps", default="1,5,25,50,100", metavar="PERCENT,…", help="rising to 100")
    start.add_argument("--bake-s", type=float, default=60.0, metavar="SECONDS", help="at each step")
    start.add_argument("--least", type=int, default=50, help="attempts on each side to judge by (default 50)")
    start.add_argument("--failed-points", type=float, default=0.02, help="failed share above the base's")
    start.add_argument("--latency-ratio", type=float, default=1.5, help="of the 95th percentiles")
    status = subcommands.add_parser("status", help="state, stage, share, and the figures that decided it")
    status.add_argument("--json", action="store_true", help="the gateway's answer as one JSON object")
    operator_commands.add_operator_option(start, _start)
    operator_commands.add_operator_option(status, _status)
    for verb, summary in (
        ("pause", "stay at the stage"), ("resume", "go on, with a new window"),
        ("abort", "back to the base at once"), ("undo", "back to the base after it was done"),
    ):  # fmt: skip
        parser = subcommands.add_parser(verb, help=summary)
        parser.add_argument("name", metavar="NAME")
        operator_commands.add_operator_option(parser, _order)


def _start(address: operator_commands.Address, arguments: argparse.Namespace) -> int:
    try:
        steps = [float(step) for step in arguments.steps.split(",")]
    except ValueError:
        raise CommandError(f"--steps: {arguments.steps!r:.60} is no list of percent") from None
    hosts = {
        kind: [name for name in getattr(arguments, kind).split(",") if name]
        for kind in ("types", "groups", "zones", "labels")
    }
    spec = {
        "name": arguments.name, "hosts": hosts, "steps": steps, "bake_s": arguments.bake_s,
        "rules": {"least": arguments.least, "failed_points": arguments.failed_points,
                  "latency_ratio": arguments.latency_ratio},
    }  # fmt: skip
    return _send_order(address, "start", arguments.name, json.dumps(spec).encode())


def _order(address: operator_commands.Address, arguments: argparse.Namespace) -> int:
    return _send_order(address, arguments.verb, arguments.name, b"")


def _send_order(address: operator_commands.Address, verb: str, name: str, body: bytes) -> int:
    query = urlencode({"verb": verb, "name": name})
    answer = operator_commands.request_json(address, f"/api/rollout/order?{query}", body, lacks=LACKS)
    if answer["outcome"] == "taken":
        print(f"{verb}: {name}")
        return 0
    print(f"cloverkeel: {verb} {name}: {answer['outcome'] or answer['reason']}", file=sys.stderr)
    return 1


def _status(address: operator_commands.Address, arguments: argparse.Namespace) -> int:
    answer = operator_commands.request_json(address, "/api/rollout", lacks=LACKS)
    if arguments.json:
        print(json.dumps(answer))
        return 0
    spec = answer.get("spec")
    if spec is None:
        print("no rollout has been")
        return 0
    hosts = "; ".join(f"{kind} {', '.join(names)}" for kind, names in spec["hosts"].items() if names)
    steps = " ".join(f"[{s:g}]" if i == answer["stage"] else f"{s:g}" for i, s in enumerate(spec["steps"]))
    print(f"{spec['name']}: {answer['state']}, {answer['share']:g} % to {hosts}")
    position = f"step {answer['step']} under token {answer['token']}"
    print(f"  steps {steps}, each baked {spec['bake_s']:g} s; {position}")
    print(f"  {answer['why']}")
    if "verdict" in answer:
        print(f"  now {answer['verdict']['outcome']}: {answer['verdict']['why']}")
    return 0
