"""`python -m cloverkeel transforms publish | status | rollback`: calls a gateway at its operator address."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any
from urllib.parse import urlencode

from cloverkeel.fleet.membership.command import CommandError
from cloverkeel.fleet.operator_commands import (
    Address,
    add_operator_option,
    add_wait_option,
    read_file,
    request_json,
)

CONFIG_KEY = "transforms.fleet"  # the configuration that a gateway needs to answer these calls


def register(verbs: Any) -> None:
    """Adds the subcommands that call a gateway to `transforms`."""
    publish = verbs.add_parser(
        "publish", help="roll FILE out to the whole cluster: staged, canaries, then all"
    )
    publish.add_argument("file", metavar="FILE", help="a transform's source")
    status = verbs.add_parser(
        "status", help="what is active, what is being rolled out, and what it waits for"
    )
    status.add_argument("--json", action="store_true", help="the gateway's answer as one JSON object")
    rollback = verbs.add_parser(
        "rollback", help="remove the candidate of NAME, or the active version if there is none"
    )
    rollback.add_argument("name", metavar="NAME")
    for verb, run in ((publish, _publish), (status, _status), (rollback, _rollback)):
        add_operator_option(verb, run)
    for verb in (publish, rollback):
        add_wait_option(verb)


def _publish(address: Address, arguments: argparse.Namespace) -> int:
    source = read_file(arguments.file)
    answer = request_json(address, f"/api/transforms/publish?wait={arguments.wait}", source, lacks=CONFIG_KEY)
    return _print_outcome("published", answer, arguments.wait)


def _rollback(address: Address, arguments: argparse.Namespace) -> int:
    query = urlencode({"name": arguments.name, "wait": arguments.wait})
    answer = request_json(address, f"/api/transforms/rollback?{query}", b"", lacks=CONFIG_KEY)
    return _print_outcome("rollback ordered", answer, arguments.wait)


def _print_outcome(done: str, answer: dict[str, Any], wait: str) -> int:
    """Prints whether an order was confirmed, and returns the exit code."""
    order = f"{answer['name']} {answer['id']}"
    if answer["confirmed"]:
        print(f"{done}: {order}, held by {answer['held']}")
        return 0
    print(
        f"cloverkeel: {order} is stored, but not confirmed at level {wait}: {answer['reason']}",
        file=sys.stderr,
    )
    return 1


def _status(address: Address, arguments: argparse.Namespace) -> int:
    answer = request_json(address, "/api/transforms", lacks=CONFIG_KEY)
    print(json.dumps(answer) if arguments.json else "\n".join(status_lines(answer)))
    return 0


def status_lines(answer: dict[str, Any]) -> list[str]:
    """The status as text: one line on the cluster, then for each name its state and what it waits for."""
    if not {"epoch", "member", "transforms", "members", "first"} <= answer.keys():
        raise CommandError("the gateway's response is not a transforms status")
    live = [member for member in answer["members"] if member["live"]]
    current = sum(member["epoch"] == answer["epoch"] for member in live)
    lines = [
        f"epoch {answer['epoch']} as {answer['member']} sees it; {current} of {len(live)} live members "
        f"run it; {answer['first']} proposes"
    ]
    if "" in answer["waits"]:
        lines.append(f"  blocked: {answer['waits']['']}")
    for entry in answer["transforms"]:
        parts = [f"{entry['name']}: {entry['state']}"]
        for key in ("active", "candidate", "before"):
            if entry[key]:
                parts.append(f"{key} {entry[key]['id']} ({entry[key]['sha256'][:12] or 'not held here'})")
        if entry["canaries"]:
            parts.append(f"canaries {', '.join(entry['canaries'])}")
        if entry["behind"]:
            parts.append(f"left behind {', '.join(entry['behind'])}")
        parts.append(f"staged at {entry['staged_at']} of {entry['of']}")
        lines.append("; ".join(parts))
        lines += [f"  {text}" for text in (entry["why"], entry["waits"]) if text]
    for member in live:
        lines += [f"{member['name']} cannot stage {id}: {reason}" for id, reason in member["failed"].items()]
        lines += [f"{member['name']}: breaker open on {id}" for id in member["open"]]
    return lines
