"""`python -m cloverkeel members`: prints the member table of a running gateway (`GET /api/members`)."""

from __future__ import annotations

import http.client
import json
import os
import signal
import sys
from types import FrameType
from typing import Any

from cloverkeel.config import load, parse_address
from cloverkeel.errors import ConfigError

ANSWER_TIMEOUT_S = 5.0  # for the complete answer
MAX_ANSWER_BYTES = 8 * 1024 * 1024
COLUMNS = ("name", "zone", "address", "status", "incarnation", "heard_s", "relay")


class CommandError(Exception):
    """A command failed; the message is one line for the operator."""


def run(operator: str | None, as_json: bool) -> int:
    """Print the table, or the JSON. Exit code: 0, 1 if the gateway gives none, 2 for an unusable address."""
    try:
        address = operator_address(operator)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    try:
        answer = fetch_members(*address)
        lines = [json.dumps(answer)] if as_json else format_table(answer)
    except CommandError as error:
        print(f"cloverkeel: {address[0]}:{address[1]}: {error}", file=sys.stderr)
        return 1
    print("\n".join(lines))
    return 0


def operator_address(operator: str | None) -> tuple[str, int]:
    """The gateway's operator address: as given, else $LB_OPERATOR, else from the file named by $LB_CONFIG.

    Raises ConfigError.
    """
    if operator is not None:
        return parse_address(operator, "--operator")
    if os.environ.get("LB_OPERATOR"):
        return parse_address(os.environ["LB_OPERATOR"], "LB_OPERATOR")
    address = load().operator if os.environ.get("LB_CONFIG") else None
    if address is None:
        raise ConfigError("no operators' address: give --operator host:port or set $LB_OPERATOR")
    return address


def fetch_members(host: str, port: int) -> dict[str, Any]:
    """Fetch the member table. Raises CommandError."""
    status, body = request_operator(host, port, "GET", "/api/members")
    if status == 404:
        raise CommandError("this gateway has no cluster in its configuration")
    if status != 200:
        raise CommandError(f"answered {status}: {body[:80].decode('utf-8', 'replace').strip()}")
    try:
        answer = json.loads(body)
        rows = answer["members"]
        if not all(isinstance(row, dict) and row.keys() >= set(COLUMNS) for row in rows):
            raise ValueError("a row without all columns")
        answer["name"], answer["cluster"], answer["address"], answer["state"]
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise CommandError(f"the answer is no member table: {error!r:.80}") from None
    return dict(answer)


def request_operator(
    host: str,
    port: int,
    method: str,
    target: str,
    body: bytes | None = None,
    timeout_s: float = ANSWER_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Send a request to a gateway's operator address; returns status and body.

    Raises CommandError, also if the complete answer does not arrive within `timeout_s`.
    """

    def on_alarm(signum: int, frame: FrameType | None) -> None:
        raise TimeoutError(f"no whole answer within {timeout_s:g} s")

    # The alarm limits the whole call, also if the answer arrives slowly.
    previous_handler = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, timeout_s)
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/octet-stream"} if body is not None else {}
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        return response.status, response.read(MAX_ANSWER_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        raise CommandError(getattr(error, "strerror", None) or str(error) or repr(error)) from None
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)
        connection.close()


def format_cell(value: object) -> str:
    """Text of one cell: yes or - for booleans, - for an empty value."""
    return ("yes" if value else "-") if isinstance(value, bool) else str(value) or "-"


def format_table(answer: dict[str, Any]) -> list[str]:
    """Lines to print: one about the cluster, a header, and one per member."""
    rows = answer["members"]
    count = sum(row["status"] == "alive" for row in rows)
    summary = (
        f"cluster {answer['cluster']}: {len(rows)} members, {count} alive; "
        f"as {answer['name']} at {answer['address']} sees it (state: {answer['state']})"
    )
    cells = [list(COLUMNS)] + [[format_cell(row[column]) for column in COLUMNS] for row in rows]
    widths = [max(len(row[n]) for row in cells) for n in range(len(COLUMNS))]
    return [summary] + [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in cells
    ]
