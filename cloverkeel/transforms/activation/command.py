"""`python -m cloverkeel transforms publish | status | rollback`: a gateway's operators' address is asked."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any
from urllib.parse import urlencode

from cloverkeel.config import ConfigError
from cloverkeel.fleet.membership.command import CommandError, address_of, ask
from cloverkeel.operator import POST_LIMIT, POST_S

LEVELS = ("local", "quorum", "all")


def register(verbs: Any) -> None:
    """Add the fleet's verbs to `transforms`."""
    publish = verbs.add_parser("publish", help="have FILE run by the whole fleet: staged, canaries, then all")
    publish.add_argument("file", metavar="FILE", help="a transform's source")
    status = verbs.add_parser("status", help="what runs, what is on its way, and what is in its way")
    status.add_argument("--json", action="store_true", help="the gateway's answer as one JSON object")
    rollback = verbs.add_parser("rollback", help="take out the candidate of NAME, or else what is active")
    rollback.add_argument("name", metavar="NAME")
    for verb, run in ((publish, _publish), (status, _status), (rollback, _rollback)):
        verb.add_argument(
            "--operator", metavar="HOST:PORT", help="a gateway's operators' address (else $LB_OPERATOR)"
        )
        verb.set_defaults(run=lambda arguments, run=run: _guarded(run, arguments))
    for verb in (publish, rollback):
        verb.add_argument(
            "--wait", choices=LEVELS, default="quorum", help="members that hold it first (default quorum)"
        )


def _guarded(run: Any, arguments: argparse.Namespace) -> int:
    """0: done; 1: refused, or kept and not confirmed; 2: the address or the file cannot be used."""
    try:
        address = address_of(arguments.operator)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    try:
        code: int = run(address, arguments)
        return code
    except OSError as error:
        print(f"cloverkeel: {arguments.file}: {error.strerror}", file=sys.stderr)
        return 2
    except CommandError as error:
        print(f"cloverkeel: {address[0]}:{address[1]}: {error}", file=sys.stderr)
        return 1


def _publish(address: tuple[str, int], arguments: argparse.Namespace) -> int:
    with open(arguments.file, "rb") as file:
        source = file.read(POST_LIMIT + 1)
    if len(source) > POST_LIMIT:
        raise CommandError(f"{arguments.file} is longer than {POST_LIMIT} bytes")
    answer = _call(address, f"/api/transforms/publish?wait={arguments.wait}", source)
    return _said("published", answer, arguments.wait)


def _rollback(address: tuple[str, int], arguments: argparse.Namespace) -> int:
    query = urlencode({"name": arguments.name, "wait": arguments.wait})
    return _said("rollback ordered", _call(address, f"/api/transforms/rollback?{query}", b""), arguments.wait)


def _said(done: str, answer: dict[str, Any], wait: str) -> int:
    what = f"{answer['name']} {answer['id']}"
    if answer["confirmed"]:
        print(f"{done}: {what}, held by {answer['held']}")
        return 0
    print(f"cloverkeel: {what} is kept, and not confirmed at {wait}: {answer['reason']}", file=sys.stderr)
    return 1


def _status(address: tuple[str, int], arguments: argparse.Namespace) -> int:
    answer = _call(address, "/api/transforms")
    print(json.dumps(answer) if arguments.json else "\n".join(lines(answer)))
    return 0


def _call(address: tuple[str, int], target: str, body: bytes | None = None) -> dict[str, Any]:
    method = "GET" if body is None else "POST"
    status, found = ask(*address, method, target, body, POST_S + 2.0)
    if status == 404:
        raise CommandError("this gateway has no transforms.fleet in its configuration")
    if status not in (200, 202):
        raise CommandError(found[:400].decode("utf-8", "replace").strip().replace("\n", "; "))
    try:
        answer = json.loads(found)
        if not isinstance(answer, dict):
            raise ValueError("no object")
    except (ValueError, RecursionError) as error:
        raise CommandError(f"the answer is not its own: {error!r:.80}") from None
    return answer


def lines(answer: dict[str, Any]) -> list[str]:
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
