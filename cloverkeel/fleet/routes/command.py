"""`python -m cloverkeel routes apply | show | resolve | accept`: calls to a gateway's operator address."""

from __future__ import annotations

import argparse
import json
import os
import sys
import tempfile
from typing import Any
from urllib.parse import urlencode

from cloverkeel.fleet.membership.command import CommandError, request_operator
from cloverkeel.fleet.operator_commands import (
    Address,
    add_operator_option,
    add_wait_option,
    read_file,
    request_json,
)

CONFIG_KEY = "routes"  # configuration object without which a gateway has no such calls
REQUEST_TIMEOUT_S = 22.0  # for the download of a team's file


def register(parts: Any) -> None:
    """Add `routes` to the command line; each subcommand sets `run`, which returns the exit code."""
    routes_parser = parts.add_parser("routes", help="which requests go where, as teams edit it")
    subcommands = routes_parser.add_subparsers(dest="verb", required=True)
    apply = subcommands.add_parser("apply", help="commit the edits in a team's TOML file, as one change")
    apply.add_argument("file", metavar="TEAM.toml")
    show = subcommands.add_parser(
        "show", help="show the plan in service, who decided each value, and the conflicts"
    )
    show.add_argument("--team", help="only what concerns this team")
    form = show.add_mutually_exclusive_group()
    form.add_argument("--toml", action="store_true", help="the team's routes, as a file for apply")
    form.add_argument("--json", action="store_true", help="the gateway's answer as one JSON object")
    resolve = subcommands.add_parser(
        "resolve", help="resolve a conflict, by a change that supersedes all its sides"
    )
    resolve.add_argument("id", metavar="ID", help="the id of the conflict, as in show")
    choice = resolve.add_mutually_exclusive_group(required=True)
    choice.add_argument("--take", type=int, metavar="N", help="take this side, by its number")
    choice.add_argument("--value", metavar="TOML", help="set the field to this value")
    choice.add_argument("--delete", action="store_true", help="delete the route")
    choice.add_argument("--keep", action="store_true", help="keep the route, although it was deleted")
    accept = subcommands.add_parser("accept", help="accept another team's edit of your route")
    accept.add_argument("change", metavar="CHANGE", help="the change, as in show: member/incarnation/number")
    accept.add_argument("--route", required=True, metavar="R")
    for subcommand in (resolve, accept):
        subcommand.add_argument("--team", required=True, metavar="T", help="the team that decides")
    for subcommand, run in ((apply, _apply), (show, _show), (resolve, _resolve), (accept, _accept)):
        add_operator_option(subcommand, run)
    for subcommand in (apply, resolve, accept):
        add_wait_option(subcommand)


def _apply(address: Address, arguments: argparse.Namespace) -> int:
    path = arguments.file
    source = read_file(path)
    answer = request_json(address, f"/api/routes/apply?wait={arguments.wait}", source, lacks=CONFIG_KEY)
    if not answer["change"]:
        behind = answer["behind"]
        more = f"; the plan in service has since changed for: {', '.join(behind[:5])}" if behind else ""
        print(f"nothing differs from the plan that the file was made from{more}")
        return 0
    code = _print_outcome(answer, arguments.wait)
    try:
        _write_base(path, source.decode(), answer["base"])
    except (OSError, ValueError) as error:
        why = getattr(error, "strerror", None) or error
        print(f"cloverkeel: {path}: export it again before the next edit: its base is older than this change "
              f"({why})", file=sys.stderr)  # fmt: skip
    else:
        print(f"{path}: its base is now this change")
    return code


def _write_base(path: str, text: str, base: str) -> None:
    """Replace the base in the file atomically. Raises OSError, ValueError."""
    from cloverkeel.fleet.routes.files import replace_base

    content = replace_base(text, base)
    path = os.path.realpath(path)
    fd, temporary = tempfile.mkstemp(dir=os.path.dirname(path), prefix=".routes-")
    try:
        with os.fdopen(fd, "w", encoding="utf-8", newline="") as file:
            file.write(content)
        os.chmod(temporary, os.stat(path).st_mode & 0o777)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise


def _resolve(address: Address, arguments: argparse.Namespace) -> int:
    query = {"id": arguments.id, "team": arguments.team, "wait": arguments.wait}
    body = b""
    if arguments.take is not None:
        query |= {"way": "take", "take": str(arguments.take)}
    elif arguments.value is not None:
        query["way"], body = "value", arguments.value.encode()
    else:
        query["way"] = "delete" if arguments.delete else "keep"
    answer = request_json(address, f"/api/routes/resolve?{urlencode(query)}", body, lacks=CONFIG_KEY)
    return _print_outcome(answer, arguments.wait)


