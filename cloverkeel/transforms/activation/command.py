"""`python -m cloverkeel transforms publish | status | rollback`: a gateway's operators' address is asked."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any
from urllib.parse import urlencode

from cloverkeel.fleet.operator_commands import (
    Address,
    add_operator_option,
    add_wait_option,
    request_json,
    read_file,
)
from cloverkeel.fleet.membership.command import CommandError

CONFIG_KEY = "transforms.fleet"


def register(verbs: Any) -> None:
    """Add the fleet's verbs to `transforms`."""
    publish = verbs.add_parser("publish", help="have FILE run by the whole fleet: staged, canaries, then all")
    publish.add_argument("file", metavar="FILE", help="a transform's source")
    status = verbs.add_parser("status", help="what runs, what is on its way, and what is in its way")
    status.add_argument("--json", action="store_true", help="the gateway's answer as one JSON object")
    rollback = verbs.add_parser("rollback", help="take out the candidate of NAME, or else what is active")
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
    what = f"{answer['name']} {answer['id']}"
    if answer["confirmed"]:
        print(f"{done}: {what}, held by {answer['held']}")
        return 0
    print(f"cloverkeel: {what} is kept, and not confirmed at {wait}: {answer['reason']}", file=sys.stderr)
    return 1


def _status(address: Address, arguments: argparse.Namespace) -> int:
    answer = request_json(address, "/api/transforms", lacks=CONFIG_KEY)
    print(json.dumps(answer) if arguments.json else "\n".join(status_lines(answer)))
    return 0


def status_lines(answer: dict[str, Any]) -> list[str]:
    """The status for people: one line on the fleet, then one for each name and what is in its way."""
    if not {"epoch", "member", "transforms", "members", "first"} <= answer.keys():
        raise CommandError("the answer is no status of transforms")
    live = [member for member in answer["members"] if member["live"]]
    current = sum(member["epoch"] == answer["epoch"] for member in live)
    found = [
        f"epoch {answer['epoch']} as {answer['member']} sees it; {current} of {len(live)} live members "
        f"run it; {answer['first']} proposes"
    ]
    if "" in answer["waits"]:
        found.append(f"  blocked: {answer['waits']['']}")
    for each in answer["transforms"]:
        words = [f"{each['name']}: {each['state']}"]
        for key in ("active", "candidate", "before"):
            if each[key]:
                words.append(f"{key} {each[key]['id']} ({each[key]['sha256'][:12] or 'not held here'})")
        if each["canaries"]:
            words.append(f"canaries {', '.join(each['canaries'])}")
        if each["behind"]:
            words.append(f"left behind {', '.join(each['behind'])}")
        words.append(f"staged at {each['staged_at']} of {each['of']}")
        found.append("; ".join(words))
        found += [f"  {said}" for said in (each["why"], each["waits"]) if said]
    for member in live:
        found += [f"{member['name']} cannot stage {id}: {reason}" for id, reason in member["failed"].items()]
        found += [f"{member['name']}: breaker open on {id}" for id in member["open"]]
    return found
