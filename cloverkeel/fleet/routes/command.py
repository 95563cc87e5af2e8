"""`python -m cloverkeel routes apply | show | resolve | accept`: a gateway's operators' address is asked."""

from __future__ import annotations

import argparse
import json
import os
import sys
import tempfile
from typing import Any
from urllib.parse import urlencode

from cloverkeel.fleet.operator_commands import (
    Address,
    add_operator_option,
    add_wait_option,
    request_json,
    read_file,
)
from cloverkeel.fleet.membership.command import CommandError, request_operator

CONFIG_KEY = "routes"
REQUEST_TIMEOUT_S = 22.0


def register(parts: Any) -> None:
    """Add `routes` to the command line; each verb sets `run`, from the arguments to the exit code."""
    top = parts.add_parser("routes", help="which requests go where, as teams edit it")
    verbs = top.add_subparsers(dest="verb", required=True)
    apply = verbs.add_parser("apply", help="commit what a team's TOML changes, as one change")
    apply.add_argument("file", metavar="TEAM.toml")
    show = verbs.add_parser("show", help="the plan in service, who decided what, and what is in conflict")
    show.add_argument("--team", help="what concerns one team")
    form = show.add_mutually_exclusive_group()
    form.add_argument("--toml", action="store_true", help="the team's routes as the file that apply takes")
    form.add_argument("--json", action="store_true", help="the gateway's answer as one JSON object")
    resolve = verbs.add_parser("resolve", help="end a conflict, by a change that has seen all its sides")
    resolve.add_argument("id", metavar="ID", help="of the conflict, as show has it")
    ways = resolve.add_mutually_exclusive_group(required=True)
    ways.add_argument("--take", type=int, metavar="N", help="one of the sides, by its number")
    ways.add_argument("--value", metavar="TOML", help="a value of the field")
    ways.add_argument("--delete", action="store_true", help="the route goes")
    ways.add_argument("--keep", action="store_true", help="the route stays, though it was deleted")
    accept = verbs.add_parser("accept", help="let another team's edit of a route of yours count")
    accept.add_argument("change", metavar="CHANGE", help="as show has it: member/incarnation/number")
    accept.add_argument("--route", required=True, metavar="R")
    for verb in (resolve, accept):
        verb.add_argument("--team", required=True, metavar="T", help="whose word this is")
    for verb, run in ((apply, _apply), (show, _show), (resolve, _resolve), (accept, _accept)):
        add_operator_option(verb, run)
    for verb in (apply, resolve, accept):
        add_wait_option(verb)


def _apply(address: Address, arguments: argparse.Namespace) -> int:
    path = arguments.file
    source = read_file(path)
    answer = request_json(address, f"/api/routes/apply?wait={arguments.wait}", source, lacks=CONFIG_KEY)
    if not answer["change"]:
        behind = answer["behind"]
        more = f"; by now the plan has otherwise: {', '.join(behind[:5])}" if behind else ""
        print(f"nothing differs from the plan that the file was made from{more}")
        return 0
    code = _print_outcome(answer, arguments.wait)
    try:
        _write_base(path, source.decode(), answer["base"])
    except (OSError, ValueError) as error:
        why = getattr(error, "strerror", None) or error
        print(f"cloverkeel: {path}: export it anew before the next edit: its base is older than this change "
              f"({why})", file=sys.stderr)  # fmt: skip
    else:
        print(f"{path}: its base is this change now")
    return code


def _write_base(path: str, text: str, base: str) -> None:
    """Put the new base into the file, whole or not at all. Raises OSError, ValueError."""
    from cloverkeel.fleet.routes.files import replace_base

    made = replace_base(text, base)
    path = os.path.realpath(path)
    fd, beside = tempfile.mkstemp(dir=os.path.dirname(path), prefix=".routes-")
    try:
        with os.fdopen(fd, "w", encoding="utf-8", newline="") as file:
            file.write(made)
        os.chmod(beside, os.stat(path).st_mode & 0o777)
        os.replace(beside, path)
    except BaseException:
        os.unlink(beside)
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
    """What became of a change, for people; 0: held as wished, 1: kept and not confirmed."""
    what = answer["change"]
    if not answer["confirmed"]:
        print(f"cloverkeel: {what} is kept, and not confirmed at {wait}: {answer['reason']}", file=sys.stderr)
    else:
        print(f"committed: {what}, held by {answer['held']}")
    if not answer["merged"]:
        print("  not merged yet: show tells what becomes of it")
    elif answer["held_back"]:
        print(f"  held back, for a blocking conflict; plan {answer['plan'][:12]} stays")
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
            raise CommandError("--toml makes one team's file: give --team")
        query = urlencode({"team": arguments.team, "form": "toml"})
        status, found = request_operator(*address, "GET", f"/api/routes?{query}", None, REQUEST_TIMEOUT_S)
        if status != 200:
            request_json(address, f"/api/routes?{query}", lacks=CONFIG_KEY)  # for its error
        sys.stdout.write(found.decode())
        return 0
    query = f"?{urlencode({'team': arguments.team})}" if arguments.team else ""
    answer = request_json(address, f"/api/routes{query}", lacks=CONFIG_KEY)
    print(json.dumps(answer) if arguments.json else "\n".join(plan_lines(answer)))
    return 0


def plan_lines(answer: dict[str, Any]) -> list[str]:
    """A plan for people: what is in conflict or waits first, then the routes."""
    if not {"hash", "member", "count", "routes", "conflicts", "waiting", "held_back"} <= answer.keys():
        raise CommandError("the answer is no plan of routes")
    found = [
        f"plan {answer['hash']} as {answer['member']} has it: routes {answer['count']}, "
        f"conflicts {len(answer['conflicts'])}, edits that wait {len(answer['waiting'])}, "
        f"changes held back {len(answer['held_back'])}"
    ]
    for each in answer["conflicts"]:
        found += conflict_lines(each)
    for each in answer["held_back"]:
        found.append(f"held back for a blocking conflict: {each['change']} of {each['team']}, "
                     f"of {', '.join(each['routes'])}")  # fmt: skip
    for each in answer["waiting"]:
        fields = ", ".join(f"{key} = {_short(value)}" for key, value in each["fields"].items())
        found.append(f"waits for {each['owner']}: {each['change']} of {each['team']}, "
                     f"route {each['route']}: {fields}")  # fmt: skip
    for route in answer["routes"]:
        found.append(f"{route['name']} ({route['owner']})")
        for key, value in {**route["values"], **route["others"]}.items():
            by = route["decided"].get(key)
            said = f"  [{by['change']} of {by['team']}]" if by else ""
            unknown = "" if key in route["values"] else "  (not known to this version)"
            if key != "owner":
                found.append(f"  {key} = {_short(value)}{said}{unknown}")
    return found


def conflict_lines(conflict: dict[str, Any]) -> list[str]:
    found = [f"conflict {conflict['id']} ({conflict['kind']}, {conflict['severity']}): {conflict['why']}"]
    choices = conflict["choices"]
    for number, side in enumerate(conflict["sides"]):
        said = side or (
            f"{_short(choices[number]['value'])}  [{choices[number]['change']} of {choices[number]['team']}]"
        )
        found.append(f"  --take {number + 1}: {said}")
    return found


def _short(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= 100 else text[:97] + "..."
