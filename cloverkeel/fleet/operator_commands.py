"""What the commands of the fleet share: a gateway is asked at its operators' address, and one line says what
is in the way."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any

from cloverkeel.errors import ConfigError
from cloverkeel.fleet.membership.command import CommandError, operator_address, request_operator
from cloverkeel.operator import POST_LIMIT, HANDLER_TIMEOUT_S

LEVELS = ("local", "quorum", "all")
Address = tuple[str, int]
RunCommand = Callable[[Address, argparse.Namespace], int]  # gives the exit code


def add_operator_option(verb: argparse.ArgumentParser, run: RunCommand) -> None:
    """Give a verb `--operator`, and have `run` carry it out."""
    verb.add_argument(
        "--operator", metavar="HOST:PORT", help="a gateway's operators' address (else $LB_OPERATOR)"
    )
    verb.set_defaults(run=lambda arguments: run_command(run, arguments))


def add_wait_option(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        "--wait", choices=LEVELS, default="quorum", help="members that hold it first (default quorum)"
    )


def run_command(run: RunCommand, arguments: argparse.Namespace) -> int:
    """0: done; 1: refused, or kept and not confirmed; 2: the address or a file cannot be used."""
    try:
        address = operator_address(arguments.operator)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    try:
        return run(address, arguments)
    except OSError as error:
        print(f"cloverkeel: {error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    except CommandError as error:
        print(f"cloverkeel: {address[0]}:{address[1]}: {error}", file=sys.stderr)
        return 1


def read_file(path: str) -> bytes:
    """A file that is to be posted. Raises OSError, and CommandError where it is too long."""
    with open(path, "rb") as file:
        source = file.read(POST_LIMIT + 1)
    if len(source) > POST_LIMIT:
        raise CommandError(f"{path} is longer than {POST_LIMIT} bytes")
    return source


def request_json(address: Address, target: str, body: bytes | None = None, *, lacks: str) -> dict[str, Any]:
    """The gateway's answer to GET, or to POST of a body. `lacks`: the key that a gateway without this call
    lacks in its configuration. Raises CommandError."""
    method = "GET" if body is None else "POST"
    status, found = request_operator(*address, method, target, body, HANDLER_TIMEOUT_S + 2.0)
    if status == 404:
        raise CommandError(f"this gateway has no {lacks} in its configuration")
    if status not in (200, 202):
        raise CommandError(found[:400].decode("utf-8", "replace").strip().replace("\n", "; "))
    try:
        answer = json.loads(found)
        if not isinstance(answer, dict):
            raise ValueError("no object")
    except (ValueError, RecursionError) as error:
        raise CommandError(f"the answer is not its own: {error!r:.80}") from None
    return answer
