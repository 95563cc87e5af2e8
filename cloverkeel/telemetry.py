"""Metrics for operators, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Result(Enum):
    """How a request ended for its client."""

    PASSED = "passed"
    DROPPED = "dropped"  # shed
    BAD_GATEWAY = "bad_gateway"  # no attempt succeeded, or a streamed response was cut off


class Telemetry:
    """Counters since the start of the process. Each is incremented in one place only."""

    def __init__(self) -> None:
        self.handled: dict[bytes, dict[Result, int]] = {}  # by class; dropped classes stay
        self.upstream_tries = 0
        self.loads = 0
        self.load_errors = 0

    def add_class(self, klass: bytes) -> None:
        """Show counters for this class, from zero unless it has some already."""
        self.handled.setdefault(klass, dict.fromkeys(Result, 0))

    def count(self, klass: bytes, result: Result) -> None:
        """Count a request of this class that has ended."""
        self.handled[klass][result] += 1

    def render(self, gauges: Mapping[str, int], counters: Mapping[str, int] | None = None) -> bytes:
        """All metrics as text, with the given gauges and counters of other parts."""
        lines = ["# TYPE lb_handled counter"]
        for klass, counts in self.handled.items():
            category = _escaped(klass)
            lines += [
                f'lb_handled{{category="{category}",outcome="{result.value}"}} {number}'
                for result, number in counts.items()
            ]
        for name in ("upstream_tries", "loads", "load_errors"):
            lines += [f"# TYPE lb_{name} counter", f"lb_{name} {getattr(self, name)}"]
        for name, number in (counters or {}).items():
            lines += [f"# TYPE lb_{name} counter", f"lb_{name} {number}"]
        for name, number in gauges.items():
            lines += [f"# TYPE lb_{name} gauge", f"lb_{name} {number}"]
        return ("\n".join(lines) + "\n").encode()


def _escaped(label: bytes) -> str:
    text = label.decode("utf-8", "replace")
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
