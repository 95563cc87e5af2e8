"""The command `python -m cloverkeel duties [release NAME]`, for a running gateway or a state directory."""

from __future__ import annotations

import argparse
import json
import sqlite3
import sys
from typing import Any
from urllib.parse import urlencode

from cloverkeel.fleet import operator_commands
from cloverkeel.fleet.membership.command import CommandError

LACKS = "duties"  # configuration key whose absence explains a 404


def register(subparsers: Any) -> None:
    """Adds the command to the parser."""
    duties = subparsers.add_parser("duties", help="who holds which duty, under which token")
    duties.add_argument("verb", nargs="?", choices=("release",), help="let go of NAME, whoever holds it")
    duties.add_argument("name", nargs="?", metavar="NAME")
    duties.add_argument("--state-dir", metavar="DIR", help="a state directory: the local backend's, offline")
    duties.add_argument("--json", action="store_true", help="one JSON object instead of lines")
    operator_commands.add_operator_option(duties, _online)
    run_online = duties.get_default("run")
    duties.set_defaults(run=lambda arguments: _run(arguments, run_online, duties))


def _run(arguments: argparse.Namespace, run_online: Any, duties: argparse.ArgumentParser) -> int:
    """Runs the command. Exit code 0: done; 1: failed, with a line on stderr; 2: usage error."""
    if (arguments.verb is None) != (arguments.name is None):
        duties.error("release takes the duty's NAME")
    if arguments.state_dir is None:
        code: int = run_online(arguments)
        return code
    try:
        return _offline(arguments)
    except (OSError, sqlite3.Error, ValueError) as error:
        print(f"cloverkeel: {arguments.state_dir}: {error}", file=sys.stderr)
        return 1


def _offline(arguments: argparse.Namespace) -> int:
    """Reads or changes the leases in a state directory."""
    from cloverkeel.fleet.duties import local
    from cloverkeel.fleet.duties.part import force_release

    if arguments.verb is None:
        rows = [row.to_dict() for row in local.list_leases(arguments.state_dir)]
        _print_duties({"duties": rows}, arguments.json)
        return 0
    backend = local.LocalBackend(arguments.state_dir, "")
    try:
        _print_released(arguments.name, force_release(backend, arguments.name), arguments.json)
    finally:
        backend.close()
    return 0


def _online(address: operator_commands.Address, arguments: argparse.Namespace) -> int:
    """Asks a running gateway."""
    if arguments.verb is None:
        answer = operator_commands.request_json(address, "/api/duties", lacks=LACKS)
        if not isinstance(answer.get("duties"), list):
            raise CommandError("the gateway's answer has no list of duties")
        _print_duties(answer, arguments.json)
        return 0
    query = urlencode({"name": arguments.name})
    answer = operator_commands.request_json(address, f"/api/duties/release?{query}", b"", lacks=LACKS)
    _print_released(arguments.name, int(answer["token"]), arguments.json)
    return 0


def _print_released(name: str, token: int, as_json: bool) -> None:
    print(json.dumps({"duty": name, "token": token}) if as_json else f"released: {name}, token {token}")


def _print_duties(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(answer))
        return
    print(f"{'duty':<24} {'holder':<32} {'token':>15} {'left_s':>8}")
    for row in answer["duties"]:
        print(f"{row['duty']:<24} {row['holder'] or '-':<32} {row['token']:>15} {row['left_s']:>8.2f}")
