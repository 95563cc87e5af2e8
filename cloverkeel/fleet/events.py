"""Structured log lines of the fleet's parts: one event per line, `cloverkeel: event=NAME key=value ...`.

They go through the standard `logging` module, so that operators can install a handler of their own instead of
the one to standard error. A value with a space, a quote or an equals sign is quoted as JSON would quote it.
"""

from __future__ import annotations

import json
import logging
import sys

LOGGER = logging.getLogger("cloverkeel.fleet")


class KeyValueFormatter(logging.Formatter):
    """Formats events as in `cloverkeel: event=state.corrupt path=/x reason="not a database"`."""

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, object] = getattr(record, "fields", {})
        words = [f"event={record.getMessage()}"]
        words += [f"{key}={_format_value(value)}" for key, value in fields.items()]
        return "cloverkeel: " + " ".join(words)


def _format_value(value: object) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    if not text or any(c in text for c in ' "=\n\\'):
        return json.dumps(text)
    return text


def event(name: str, **fields: object) -> None:
    """Log an event with its fields, in the order given."""
    LOGGER.info(name, extra={"fields": fields})


def setup_logging() -> None:
    """Send the log lines to standard error; further calls have no effect."""
    if not LOGGER.handlers:
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(KeyValueFormatter())
        LOGGER.addHandler(handler)
        LOGGER.setLevel(logging.INFO)
        LOGGER.propagate = False