def _accept(address: Address, arguments: argparse.Namespace) -> int:
    query = {"change": arguments.change, "route": arguments.route, "team": arguments.team}
    target = f"/api/routes/accept?{urlencode(query | {'wait': arguments.wait})}"
    return _print_outcome(request_json(address, target, b"", lacks=CONFIG_KEY), arguments.wait)


def _print_outcome(answer: dict[str, Any], wait: str) -> int:
    """Print the outcome of a change. Exit code 0: confirmed at the level waited for; 1: stored, not
    confirmed."""
    change = answer["change"]
    if not answer["confirmed"]:
        print(
            f"cloverkeel: {change} is stored but not confirmed at {wait}: {answer['reason']}", file=sys.stderr
        )
    else:
        print(f"committed: {change}, held by {answer['held']}")
    if not answer["merged"]:
        print("  not merged yet: `routes show` will have the outcome")
    elif answer["held_back"]:
        print(f"  held back by a blocking conflict; plan {answer['plan'][:12]} stays in service")
    else:
        print(f"  plan {answer['plan'][:12]} at this gateway")
    for each in answer["waiting"]:
        print(f"  waits for {each['owner']} to accept it for {each['route']}")
    for each in answer["conflicts"]:
        print("\n".join(f"  {line}" for line in conflict_lines(each)))
    return 0 if answer["confirmed"] else 1


def _show(address: Address, arguments: argparse.Namespace) -> int:
    if arguments.toml:
        if not arguments.team:
            raise CommandError("--toml exports one team's file: give --team")
        query = urlencode({"team": arguments.team, "form": "toml"})
        status, found = request_operator(*address, "GET", f"/api/routes?{query}", None, REQUEST_TIMEOUT_S)
        if status != 200:
            request_json(address, f"/api/routes?{query}", lacks=CONFIG_KEY)  # raises the error of the call
        sys.stdout.write(found.decode())
        return 0
    query = f"?{urlencode({'team': arguments.team})}" if arguments.team else ""
    answer = request_json(address, f"/api/routes{query}", lacks=CONFIG_KEY)
    print(json.dumps(answer) if arguments.json else "\n".join(plan_lines(answer)))
    return 0


def plan_lines(answer: dict[str, Any]) -> list[str]:
    """The plan as lines of text: first conflicts, held back changes and waiting edits, then the routes."""
    if not {"hash", "member", "count", "routes", "conflicts", "waiting", "held_back"} <= answer.keys():
        raise CommandError("the gateway's answer is not a plan of routes")
    found = [
        f"plan {answer['hash']} at {answer['member']}: routes {answer['count']}, "
        f"conflicts {len(answer['conflicts'])}, waiting edits {len(answer['waiting'])}, "
        f"changes held back {len(answer['held_back'])}"
    ]
    for each in answer["conflicts"]:
        found += conflict_lines(each)
    for each in answer["held_back"]:
        found.append(f"held back by a blocking conflict: {each['change']} of {each['team']}, "
                     f"routes {', '.join(each['routes'])}")  # fmt: skip
    for each in answer["waiting"]:
        fields = ", ".join(f"{key} = {_short(value)}" for key, value in each["fields"].items())
        found.append(f"waits for {each['owner']}: {each['change']} of {each['team']}, "
                     f"route {each['route']}: {fields}")  # fmt: skip
    for route in answer["routes"]:
        found.append(f"{route['name']} ({route['owner']})")
        for key, value in {**route["values"], **route["others"]}.items():
            decision = route["decided"].get(key)
            decided_text = f"  [{decision['change']} of {decision['team']}]" if decision else ""
            unknown = "" if key in route["values"] else "  (unknown to this version)"
            if key != "owner":
                found.append(f"  {key} = {_short(value)}{decided_text}{unknown}")
    return found


def conflict_lines(conflict: dict[str, Any]) -> list[str]:
    """One conflict as lines of text, with the sides that `resolve --take` chooses from."""
    found = [f"conflict {conflict['id']} ({conflict['kind']}, {conflict['severity']}): {conflict['why']}"]
    choices = conflict["choices"]
    for number, side in enumerate(conflict["sides"]):
        text = side or (
            f"{_short(choices[number]['value'])}  [{choices[number]['change']} of {choices[number]['team']}]"
        )
        found.append(f"  --take {number + 1}: {text}")
    return found


def _short(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= 100 else text[:97] + "..."
