"""Helpers for operator requests to the fleet's parts: query parameters and one-line error answers."""

from __future__ import annotations

from urllib.parse import parse_qs

from cloverkeel.fleet.ledger.interface import Level
from cloverkeel.operator import Answer

LEDGER_NOT_STARTED = Answer(503, b"the ledger has not started yet\n")
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
LEVEL_TIMEOUT_S = 10.0  # for a write to reach the level of replication that `wait` asks for


def query_value(query: bytes, key: str, default: str = "") -> str:
    """Last value of a query parameter. Raises ValueError if the query is malformed or has no value."""
    try:
        values = parse_qs(query.decode("ascii"), max_num_fields=10, errors="strict").get(key)
    except ValueError:
        raise ValueError("malformed query") from None
    value = values[-1] if values else default
    if not value:
        raise ValueError(f"no {key} in the query")
    return value


def query_level(query: bytes) -> Level:
    """The parameter `wait`, `quorum` if it is missing. Raises ValueError for an unknown level."""
    level = query_value(query, "wait", Level.QUORUM.value)
    try:
        return Level(level)
    except ValueError:
        raise ValueError(f"wait is local, quorum or all, not {level[:20]!r}") from None


def error_answer(status: int, error: Exception) -> Answer:
    """An answer with the error's message as its body."""
    return Answer(status, f"{error}\n".encode())
