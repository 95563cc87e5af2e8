"""Helpers for the fleet's commands: they call a gateway's operator address and print errors in one line."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any

from cloverkeel.errors import ConfigError
from cloverkeel.fleet.membership.command import CommandError, operator_address, request_operator
from cloverkeel.operator import HANDLER_TIMEOUT_S, POST_LIMIT

LEVELS = ("local", "quorum", "all")
Address = tuple[str, int]
RunCommand = Callable[[Address, argparse.Namespace], int]  # returns the exit code


def add_operator_option(verb: argparse.ArgumentParser, run: RunCommand) -> None:
    """Add `--operator` to a subcommand, and set `run` as its implementation."""
    verb.add_argument(
        "--operator", metavar="HOST:PORT", help="a gateway's operators' address (else $LB_OPERATOR)"
    )
    verb.set_defaults(run=lambda arguments: run_command(run, arguments))


def add_wait_option(verb: argparse.ArgumentParser) -> None:
    """Add `--wait`, the level of replication to wait for, to a subcommand."""
    verb.add_argument(
        "--wait", choices=LEVELS, default="quorum", help="members that hold it first (default quorum)"
    )


def run_command(run: RunCommand, arguments: argparse.Namespace) -> int:
    """Run a command; returns its exit code, and prints errors in one line.

    0: done. 1: refused by the gateway, or stored but not confirmed. 2: the address or a file cannot be used.
    """
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
    """Read a file that will be posted. Raises OSError, and CommandError if it is too long."""
    with open(path, "rb") as file:
        source = file.read(POST_LIMIT + 1)
    if len(source) > POST_LIMIT:
        raise CommandError(f"{path} is longer than {POST_LIMIT} bytes")
    return source


def request_json(address: Address, target: str, body: bytes | None = None, *, lacks: str) -> dict[str, Any]:
    """The gateway's JSON answer to a GET, or to a POST if there is a body.

    `lacks`: the configuration key whose absence explains a 404. Raises CommandError.
    """
    method = "GET" if body is None else "POST"
    status, answer_body = request_operator(*address, method, target, body, HANDLER_TIMEOUT_S + 2.0)
    if status == 404:
        raise CommandError(f"this gateway has no {lacks} in its configuration")
    if status not in (200, 202):
        raise CommandError(answer_body[:400].decode("utf-8", "replace").strip().replace("\n", "; "))
    try:
        answer = json.loads(answer_body)
        if not isinstance(answer, dict):
            raise ValueError("no object")
    except (ValueError, RecursionError) as error:
        raise CommandError(f"the answer is not a JSON object: {error!r:.80}") from None
    return answer
