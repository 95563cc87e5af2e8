"""What operators' calls of the fleet's parts have in common: their queries, and answers in one line."""

from __future__ import annotations

from urllib.parse import parse_qs

from cloverkeel.fleet.ledger.interface import Level
from cloverkeel.operator import Answer

LEDGER_NOT_STARTED = Answer(503, b"the ledger has not started yet\n")
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
LEVEL_TIMEOUT_S = 10.0  # for a write to reach its level


def query_value(query: bytes, key: str, default: str = "") -> str:
    """The last value of a key. Raises ValueError: malformed, or neither there nor a default."""
    try:
        values = parse_qs(query.decode("ascii"), max_num_fields=10, errors="strict").get(key)
    except ValueError:
        raise ValueError("malformed query") from None
    found = values[-1] if values else default
    if not found:
        raise ValueError(f"no {key} in the query")
    return found


def query_level(query: bytes) -> Level:
    """`wait` of the query, `quorum` where there is none. Raises ValueError."""
    text = query_value(query, "wait", Level.QUORUM.value)
    try:
        return Level(text)
    except ValueError:
        raise ValueError(f"wait is local, quorum or all, not {text[:20]!r}") from None


def error_answer(status: int, error: Exception) -> Answer:
    return Answer(status, f"{error}\n".encode())
